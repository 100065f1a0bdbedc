//! Room for answers that are read as a whole.

use {
    super::{
        attempt::{AttemptContext, MAX_RESPONSE_BYTES, StartedResponse},
        failure::Failure,
    },
    crate::{
        exchange_bytes::ByteHold,
        http1::{Framing, ResponseHead},
    },
    bytes::Bytes,
    jasmine_core::{
        byte_budget::{ByteClaim, ByteUse, Denial},
        clock::Millis,
        quarantine::AttemptEvidence,
        scheduler::Outcome,
    },
    std::ops::RangeInclusive,
};

/// Lengths of answers that are held in advance: shorter ones are read whatever others hold, longer ones are invalid.
const HELD_ANSWER_BYTES: RangeInclusive<u64> = (8 << 10) + 1..=MAX_RESPONSE_BYTES as u64;
/// How long an answer waits unread for room before it is passed on in parts, which its caller may get incomplete.
///
/// A longer silence could be taken for the upstream's, and the request be sent to another one beside it.
const MAX_ANSWER_WAIT: Millis = Millis(250);
impl AttemptContext {
    /// Reads a response that isn't one of the service; a long one only if there is room now.
    pub(super) async fn read_error(
        &self,
        response: StartedResponse,
    ) -> Result<(ResponseHead, Bytes), Failure> {
        match self.hold_answer(&response).await {
            Ok(hold) => self.read_whole(response, hold).await,
            Err(_) => Err(Failure::may_have_run(Outcome::Failed)),
        }
    }

    /// Holds the bytes of an answer of known length, or waits unread for room.
    ///
    /// # Errors
    ///
    /// [`Denial`], if the answer can't be read as a whole.
    pub(super) async fn hold_answer(
        &self,
        response: &StartedResponse,
    ) -> Result<Option<ByteHold>, Denial> {
        let bytes = match response.head.framing {
            Framing::Length(bytes) if HELD_ANSWER_BYTES.contains(&bytes) => bytes,
            _ => return Ok(None),
        };
        let claim = ByteClaim {
            use_: ByteUse::Answer(response.address),
            bytes,
        };
        if let Some(hold) = self.cx.bytes.try_hold(claim) {
            return Ok(Some(hold));
        }
        // An upstream that states the length of an answer has done its work; what is left depends on callers that read
        // slowly, and could keep its slot for long.
        let took = self.cx.clock.now().since(self.trace.get().sent_at);
        self.placement
            .end(Outcome::Answered { took }, AttemptEvidence::NONE);
        let max_wait = MAX_ANSWER_WAIT.min(self.req.deadline.since(self.cx.clock.now()));
        self.cx.bytes.hold(claim, max_wait).await.map(Some)
    }
}
