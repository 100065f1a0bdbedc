use {
    super::answer::{Answer, EndOfStream},
    serde_json::Value,
    std::time::Duration,
};

/// Incremental parser of an SSE body.
#[derive(Debug, Default)]
pub(super) struct EventReader {
    buf: Vec<u8>,
}

impl EventReader {
    pub(super) fn feed(
        &mut self,
        bytes: &[u8],
        at: Duration,
        answer: &mut Answer,
    ) {
        self.buf.extend_from_slice(bytes);
        while let Some(end) = self.buf.iter().position(|&byte| byte == b'\n') {
            let line: Vec<u8> = self.buf.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line);
            if let Some(data) = line.trim_end().strip_prefix("data:") {
                handle_event(data.trim(), at, answer);
            }
        }
    }
}

fn handle_event(
    data: &str,
    at: Duration,
    answer: &mut Answer,
) {
    if data == "[DONE]" {
        answer.end = EndOfStream::Done;
        return;
    }
    let data: Value = serde_json::from_str(data).unwrap_or_default();
    if let Some(error) = data.get("error") {
        let code = error["code"].as_str().unwrap_or("unnamed");
        answer.end = EndOfStream::Error(code.to_owned());
        return;
    }
    let id = data["id"].as_str().unwrap_or_default();
    if answer.chunk_ids.last().is_none_or(|last| last != id) {
        answer.chunk_ids.push(id.to_owned());
    }
    let choice = &data["choices"][0];
    let text = choice["delta"]["content"]
        .as_str()
        .or(choice["text"].as_str());
    if let Some(text) = text.filter(|text| !text.is_empty()) {
        answer.text.push_str(text);
        answer.parts.push(at);
    }
    if let Some(usage) = data.get("usage").filter(|usage| !usage.is_null()) {
        answer.usage = usage.clone();
    }
}
