//! Property tests of all decoders of external input.

use {
    jasmine_gateway::{
        http::StoredAnswer,
        request::{
            CallerKey, CompletionKind, CompletionRequest, IdempotencyKey, RequestName, ServicePath,
        },
        sse::{Chunk, Decoder, Event},
    },
    serde_json::{Value, json},
};

const KEY: &str = "sk-0123456789abcdef";

fn key() -> CallerKey {
    CallerKey::from_authorization(Some(format!("Bearer {KEY}").as_bytes())).expect("a key")
}

fn events(pieces: &[&[u8]]) -> Vec<Event> {
    let mut decoder = Decoder::default();
    let mut events = Vec::new();
    for piece in pieces {
        decoder.feed(piece);
        while let Ok(Some(event)) = decoder.next_event() {
            events.push(event);
        }
    }
    events
}

#[test]
fn sse_split_does_not_matter() {
    // Guards against results that depend on how the stream is split into packets.
    bolero::check!()
        .with_type::<(Vec<u8>, u8)>()
        .for_each(|(bytes, at)| {
            let at = *at as usize % (bytes.len() + 1);
            let (head, tail) = bytes.split_at(at);
            if std::str::from_utf8(bytes).is_ok() {
                assert_eq!(events(&[bytes]), events(&[head, tail]));
            }
            for event in events(&[head, tail]) {
                drop(Chunk::from_event(&event));
            }
        });
}

#[test]
fn sse_events_are_unchanged() {
    // Guards against changed event data.
    bolero::check!()
        .with_type::<Vec<(u64, String)>>()
        .for_each(|inputs| {
            let data: Vec<String> = inputs
                .iter()
                .map(|(_, text)| json!(text).to_string())
                .collect();
            let written: Vec<String> = inputs
                .iter()
                .zip(&data)
                .map(|((id, _), data)| format!("id: {id}\r\ndata: {data}\r\n\r\n"))
                .collect();
            let got = events(&[written.concat().as_bytes()]);
            assert_eq!(got.len(), inputs.len());
            for (event, data) in got.iter().zip(&data) {
                assert_eq!(&event.data, data);
            }
        });
}

#[test]
fn sse_line_length_is_limited() {
    let mut decoder = Decoder::default();
    let mut refused = false;
    let piece = "x".repeat(64 << 10);
    for _ in 0..40 {
        decoder.feed(piece.as_bytes());
        refused |= decoder.next_event().is_err();
    }
    assert!(refused, "an endless line is buffered without a limit");
}

#[test]
fn any_body() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|bytes| {
        for kind in [CompletionKind::Chat, CompletionKind::Plain] {
            drop(CompletionRequest::parse(kind, bytes));
        }
    });
}

#[test]
fn charge_covers_body_and_max_tokens() {
    // Guards against charging less than one token per byte, and against sending another `max_tokens`
    // than was charged.
    bolero::check!()
        .with_type::<(String, Vec<String>, u16, bool)>()
        .for_each(|(prompt, parts, max_tokens, stream)| {
            let body = json!({
                "model": "notes@1",
                "messages": [
                    {"role": "user", "content": prompt},
                    {"role": "user", "content": parts.iter()
                        .map(|text| json!({"type": "text", "text": text})).collect::<Vec<_>>()},
                ],
                "max_tokens": max_tokens,
                "stream": stream,
                "seed": 7,
            });
            let parsed =
                CompletionRequest::parse(CompletionKind::Chat, body.to_string().as_bytes());
            let Ok(mut request) = parsed else {
                assert_eq!(*max_tokens, 0);
                return;
            };
            let bytes = prompt.len() + parts.iter().map(String::len).sum::<usize>();
            assert!(request.cost >= bytes as u64 + u64::from(*max_tokens));
            let sent = request.body("1-1-7", &key()).expect("no key in it");
            let sent: Value = serde_json::from_slice(&sent).expect("JSON");
            assert_eq!(sent["model"], "1-1-7");
            assert_eq!(sent["max_tokens"], *max_tokens);
            assert_eq!(sent["stream"], true);
            assert_eq!(sent["messages"], body["messages"]);
            assert_eq!(sent["seed"], 7);
        });
}

#[test]
fn key_in_body_is_found() {
    // Guards against missing a JSON-escaped key at any position.
    bolero::check!()
        .with_type::<(String, String, u8)>()
        .for_each(|(before, after, escaped)| {
            let at = *escaped as usize % KEY.len();
            let written = format!(
                "{}\\u{:04x}{}",
                &KEY[..at],
                KEY.as_bytes()[at],
                &KEY[at + 1..]
            );
            let (before, after) = (json!(before).to_string(), json!(after).to_string());
            let text = format!(
                r#"{{"model":"base","prompt":{before},"user":"{written}","stop":{after}}}"#
            );
            let mut request = CompletionRequest::parse(CompletionKind::Plain, text.as_bytes())
                .expect("a request");
            assert!(request.body("base", &key()).is_err());
        });
}

#[test]
fn any_authorization() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|bytes| {
        if let Ok(key) = CallerKey::from_authorization(Some(bytes)) {
            let shown = format!("{key:?}");
            assert_eq!(shown, "CallerKey(..)");
        }
    });
}

#[test]
fn any_request_name() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|bytes| {
        if let Some(name) = RequestName::from_caller(bytes, Some(&key())) {
            assert!((1..=64).contains(&name.as_str().len()));
            assert!(!name.as_str().contains(KEY));
        }
    });
}

#[test]
fn any_idempotency_key() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|bytes| {
        if let Ok(key) = IdempotencyKey::parse(bytes) {
            let quoted = format!("\"{}\"", key.as_str());
            assert_eq!(IdempotencyKey::parse(quoted.as_bytes()), Ok(key));
        }
    });
}

#[test]
fn any_service_path() {
    bolero::check!()
        .with_type::<(String, String)>()
        .for_each(|(path, query)| {
            if let Ok(path) = ServicePath::parse(path, query, &key()) {
                let target = path.target();
                assert!(target.starts_with('/'));
                assert!(!target.contains(KEY));
                let path = target.split('?').next().unwrap_or_default();
                assert!(path.split('/').all(|step| step != ".." && step != "."));
            }
        });
}

#[test]
fn any_stored_answer() {
    bolero::check!()
        .with_type::<Vec<u8>>()
        .for_each(|bytes| drop(StoredAnswer::decode(bytes)));
}
