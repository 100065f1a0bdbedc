use {
    crate::{
        brain::Routed,
        request::{CallerKey, CompletionRequest, Problem},
    },
    actix_web::http::{
        Method,
        header::{ACCEPT, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue},
    },
    bytes::Bytes,
    jasmine_core::clock::Millis,
};

/// A call of a plain service, ready to be sent.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// The caller's headers that are passed on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// What is sent to an upstream.
#[derive(Clone, Debug)]
pub enum Outbound {
    /// A completion, to an engine.
    Completion(Box<CompletionRequest>),
    /// A call, to a server of a plain service.
    Service(ServiceRequest),
}

/// What goes with every attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHeaders<'a> {
    /// The attempt's own id.
    pub request_id: &'a str,
    /// The client account's name.
    pub account: &'a str,
    /// The priority class.
    pub priority: &'a str,
    /// How long somebody still waits.
    pub remaining: Millis,
}

impl AttemptHeaders<'_> {
    /// As headers.
    pub fn to_map(self) -> HeaderMap {
        let mut map = HeaderMap::new();
        let remaining = self.remaining.to_string();
        let pairs = [
            ("x-request-id", self.request_id),
            ("x-client-account", self.account),
            ("x-priority", self.priority),
            ("x-deadline-ms", &remaining),
        ];
        for (name, value) in pairs {
            // Names of accounts are checked when they are created; one that HTTP can't carry is left out.
            if let Ok(value) = HeaderValue::from_str(value) {
                map.insert(HeaderName::from_static(name), value);
            }
        }
        map
    }
}

impl Outbound {
    /// Method, target, headers and body of an attempt at `routed`.
    ///
    /// # Errors
    ///
    /// `bad_request` when the caller's key stands in the body.
    pub fn parts(
        &mut self,
        routed: &Routed,
        key: &CallerKey,
        mut headers: HeaderMap,
    ) -> Result<(Method, String, HeaderMap, Bytes), Problem> {
        match self {
            Self::Completion(req) => {
                headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
                headers.insert(ACCEPT, HeaderValue::from_static("text/event-stream"));
                let body = Bytes::from(req.body(&routed.model, key)?);
                Ok((Method::POST, req.kind.path().to_owned(), headers, body))
            }
            Self::Service(req) => {
                for (name, value) in &req.headers {
                    headers.append(name.clone(), value.clone());
                }
                Ok((
                    req.method.clone(),
                    req.target.clone(),
                    headers,
                    req.body.clone(),
                ))
            }
        }
    }
}
