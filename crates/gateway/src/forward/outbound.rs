use {
    crate::{
        coordinator::Routed,
        request::{CallerKey, CompletionRequest, Problem},
    },
    actix_web::http::{
        Method,
        header::{ACCEPT, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue},
    },
    bytes::Bytes,
    jasmine_core::clock::Millis,
};

/// A call of a plain service, ready to send.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query of the URL.
    pub target: String,
    /// Headers of the caller that are forwarded.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
}

/// A request to an upstream.
#[derive(Clone, Debug)]
pub enum Outbound {
    /// A completion request to an engine.
    Completion(Box<CompletionRequest>),
    /// A call of a plain service.
    Service(ServiceRequest),
}

/// Values of the headers that every attempt carries.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHeaders<'a> {
    /// Id of the attempt, unique across processes.
    pub request_id: &'a str,
    /// Name of the client account.
    pub account: &'a str,
    /// Name of the priority class.
    pub priority: &'a str,
    /// Time until the deadline of the request.
    pub remaining: Millis,
}

impl AttemptHeaders<'_> {
    /// Converts the values to a header map.
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
            // Account names are validated on creation; a value that is invalid in HTTP is omitted.
            if let Ok(value) = HeaderValue::from_str(value) {
                map.insert(HeaderName::from_static(name), value);
            }
        }
        map
    }
}

impl Outbound {
    /// Returns method, target, headers and body of an attempt at the upstream `routed`.
    ///
    /// # Errors
    ///
    /// `bad_request` if the body contains the caller's key.
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
