use {
    jasmine_core::{ids::UpstreamId, ownership::Report, placement::Instance},
    serde::Deserialize,
};

/// An engine's own report of its load, which lags.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct EngineReport {
    /// Changes when the engine restarts.
    pub boot: u64,
    /// Requests in the batch.
    pub running: u32,
    /// Requests before the batch.
    pub waiting: u32,
    /// Adapters it holds at a time.
    pub slots: u32,
    /// Names of the instances that are loaded.
    pub instances: Vec<String>,
    /// Names of the instances that are being loaded.
    #[serde(default)]
    pub loading: Vec<String>,
}

impl EngineReport {
    /// The loaded instances whose names an owner gave.
    pub fn loaded(
        &self,
        upstream: UpstreamId,
    ) -> Vec<Instance> {
        self.instances
            .iter()
            .filter_map(|name| Instance::parse(upstream, name))
            .collect()
    }

    /// The report as the owner's machine takes it.
    pub fn event(
        &self,
        upstream: UpstreamId,
    ) -> Report {
        Report {
            upstream,
            boot: self.boot,
            slots: self.slots,
            instances: self.loaded(upstream),
        }
    }
}
