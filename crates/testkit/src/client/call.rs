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

/// An HTTP request to send.
#[derive(Clone, Debug)]
pub struct Call {
    /// Address of the server.
    pub to: SocketAddr,
    /// The HTTP method.
    pub method: Method,
    /// The path with the query.
    pub path: String,
    /// Headers to send.
    pub headers: Vec<(String, String)>,
    /// The JSON body, null for none.
    pub body: Value,
    /// Timeout until the response head.
    pub timeout: Duration,
}

impl Call {
    /// Creates a call without headers or body.
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

    /// Creates a chat completion call with one user message.
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

    /// Adds a bearer token.
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

    /// Sends the call with `client` and reads the whole response.
    ///
    /// # Errors
    ///
    /// When there is no response or a non-streamed body is truncated.
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
        let result = match &self.body {
            Value::Null => req.send().await,
            body => req.send_json(body).await,
        };
        let mut res = result.map_err(|e| CallError::NoAnswer(e.to_string()))?;
        let headers = res.headers().iter();
        let text = |value: &HeaderValue| String::from_utf8_lossy(value.as_bytes()).into_owned();
        let mut answer = Answer {
            status: res.status().as_u16(),
            headers: headers
                .map(|(name, value)| (name.to_string(), text(value)))
                .collect(),
            ..Answer::default()
        };
        let is_sse = answer
            .header("content-type")
            .starts_with("text/event-stream");
        let mut reader = EventReader::default();
        let mut body = Vec::new();
        if is_sse {
            answer.end = EndOfStream::Cut;
        }
        while let Some(chunk) = res.next().await {
            match chunk {
                Ok(chunk) if is_sse => reader.feed(&chunk, start.elapsed(), &mut answer),
                Ok(chunk) => body.extend_from_slice(&chunk),
                Err(_) if is_sse => break,
                Err(e) => return Err(CallError::Cut(e.to_string())),
            }
        }
        answer.took = start.elapsed();
        if !is_sse {
            parse_body(&mut answer, &body);
        }
        Ok(answer)
    }

    /// Sends the call on a new connection.
    ///
    /// # Errors
    ///
    /// As [`Call::send_with`].
    pub async fn send(&self) -> Result<Answer, CallError> {
        let client = Client::builder().disable_timeout().finish();
        self.send_with(&client).await
    }
}

fn parse_body(
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

/// Sends a GET request and returns the JSON response.
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

/// Sends a POST request with a JSON body and returns the JSON response.
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
