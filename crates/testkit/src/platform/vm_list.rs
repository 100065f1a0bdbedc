use {
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// A VM in the list of the platform.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct ListedVm {
    /// VM id.
    pub vm: u32,
    /// IP address.
    pub address: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// The list of VMs and the delay until it is visible.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct VmList {
    /// The VMs.
    pub vms: Vec<ListedVm>,
    /// Delay until the list is visible, in milliseconds.
    #[serde(default, skip_serializing)]
    pub lag_ms: u64,
}

/// The visible list and the next one with its activation time.
#[derive(Debug, Default)]
pub(super) struct DelayedList {
    visible: VmList,
    pending: Option<(Instant, VmList)>,
}

impl DelayedList {
    pub(super) fn set(
        &mut self,
        list: VmList,
    ) {
        self.apply_pending();
        let due = Instant::now() + Duration::from_millis(list.lag_ms);
        self.pending = Some((due, list));
        self.apply_pending();
    }

    pub(super) fn visible(&mut self) -> &VmList {
        self.apply_pending();
        &self.visible
    }

    fn apply_pending(&mut self) {
        let due = |pending: &mut (Instant, VmList)| pending.0 <= Instant::now();
        if let Some((_, list)) = self.pending.take_if(due) {
            self.visible = list;
        }
    }
}
