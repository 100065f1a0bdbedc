use jasmine_core::clock::Millis;

/// Where the demand is.
#[derive(Clone, Copy, Debug)]
pub enum Skew {
    /// Any VM.
    Even,
    /// One VM, another one every so often.
    Moving(Millis),
}

/// One load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub name: &'static str,
    pub holders: u32,
    pub skew: Skew,
    /// Demand in percent of the rate.
    pub percent: u64,
    /// Demand in the first four of every twenty seconds, in percent of the rate.
    pub peak: u64,
    /// What a request uses, in percent of its charge, at least.
    pub least_used: u64,
    /// Refused callers come back once, when told.
    pub return_once: bool,
    /// And at the VM that refused them.
    pub same_vm: bool,
    /// The VM that gets the demand dies halfway; its rights are granted anew once that is proved.
    pub dies: bool,
}

/// What came of a run.
#[derive(Debug, Default)]
pub struct Figures {
    pub requests: u64,
    pub refused: u64,
    pub wrongful: u64,
    pub messages: u64,
    pub asked: u64,
    pub returned: u64,
    pub served_on_return: u64,
    pub admitted_tokens: u64,
}

/// The loads that are run.
pub fn loads() -> Vec<Load> {
    let base = Load {
        name: "moving every 10 s",
        holders: 8,
        skew: Skew::Moving(Millis::from_secs(10)),
        percent: 90,
        peak: 90,
        least_used: 100,
        return_once: false,
        same_vm: true,
        dies: false,
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
            least_used: 40,
            ..base
        },
        Load {
            name: "moving, the VM in use dies",
            dies: true,
            ..base
        },
        Load {
            name: "even, a VM dies",
            skew: Skew::Even,
            dies: true,
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
            percent: 300,
            peak: 300,
            ..base
        },
        Load {
            name: "always 3x, back once",
            percent: 300,
            peak: 300,
            return_once: true,
            ..base
        },
        Load {
            name: "always 3x, even, back once at any VM",
            percent: 300,
            peak: 300,
            return_once: true,
            same_vm: false,
            skew: Skew::Even,
            ..base
        },
        Load {
            name: "50 %, peaks of 3x, back once",
            percent: 50,
            peak: 300,
            return_once: true,
            ..base
        },
        Load {
            name: "50 %, peaks of 3x, even, back once at any VM",
            percent: 50,
            peak: 300,
            return_once: true,
            same_vm: false,
            skew: Skew::Even,
            ..base
        },
    ]
}
