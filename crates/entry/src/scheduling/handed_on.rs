use jasmine_core::{clock::Millis, ids::Fence};

/// For how long a leader's last word holds. A VM that led in between without this one's knowledge would have needed longer
/// for that: its lease alone lasts that long.
const HOLDS: Millis = Millis(1_000);

/// A leader's last word to whoever follows it: how long ago each engine had its last order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandedOn {
    /// The token under which it led.
    pub fence: Fence,
    /// When this was said.
    pub at: Millis,
    /// Engines, with the time since their last order.
    pub rested: Vec<(String, Millis)>,
}

impl HandedOn {
    /// The engines with the time since their last order as of `now`, for a VM that knew of no other leader since.
    pub fn rested_by(
        &self,
        known: Option<Fence>,
        now: Millis,
    ) -> Vec<(&str, Millis)> {
        let since = now.since(self.at);
        if known != Some(self.fence) || since >= HOLDS {
            return Vec::new();
        }
        self.rested
            .iter()
            .map(|(upstream, rested)| (upstream.as_str(), *rested + since))
            .collect()
    }
}
