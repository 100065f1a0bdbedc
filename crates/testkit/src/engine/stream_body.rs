use {
    super::{
        answer::token,
        record::EndReason,
        state::{Engine, Stream},
    },
    actix_web::error::PayloadError,
    bytes::Bytes,
    serde_json::{Value, json},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{sync::watch::Receiver, time},
};

/// Lets sent data reach the client before the connection is closed.
const FLUSH_DELAY: Duration = Duration::from_millis(10);

/// Reads a stream from a token offset, for one caller.
pub(super) struct StreamReader {
    engine: Arc<Engine>,
    name: String,
    /// Stream whose tokens are sent; differs from `name` when answers are crossed.
    source: String,
    offset: u32,
    cut_after: Option<u32>,
    is_done: bool,
    rx: Receiver<()>,
}

enum ReadResult {
    Chunk(Bytes),
    Cut,
    Wait,
}

impl StreamReader {
    pub(super) fn new(
        engine: Arc<Engine>,
        name: String,
        source: String,
        offset: u32,
    ) -> Self {
        let rx = engine.tick.subscribe();
        let mut state = engine.lock();
        let cut_after = state.faults.cut_streams_after.map(|n| n + offset);
        if let Some(stream) = state.streams.get_mut(&name) {
            stream.readers += 1;
        }
        drop(state);
        Self {
            engine,
            name,
            source,
            offset,
            cut_after,
            is_done: false,
            rx,
        }
    }

    /// Weights used by the stream.
    pub(super) fn weights(&self) -> String {
        let state = self.engine.lock();
        state
            .streams
            .get(&self.source)
            .map(|stream| stream.job.weights.clone())
            .unwrap_or_default()
    }

    /// Waits until the stream has ended; returns why, or `None` if it is unknown.
    pub(super) async fn wait_ended(&mut self) -> Option<EndReason> {
        loop {
            match self.engine.lock().streams.get(&self.name) {
                None => return None,
                Some(stream) if stream.ended.is_some() => return stream.ended,
                Some(_) => {}
            }
            self.rx.changed().await.ok()?;
        }
    }

    /// Returns the next chunk of the SSE body.
    pub(super) async fn next_chunk(mut self) -> Option<(Result<Bytes, PayloadError>, Self)> {
        loop {
            if self.is_done {
                return None;
            }
            match self.next() {
                ReadResult::Chunk(chunk) => return Some((Ok(chunk), self)),
                ReadResult::Cut => {
                    time::sleep(FLUSH_DELAY).await;
                    return Some((Err(PayloadError::Incomplete(None)), self));
                }
                ReadResult::Wait => self.rx.changed().await.ok()?,
            }
        }
    }

    fn next(&mut self) -> ReadResult {
        let engine = Arc::clone(&self.engine);
        let state = engine.lock();
        let Some(stream) = state.streams.get(&self.source) else {
            return ReadResult::Cut;
        };
        let mut text = String::new();
        while self.offset < stream.job.made && self.cut_after.is_none_or(|cut| self.offset < cut) {
            let content = token(&stream.job.weights, &stream.job.prompt, self.offset);
            self.offset += 1;
            text += &sse_event(self.offset, &chunk(stream, &content, false));
        }
        match stream.ended {
            _ if !text.is_empty() => ReadResult::Chunk(text.into()),
            _ if self.cut_after == Some(self.offset) => ReadResult::Cut,
            None => ReadResult::Wait,
            Some(EndReason::Done) => {
                self.is_done = true;
                let last = sse_event(self.offset, &chunk(stream, "", true));
                ReadResult::Chunk(format!("{last}data: [DONE]\n\n").into())
            }
            Some(_) => ReadResult::Cut,
        }
    }
}

impl Drop for StreamReader {
    fn drop(&mut self) {
        let mut state = self.engine.lock();
        if let Some(stream) = state.streams.get_mut(&self.name) {
            stream.readers -= 1;
            stream.unread_since = Instant::now();
        }
    }
}

fn sse_event(
    id: u32,
    data: &Value,
) -> String {
    format!("id: {id}\ndata: {data}\n\n")
}

/// The `finish_reason` of an answer.
pub(super) fn finish_reason(stream: &Stream) -> &'static str {
    if stream.len == stream.job.max_tokens {
        "length"
    } else {
        "stop"
    }
}

/// The `usage` object of an answer.
pub(super) fn usage(stream: &Stream) -> Value {
    let prompt = super::answer::prompt_tokens(&stream.job.prompt);
    json!({
        "prompt_tokens": prompt,
        "completion_tokens": stream.job.made,
        "total_tokens": prompt + stream.job.made,
    })
}

fn chunk(
    stream: &Stream,
    content: &str,
    last: bool,
) -> Value {
    let reason = last.then(|| finish_reason(stream));
    let chat = stream.job.chat;
    let choice = match (chat, last) {
        (true, false) => {
            json!({"index": 0, "delta": {"content": content}, "finish_reason": reason})
        }
        (true, true) => json!({"index": 0, "delta": {}, "finish_reason": reason}),
        (false, _) => json!({"index": 0, "text": content, "finish_reason": reason}),
    };
    let object = if chat {
        "chat.completion.chunk"
    } else {
        "text_completion"
    };
    let mut chunk = json!({
        "id": stream.job.request_id,
        "object": object,
        "created": 0,
        "model": stream.job.instance,
        "choices": [choice],
    });
    if last {
        chunk["usage"] = usage(stream);
    }
    chunk
}
