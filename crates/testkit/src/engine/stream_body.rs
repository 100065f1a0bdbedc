use {
    super::{
        answer::token,
        record::Ended,
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

/// Long enough for what was sent to leave before the connection is closed.
const FLUSH: Duration = Duration::from_millis(10);

/// One caller reading a stream from some token on.
pub(super) struct Reader {
    engine: Arc<Engine>,
    name: String,
    /// Whose tokens are told: another stream's when answers are crossed.
    told: String,
    offset: u32,
    cut_after: Option<u32>,
    over: bool,
    rx: Receiver<()>,
}

enum Next {
    Chunk(Bytes),
    Cut,
    Wait,
}

impl Reader {
    pub(super) fn new(
        engine: Arc<Engine>,
        name: String,
        told: String,
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
            told,
            offset,
            cut_after,
            over: false,
            rx,
        }
    }

    /// The weights that the stream runs on.
    pub(super) fn weights(&self) -> String {
        let state = self.engine.lock();
        state
            .streams
            .get(&self.told)
            .map(|stream| stream.job.weights.clone())
            .unwrap_or_default()
    }

    /// Waits until the stream has ended: how.
    pub(super) async fn ended(&mut self) -> Option<Ended> {
        loop {
            match self.engine.lock().streams.get(&self.name) {
                None => return None,
                Some(stream) if stream.ended.is_some() => return stream.ended,
                Some(_) => {}
            }
            self.rx.changed().await.ok()?;
        }
    }

    /// The next piece of the SSE body.
    pub(super) async fn piece(mut self) -> Option<(Result<Bytes, PayloadError>, Self)> {
        loop {
            if self.over {
                return None;
            }
            match self.next() {
                Next::Chunk(chunk) => return Some((Ok(chunk), self)),
                Next::Cut => {
                    time::sleep(FLUSH).await;
                    return Some((Err(PayloadError::Incomplete(None)), self));
                }
                Next::Wait => self.rx.changed().await.ok()?,
            }
        }
    }

    fn next(&mut self) -> Next {
        let engine = Arc::clone(&self.engine);
        let state = engine.lock();
        let Some(stream) = state.streams.get(&self.told) else {
            return Next::Cut;
        };
        let mut text = String::new();
        while self.offset < stream.job.made && self.cut_after.is_none_or(|cut| self.offset < cut) {
            let content = token(&stream.job.weights, &stream.job.prompt, self.offset);
            self.offset += 1;
            text += &event(self.offset, &chunk(stream, &content, false));
        }
        match stream.ended {
            _ if !text.is_empty() => Next::Chunk(text.into()),
            _ if self.cut_after == Some(self.offset) => Next::Cut,
            None => Next::Wait,
            Some(Ended::Done) => {
                self.over = true;
                let last = event(self.offset, &chunk(stream, "", true));
                Next::Chunk(format!("{last}data: [DONE]\n\n").into())
            }
            Some(_) => Next::Cut,
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut state = self.engine.lock();
        if let Some(stream) = state.streams.get_mut(&self.name) {
            stream.readers -= 1;
            stream.alone_since = Instant::now();
        }
    }
}

fn event(
    id: u32,
    data: &Value,
) -> String {
    format!("id: {id}\ndata: {data}\n\n")
}

/// Why an answer ends where it does.
pub(super) fn finish_reason(stream: &Stream) -> &'static str {
    if stream.len == stream.job.max_tokens {
        "length"
    } else {
        "stop"
    }
}

/// The counts that an answer closes with.
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
