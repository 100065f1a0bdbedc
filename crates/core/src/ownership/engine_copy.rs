use {
    crate::{
        clock::Millis,
        ids::{AccountId, Holder},
    },
    std::collections::BTreeMap,
};

/// What the owner knows of one instance on one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CopyState {
    /// The load has been ordered.
    Loading,
    /// It is loaded and may be granted.
    Resident,
    /// It is to be unloaded as soon as every holder has dropped it.
    Recalling,
    /// The unload has been ordered.
    Unloading,
    /// It may be there, but a late order may take it away at any time: it is granted to nobody.
    Doubtful,
    /// It is not there, but gateways have not yet dropped their grants.
    Gone,
}

/// One instance on one engine.
#[derive(Clone, Debug)]
pub(super) struct EngineCopy {
    /// What is known of it.
    pub(super) state: CopyState,
    /// Since when.
    pub(super) since: Millis,
    /// The gateways that may route to it, each with the question its grant answered.
    pub(super) grants: BTreeMap<Holder, u64>,
    /// When a gateway last asked for it or gave it back.
    pub(super) used: Millis,
    /// The client account that asked for it last.
    pub(super) account: Option<AccountId>,
}

impl EngineCopy {
    pub(super) fn new(
        state: CopyState,
        now: Millis,
    ) -> Self {
        Self {
            state,
            since: now,
            grants: BTreeMap::new(),
            used: now,
            account: None,
        }
    }

    pub(super) fn enter(
        &mut self,
        state: CopyState,
        now: Millis,
    ) {
        self.state = state;
        self.since = now;
    }

    /// Whether an order for it has been given and not answered.
    pub(super) fn has_order_out(&self) -> bool {
        matches!(self.state, CopyState::Loading | CopyState::Unloading)
    }

    pub(super) fn takes_slot(&self) -> bool {
        self.state != CopyState::Gone
    }
}
