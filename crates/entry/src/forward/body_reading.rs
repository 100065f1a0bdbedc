use {
    super::{
        attempt::{AttemptContext, StartedResponse, Via},
        failure::Failure,
        piece::Piece,
        stream_reader::EventBatch,
    },
    crate::http1::{BodyReader, ResponseHead},
    bytes::BytesMut,
    jasmine_core::byte_budget::Denial,
    jasmine_telemetry::log::Line,
    std::rc::Rc,
};

/// Reads an answer in parts that is too long to be held as a whole now.
///
/// Its upstream is read as fast as its caller reads. No other attempt can go on with it.
pub(super) struct BodyReading {
    head: Rc<ResponseHead>,
    response: StartedResponse,
    reader: BodyReader,
}

impl BodyReading {
    pub(super) fn new(
        response: StartedResponse,
        denial: Denial,
        attempt: &AttemptContext,
    ) -> Self {
        let reason = match denial {
            Denial::Full => "full",
            Denial::TooLarge => "too_large",
        };
        Line::new("answer_in_parts")
            .with("id", attempt.req.id())
            .with("upstream", &attempt.placement.upstream)
            .with("reason", reason)
            .info();
        Self {
            head: Rc::new(response.head.clone()),
            reader: BodyReader::new(response.head.framing),
            response,
        }
    }

    /// Waits for the next part; `None` at the end.
    pub(super) async fn next_part(
        &mut self,
        attempt: &AttemptContext,
    ) -> Result<Option<Piece>, Failure> {
        let via = self.response.via;
        let part = match self.response.connection.body(&mut self.reader).await {
            Ok(part) => part,
            Err(e) => return Err(attempt.broken(via, e).await),
        };
        if via == Via::OwnLinks {
            attempt.cx.links.note_heard();
        }
        let Some(data) = part else {
            return Ok(None);
        };
        let now = attempt.cx.clock.now();
        attempt.update_trace(|trace| {
            trace.note_data(data.len(), now);
            trace.event_at = Some(now);
        });
        let batch = EventBatch {
            bytes: BytesMut::from(data),
            ..EventBatch::default()
        };
        Ok(Some(Piece::Events(Rc::clone(&self.head), batch)))
    }

    /// Ends the answer, and keeps its connection.
    pub(super) fn end(
        self,
        attempt: &AttemptContext,
    ) -> Piece {
        attempt.release(self.response);
        Piece::End(self.head)
    }
}
