use {
    super::{Problem, range::all_between},
    serde::{Deserialize, Serialize},
};

/// Below this part of a core a VM leaves it to others to schedule for all: at ninety engines that takes some 3 % of a core
/// on average and several times as much in a burst.
const WEAK_PROCESSOR: f64 = 0.2;
/// Below this many megabits a second a VM leaves it to others to hand changes of the store on.
const WEAK_NETWORK: f64 = 50.0;

/// What a VM has, as far as it matters for what it does for the others.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmSize {
    /// Its part of a core.
    pub processor: f64,
    /// Its network, in megabits a second.
    pub network_mbps: f64,
}

impl Default for VmSize {
    /// A whole core and a gigabit, where the file says nothing.
    fn default() -> Self {
        Self {
            processor: 1.0,
            network_mbps: 1_000.0,
        }
    }
}

impl VmSize {
    /// Refuses values out of range.
    pub(super) fn check(self) -> Result<(), Problem> {
        all_between(&[
            ("size.processor", self.processor, 0.001, 1_024.0),
            ("size.network_mbps", self.network_mbps, 0.001, 1e6),
        ])
    }

    /// Whether it does for others only what nobody else does.
    pub fn is_weak(self) -> bool {
        self.processor < WEAK_PROCESSOR || self.network_mbps < WEAK_NETWORK
    }
}
