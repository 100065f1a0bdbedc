use jasmine_core::clock::Millis;

/// Distribution of the requests over the VMs.
#[derive(Clone, Copy, Debug)]
pub enum Skew {
    /// Uniform over all VMs.
    Even,
    /// All at one VM, which changes at this interval.
    Moving(Millis),
}

/// Parameters of one simulated load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub name: &'static str,
    /// Number of VMs that may hold rights.
    pub holders: u32,
    pub skew: Skew,
    /// Demand outside of peaks, in percent of the account's rate.
    pub base_percent: u64,
    /// Demand in the first 4 of every 20 seconds, in percent of the account's rate.
    pub peak_percent: u64,
    /// Minimum actual usage of a request, in percent of its charge.
    pub min_used_percent: u64,
    /// Whether refused callers retry once, after the retry delay.
    pub retries_once: bool,
    /// Whether they retry at the VM that refused them.
    pub retries_at_same_vm: bool,
    /// Whether the loaded VM dies halfway; its rights are reissued once its lease has expired.
    pub vm_dies: bool,
}

/// Counters of one run.
#[derive(Debug, Default)]
pub struct Counters {
    pub requests: u64,
    pub refused: u64,
    /// Refused although the reference bucket admitted them.
    pub wrongful: u64,
    pub messages: u64,
    /// Requests that waited for rights from peers.
    pub waited: u64,
    pub retries: u64,
    pub retries_served: u64,
    pub admitted_tokens: u64,
}

/// All simulated loads.
pub fn loads() -> Vec<Load> {
    let base = Load {
        name: "moving every 10 s",
        holders: 8,
        skew: Skew::Moving(Millis::from_secs(10)),
        base_percent: 90,
        peak_percent: 90,
        min_used_percent: 100,
        retries_once: false,
        retries_at_same_vm: true,
        vm_dies: false,
    };
    vec![
        base,
        Load {
            name: "even",
            skew: Skew::Even,
            ..base
        },
        Load {
            name: "moving, uses 40-100 %",
            min_used_percent: 40,
            ..base
        },
        Load {
            name: "moving, the VM in use dies",
            vm_dies: true,
            ..base
        },
        Load {
            name: "even, a VM dies",
            skew: Skew::Even,
            vm_dies: true,
            ..base
        },
        Load {
            name: "moving, 180 holders",
            holders: 180,
            ..base
        },
        Load {
            name: "even, 180 holders",
            holders: 180,
            skew: Skew::Even,
            ..base
        },
        Load {
            name: "always 3x",
            base_percent: 300,
            peak_percent: 300,
            ..base
        },
        Load {
            name: "always 3x, one retry",
            base_percent: 300,
            peak_percent: 300,
            retries_once: true,
            ..base
        },
        Load {
            name: "always 3x, even, one retry at any VM",
            base_percent: 300,
            peak_percent: 300,
            retries_once: true,
            retries_at_same_vm: false,
            skew: Skew::Even,
            ..base
        },
        Load {
            name: "50 %, peaks of 3x, one retry",
            base_percent: 50,
            peak_percent: 300,
            retries_once: true,
            ..base
        },
        Load {
            name: "50 %, peaks of 3x, even, one retry at any VM",
            base_percent: 50,
            peak_percent: 300,
            retries_once: true,
            retries_at_same_vm: false,
            skew: Skew::Even,
            ..base
        },
    ]
}
