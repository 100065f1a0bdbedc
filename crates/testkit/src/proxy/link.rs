use serde::{Deserialize, Serialize};

/// What a link does to the connections that run over it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// All passes.
    #[default]
    Pass,
    /// Nothing passes either way; what was sent arrives once the link is whole again.
    Cut,
    /// Nothing passes from the one that connects.
    CutToTarget,
    /// Nothing passes to the one that connects.
    CutToClient,
    /// Connections that are open now stay open and are dead for good; new ones work.
    Silent,
    /// Open connections are closed and new ones are closed at once.
    Refuse,
}

/// The state of a link.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Link {
    /// What it does.
    pub mode: Fault,
    /// How much later each piece arrives, milliseconds.
    pub delay_ms: u64,
    /// Closes a connection once so many bytes went to the one that connects.
    pub close_after: Option<u64>,
}

/// The state of a link, and how often it has gone silent so far.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct State {
    pub(super) link: Link,
    /// Connections opened before this many silences are dead.
    pub(super) silences: u64,
}

/// Which way a byte goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Direction {
    ToTarget,
    ToClient,
}

impl State {
    /// Whether a connection opened after `born` silences lets bytes through.
    pub(super) fn passes(
        &self,
        direction: Direction,
        born: u64,
    ) -> bool {
        match self.link.mode {
            _ if born < self.silences => false,
            Fault::Pass | Fault::Silent => true,
            Fault::Cut | Fault::Refuse => false,
            Fault::CutToTarget => direction == Direction::ToClient,
            Fault::CutToClient => direction == Direction::ToTarget,
        }
    }
}
