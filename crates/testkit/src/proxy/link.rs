use {
    super::rewrite::Rewrite,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::IpAddr},
};

/// How a link treats its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Forwards all data.
    #[default]
    Pass,
    /// Holds back data in both directions until the link passes again.
    Cut,
    /// Holds back data from the client to the target.
    CutToTarget,
    /// Holds back data from the target to the client.
    CutToClient,
    /// Open connections never transfer data again, without closing; new ones work.
    Silent,
    /// Closes all open and new connections.
    Refuse,
    /// Resets all open and new connections.
    Reset,
}

/// The state of a link.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Link {
    /// How connections are treated.
    pub mode: Fault,
    /// Delay of each forwarded chunk, in milliseconds.
    pub delay_ms: u64,
    /// Closes a connection after this many bytes to the client.
    pub close_after: Option<u64>,
    /// Sends pieces of this many bytes to the client, one at a time.
    pub piece_bytes: Option<usize>,
}

/// Link state shared with the connections.
#[derive(Clone, Debug, Default)]
pub(super) struct State {
    pub(super) link: Link,
    /// Modes for the connections of single clients, in place of that of `link`.
    pub(super) modes: BTreeMap<IpAddr, Fault>,
    /// What is replaced in answers.
    pub(super) rewrite: Option<Rewrite>,
    /// Number of times `Silent` was set; older connections no longer transfer data.
    pub(super) silence_generation: u64,
}

/// Direction of a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Direction {
    ToTarget,
    ToClient,
}

impl State {
    /// How the connections of a client are treated.
    pub(super) fn mode(
        &self,
        client: IpAddr,
    ) -> Fault {
        self.modes.get(&client).copied().unwrap_or(self.link.mode)
    }

    /// Whether a connection of a client and of silence generation `generation` may transfer data.
    pub(super) fn allows(
        &self,
        client: IpAddr,
        direction: Direction,
        generation: u64,
    ) -> bool {
        match self.mode(client) {
            _ if generation < self.silence_generation => false,
            Fault::Pass | Fault::Silent => true,
            Fault::Cut | Fault::Refuse | Fault::Reset => false,
            Fault::CutToTarget => direction == Direction::ToClient,
            Fault::CutToClient => direction == Direction::ToTarget,
        }
    }
}
