use jasmine_core::{clock::Millis, ids::Fence};

/// Age from which a handover is ignored: no longer than a lease, so that no other VM can have led in between.
const MAX_HANDOVER_AGE: Millis = Millis(1_000);

/// Idle times of the engines, announced by a leader that is stopping.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handover {
    /// Fencing token of the announcing leader.
    pub fence: Fence,
    /// When the announcement was received.
    pub at: Millis,
    /// Engines, with the time since their last order when the announcement was received.
    pub idle_times: Vec<(String, Millis)>,
}

impl Handover {
    /// The time since each engine's last order as of `now`; empty if `known` is another leader or this is too old.
    pub fn idle_times_at(
        &self,
        known: Option<Fence>,
        now: Millis,
    ) -> Vec<(&str, Millis)> {
        let since = now.since(self.at);
        if known != Some(self.fence) || since >= MAX_HANDOVER_AGE {
            return Vec::new();
        }
        self.idle_times
            .iter()
            .map(|(upstream, idle_time)| (upstream.as_str(), *idle_time + since))
            .collect()
    }
}
