use {
    crate::{
        clock::Millis,
        ids::{AccountId, Holder},
    },
    std::collections::BTreeMap,
};

/// State of one copy on an engine, as its owner knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CopyState {
    /// The engine was told to load it; no result yet.
    Loading,
    /// Loaded; can be granted.
    Resident,
    /// Will be unloaded once every holder has released it.
    Recalling,
    /// The engine was told to unload it; no result yet.
    Unloading,
    /// May be loaded, but a delayed order may unload it at any time; never granted.
    Uncertain,
    /// Not loaded any more, but gateways still hold grants.
    Gone,
}

/// One copy of an adapter version on an engine.
#[derive(Clone, Debug)]
pub(super) struct EngineCopy {
    pub(super) state: CopyState,
    /// Time of the last change of `state`.
    pub(super) state_since: Millis,
    /// The gateways that may route to it, each with the id of the last request granted.
    pub(super) grants: BTreeMap<Holder, u64>,
    /// When a gateway last acquired or released it.
    pub(super) last_used: Millis,
    /// The client account that requested it last.
    pub(super) account: Option<AccountId>,
}

impl EngineCopy {
    pub(super) fn new(
        state: CopyState,
        now: Millis,
    ) -> Self {
        Self {
            state,
            state_since: now,
            grants: BTreeMap::new(),
            last_used: now,
            account: None,
        }
    }

    pub(super) fn set_state(
        &mut self,
        state: CopyState,
        now: Millis,
    ) {
        self.state = state;
        self.state_since = now;
    }

    /// Whether an order for it is pending.
    pub(super) fn has_pending_order(&self) -> bool {
        matches!(self.state, CopyState::Loading | CopyState::Unloading)
    }

    pub(super) fn uses_slot(&self) -> bool {
        self.state != CopyState::Gone
    }
}
