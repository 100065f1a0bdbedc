use {
    jasmine_core::{
        clock::Millis,
        error::{Execution, Refusal, RetryAfter},
    },
    jasmine_platform::headers::write_request_id,
    std::fmt::Write,
};

/// The time after which a caller may come back where the decision names none. A caller takes no longer one than a
/// third of the time that it has left.
const USUAL_RETRY: Millis = Millis(300);

/// An answer of the daemon's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnAnswer(pub Refusal);

impl OwnAnswer {
    /// Its status.
    pub const fn status(self) -> u16 {
        self.0.kind.answer().status
    }

    /// The header lines and the body.
    pub(super) fn encode(
        self,
        request_id: Option<&str>,
    ) -> (String, String) {
        let answer = self.0.kind.answer();
        let mut headers = String::from("Content-Type: application/json\r\n");
        if let Some(id) = request_id {
            write_request_id(id, &mut headers);
        }
        if let Some(delay) = self.retry_after() {
            let _infallible = write!(headers, "Retry-After: {:.3}\r\n", delay.as_secs_f64());
        }
        let code = answer.code;
        let body = format!(
            "{{\"error\":\"{code}\",\"execution\":\"{}\"}}",
            answer.execution
        );
        (headers, body)
    }

    /// When the caller may come back; only a request that has not run is asked for again.
    fn retry_after(self) -> Option<Millis> {
        let answer = self.0.kind.answer();
        match (answer.execution, answer.retry_after) {
            (Execution::NotRun, RetryAfter::FromRefusal | RetryAfter::Secs(_)) => {
                Some(self.0.retry_after.unwrap_or(USUAL_RETRY))
            }
            _ => None,
        }
    }
}
