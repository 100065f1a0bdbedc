use {
    super::{
        answer::{Answer, CallError, EndOfStream},
        event_reader::EventReader,
    },
    awc::{
        Client,
        http::{Method, header::HeaderValue},
    },
    futures::StreamExt,
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// One HTTP call to be made.
#[derive(Clone, Debug)]
pub struct Call {
    /// Whom to call.
    pub to: SocketAddr,
    /// The HTTP method.
    pub method: Method,
    /// The path with the query.
    pub path: String,
    /// Headers to send.
    pub headers: Vec<(String, String)>,
    /// The body, as JSON; null for none.
    pub body: Value,
    /// How long the head of the answer may take.
    pub timeout: Duration,
}

impl Call {
    /// A call without headers or body.
    pub fn new(
        to: SocketAddr,
        method: Method,
        path: &str,
    ) -> Self {
        Self {
            to,
            method,
            path: path.to_owned(),
            headers: Vec::new(),
            body: Value::Null,
            timeout: Duration::from_mins(1),
        }
    }

    /// A chat of one message.
    pub fn chat(
        to: SocketAddr,
        key: &str,
        model: &str,
        prompt: &str,
        max_tokens: u32,
        stream: bool,
    ) -> Self {
        let mut body = json!({
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": stream,
        });
        if stream {
            body["stream_options"] = json!({"include_usage": true});
        }
        Self::new(to, Method::POST, "/v1/chat/completions")
            .key(key)
            .body(body)
    }

    /// Adds a header.
    pub fn header(
        mut self,
        name: &str,
        value: &str,
    ) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Presents a key.
    pub fn key(
        self,
        key: &str,
    ) -> Self {
        self.header("authorization", &format!("Bearer {key}"))
    }

    /// Sets the body.
    pub fn body(
        mut self,
        body: Value,
    ) -> Self {
        self.body = body;
        self
    }

    /// Makes the call with `client` and reads the answer to its end.
    ///
    /// # Errors
    ///
    /// When no answer came or a body that is no stream stopped short.
    pub async fn send_with(
        &self,
        client: &Client,
    ) -> Result<Answer, CallError> {
        let start = Instant::now();
        let url = format!("http://{}{}", self.to, self.path);
        let mut req = client
            .request(self.method.clone(), url)
            .timeout(self.timeout);
        for (name, value) in &self.headers {
            req = req.insert_header((name.as_str(), value.as_str()));
        }
        let sent = match &self.body {
            Value::Null => req.send().await,
            body => req.send_json(body).await,
        };
        let mut res = sent.map_err(|e| CallError::NoAnswer(e.to_string()))?;
        let headers = res.headers().iter();
        let text = |value: &HeaderValue| String::from_utf8_lossy(value.as_bytes()).into_owned();
        let mut answer = Answer {
            status: res.status().as_u16(),
            headers: headers
                .map(|(name, value)| (name.to_string(), text(value)))
                .collect(),
            ..Answer::default()
        };
        let events = answer
            .header("content-type")
            .starts_with("text/event-stream");
        let mut reader = EventReader::default();
        let mut body = Vec::new();
        if events {
            answer.end = EndOfStream::Cut;
        }
        while let Some(piece) = res.next().await {
            match piece {
                Ok(piece) if events => reader.take(&piece, start.elapsed(), &mut answer),
                Ok(piece) => body.extend_from_slice(&piece),
                Err(_) if events => break,
                Err(e) => return Err(CallError::Cut(e.to_string())),
            }
        }
        answer.took = start.elapsed();
        if !events {
            whole(&mut answer, &body);
        }
        Ok(answer)
    }

    /// Makes the call on a connection of its own.
    ///
    /// # Errors
    ///
    /// As [`Call::send_with`].
    pub async fn send(&self) -> Result<Answer, CallError> {
        let client = Client::builder().disable_timeout().finish();
        self.send_with(&client).await
    }
}

fn whole(
    answer: &mut Answer,
    body: &[u8],
) {
    answer.json = serde_json::from_slice(body).unwrap_or_default();
    let choice = &answer.json["choices"][0];
    let text = choice["message"]["content"]
        .as_str()
        .or(choice["text"].as_str());
    answer.text = text.unwrap_or_default().to_owned();
    answer.usage = answer.json["usage"].clone();
}

/// Asks for a JSON document.
///
/// # Errors
///
/// As [`Call::send_with`].
pub async fn get_json(
    to: SocketAddr,
    path: &str,
) -> Result<Value, CallError> {
    Call::new(to, Method::GET, path)
        .send()
        .await
        .map(|answer| answer.json)
}

/// Sends a JSON document, as to a stand-in's control: the answer's document.
///
/// # Errors
///
/// As [`Call::send_with`].
pub async fn post_json(
    to: SocketAddr,
    path: &str,
    body: Value,
) -> Result<Value, CallError> {
    Call::new(to, Method::POST, path)
        .body(body)
        .send()
        .await
        .map(|answer| answer.json)
}
