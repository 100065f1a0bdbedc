use {
    super::peer::Peer,
    crate::context::Context,
    jasmine_core::{clock::Millis, ingress::CallerLimits},
};

/// Most bytes of another VM's request head: the largest limit of a configuration, and the headers that VMs add.
const MAX_RELAYED_HEADER_BYTES: usize = (1 << 20) + (4 << 10);
/// Idle timeout of connections between VMs; longer than that of the VM that opens them.
pub(super) const RELAY_IDLE_TIMEOUT: Millis = Millis(30_000);

/// What becomes of a request that is beyond the limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Excess {
    /// It is within the limits that are in force now.
    Allowed,
    /// It is beyond the limits.
    Refused,
    /// It may be within the limits of a configuration that this VM doesn't know.
    Uncertain,
}

/// The limits on one request.
#[derive(Debug)]
pub(super) struct RequestLimits<'a> {
    cx: &'a Context,
    peer: Peer,
    arrived: Millis,
    current: CallerLimits,
}

impl<'a> RequestLimits<'a> {
    /// The limits on a request that begins now.
    pub(super) fn new(
        cx: &'a Context,
        peer: Peer,
    ) -> Self {
        let limits = cx.caller_limits();
        let current = match peer {
            Peer::Caller => limits,
            // That VM has checked it by its own configuration, which may be newer. The body is limited by this VM's memory.
            Peer::Vm => CallerLimits {
                max_header_bytes: MAX_RELAYED_HEADER_BYTES,
                max_body_bytes: usize::MAX,
                idle_timeout: RELAY_IDLE_TIMEOUT,
                ..limits
            },
        };
        Self {
            cx,
            peer,
            arrived: cx.clock.now(),
            current,
        }
    }

    /// The shared state of the daemon.
    pub(super) const fn context(&self) -> &'a Context {
        self.cx
    }

    /// The limits in force.
    pub(super) const fn current(&self) -> &CallerLimits {
        &self.current
    }

    /// Decides about a request that is beyond [`Self::current`], which becomes the limits of a newer configuration if
    /// there is one.
    pub(super) async fn judge_excess<F>(
        &mut self,
        is_within: F,
    ) -> Excess
    where
        F: Fn(&CallerLimits) -> bool,
    {
        if self.peer == Peer::Vm {
            return Excess::Refused;
        }
        let is_confirmed = self.cx.confirm_config(self.arrived, None).await;
        self.current = self.cx.caller_limits();
        match is_within(&self.current) {
            true => Excess::Allowed,
            false if is_confirmed => Excess::Refused,
            false => Excess::Uncertain,
        }
    }
}
