use {
    super::peer::Peer,
    crate::context::Context,
    jasmine_core::clock::Millis,
    jasmine_telemetry::log::Line,
    std::{cell::Cell, io, thread},
};

/// How the answer to a request that was read whole has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerEnd {
    /// Its peer has a complete answer or a refusal.
    Complete,
    /// The daemon has cut it.
    Cut,
    /// Its peer has disconnected.
    PeerGone,
    /// The task that served it has panicked.
    Panicked,
}

impl AnswerEnd {
    /// The end of an answer that was served, or could not be written.
    pub(super) fn of(served: io::Result<()>) -> Self {
        match served.map_err(|e| e.kind()) {
            Ok(()) => Self::Complete,
            Err(io::ErrorKind::BrokenPipe | io::ErrorKind::ConnectionReset) => Self::PeerGone,
            Err(_) => Self::Cut,
        }
    }

    /// The reason in logs and metrics why an answer is incomplete; `None` if it is complete.
    const fn incomplete_reason(self) -> Option<&'static str> {
        match self {
            Self::Complete => None,
            Self::Cut => Some("cut"),
            Self::PeerGone => Some("gone"),
            Self::Panicked => Some("panicked"),
        }
    }
}

/// Logs and counts a request that ends without a complete answer.
#[derive(Debug)]
pub(super) struct AnswerWatch<'a> {
    cx: &'a Context,
    peer: Peer,
    id: String,
    began: Millis,
    end: Cell<AnswerEnd>,
}

impl<'a> AnswerWatch<'a> {
    /// Watches the answer to a request that was just read.
    pub(super) fn new(
        cx: &'a Context,
        peer: Peer,
        id: Option<String>,
    ) -> Self {
        Self {
            cx,
            peer,
            id: id.unwrap_or_else(|| "-".to_owned()),
            began: cx.clock.now(),
            end: Cell::new(AnswerEnd::Cut),
        }
    }

    /// Records how the answer has ended.
    pub(super) fn ended(
        &self,
        end: AnswerEnd,
    ) {
        self.end.set(end);
    }
}

impl Drop for AnswerWatch<'_> {
    fn drop(&mut self) {
        let end = if thread::panicking() {
            AnswerEnd::Panicked
        } else {
            self.end.get()
        };
        let Some(reason) = end.incomplete_reason() else {
            return;
        };
        self.cx
            .metrics
            .count_incomplete_answer(self.peer.as_str(), reason);
        let line = Line::new("answer_incomplete")
            .with("id", &self.id)
            .with("peer", self.peer.as_str())
            .with("reason", reason)
            .with("took_ms", self.cx.clock.now().since(self.began));
        match end {
            AnswerEnd::Panicked => line.error(),
            _ => line.info(),
        }
    }
}
