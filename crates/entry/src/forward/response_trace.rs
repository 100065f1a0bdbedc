use {
    super::attempt::Via,
    crate::http1::Framing,
    jasmine_core::{
        clock::Millis,
        quarantine::{AnswerEnd, AnswerTrace, AttemptEvidence, PromptEvidence, RequestEvidence},
    },
};

/// How far the response of one attempt got.
#[derive(Clone, Copy, Debug)]
pub(super) struct ResponseTrace {
    /// The way to the upstream.
    pub via: Via,
    /// Whether the connection had carried another request before.
    pub is_connection_reused: bool,
    /// When the request was sent.
    pub sent_at: Millis,
    /// When the head of a successful response was received.
    pub head_at: Option<Millis>,
    /// When the last data of its body was received.
    pub received_at: Option<Millis>,
    /// Bytes of its body that were received.
    pub received_bytes: usize,
    /// When its last new event was complete.
    pub event_at: Option<Millis>,
    /// When its caller had taken its last new event; what a slow one takes is no silence of the upstream.
    pub forwarded_at: Option<Millis>,
    /// How the end of its body is determined.
    pub framing: Option<Framing>,
    /// Bytes received after the last complete event.
    pub partial_bytes: usize,
}

impl ResponseTrace {
    pub(super) const fn new(sent_at: Millis) -> Self {
        Self {
            via: Via::OwnLinks,
            is_connection_reused: false,
            sent_at,
            head_at: None,
            received_at: None,
            received_bytes: 0,
            event_at: None,
            forwarded_at: None,
            framing: None,
            partial_bytes: 0,
        }
    }

    /// Records that the head of a successful response was received.
    pub(super) const fn note_head(
        &mut self,
        framing: Framing,
        now: Millis,
    ) {
        self.head_at = Some(now);
        self.framing = Some(framing);
    }

    /// Records that a part of its body was received.
    pub(super) const fn note_data(
        &mut self,
        bytes: usize,
        now: Millis,
    ) {
        self.received_at = Some(now);
        self.received_bytes += bytes;
    }

    /// Time from the head until the last data.
    pub(super) fn received_for(&self) -> Millis {
        let begun_at = self.head_at.unwrap_or_default();
        self.received_at.unwrap_or(begun_at).since(begun_at)
    }

    /// Time since the upstream last sent anything, or got the request.
    pub(super) fn silent_for(
        &self,
        now: Millis,
    ) -> Millis {
        let heard_at = self.received_at.or(self.head_at);
        now.since(heard_at.unwrap_or(self.sent_at))
    }

    /// Time since the last new event was forwarded, or since the upstream got the request, whatever else it sent.
    pub(super) fn stalled_for(
        &self,
        now: Millis,
    ) -> Millis {
        now.since(self.forwarded_at.or(self.event_at).unwrap_or(self.sent_at))
    }

    /// How a complete answer ended.
    pub(super) const fn complete_end(
        &self,
        is_stream: bool,
    ) -> AnswerEnd {
        match self.framing {
            Some(Framing::UntilClose) => AnswerEnd::Closed,
            // A stream without any data shows no more than a head.
            _ if is_stream && self.received_at.is_none() => AnswerEnd::Closed,
            _ => AnswerEnd::Whole,
        }
    }

    /// Whether a complete answer has ended with its connection, so that a crash may look the same.
    pub(super) fn has_ended_with_connection(&self) -> bool {
        self.framing == Some(Framing::UntilClose) && self.received_at.is_some()
    }

    /// What the attempt shows about the request and its prompt.
    pub(super) fn evidence(
        &self,
        end: AnswerEnd,
        now: Millis,
    ) -> AttemptEvidence {
        let begun_at = self.head_at.unwrap_or(self.sent_at);
        AttemptEvidence {
            prompt: self.prompt_evidence(end, now),
            request: match end {
                AnswerEnd::Whole => RequestEvidence::Answered {
                    begun_ago: now.since(begun_at),
                },
                AnswerEnd::UpstreamGone => RequestEvidence::UpstreamGone,
                AnswerEnd::Broken | AnswerEnd::Closed | AnswerEnd::GivenUp => RequestEvidence::None,
            },
        }
    }

    /// What it shows about the prompt; only events are a part of an answer.
    fn prompt_evidence(
        &self,
        end: AnswerEnd,
        now: Millis,
    ) -> PromptEvidence {
        let begun_at = self.head_at.unwrap_or_default();
        let trace = AnswerTrace {
            begun_ago: self.head_at.map(|at| now.since(at)),
            received_for: self.event_at.unwrap_or(begun_at).since(begun_at),
            end,
        };
        trace.evidence()
    }
}
