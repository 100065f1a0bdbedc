use {
    jasmine_core::{ids::UpstreamId, ownership::Report, placement::Instance},
    serde::Deserialize,
};

/// The state and load that an engine reports, which may be slightly outdated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct EngineReport {
    /// Id that changes when the engine restarts; zero before the first report.
    pub boot: u64,
    /// Number of requests being processed.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Maximum number of loaded adapters.
    pub slots: u32,
    /// Names of loaded instances.
    pub instances: Vec<String>,
    /// Names of instances being loaded.
    #[serde(default)]
    pub loading: Vec<String>,
}

impl EngineReport {
    /// Returns the loaded instances, skipping names that are not instance names.
    pub fn loaded(
        &self,
        upstream: UpstreamId,
    ) -> Vec<Instance> {
        self.instances
            .iter()
            .filter_map(|name| Instance::parse(upstream, name))
            .collect()
    }

    /// Converts the report to the input of the ownership state machine.
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
