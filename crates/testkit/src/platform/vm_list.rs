use {
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// One VM as the platform lists it.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct ListedVm {
    /// Its number.
    pub vm: u32,
    /// Its IP number.
    pub address: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// The list of VMs, and how late a change shows.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct VmList {
    /// The VMs.
    pub vms: Vec<ListedVm>,
    /// How long after it was set the list shows, milliseconds.
    #[serde(default, skip_serializing)]
    pub lag_ms: u64,
}

/// The list that shows now and the one that will show later.
#[derive(Debug, Default)]
pub(super) struct LaggingList {
    shown: VmList,
    pending: Option<(Instant, VmList)>,
}

impl LaggingList {
    pub(super) fn set(
        &mut self,
        list: VmList,
    ) {
        self.settle();
        let due = Instant::now() + Duration::from_millis(list.lag_ms);
        self.pending = Some((due, list));
        self.settle();
    }

    pub(super) fn shown(&mut self) -> &VmList {
        self.settle();
        &self.shown
    }

    fn settle(&mut self) {
        let due = |pending: &mut (Instant, VmList)| pending.0 <= Instant::now();
        if let Some((_, list)) = self.pending.take_if(due) {
            self.shown = list;
        }
    }
}
