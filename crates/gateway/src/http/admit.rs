use {
    super::{answers::REQUEST_ID, shared::Worker},
    crate::request::{CallerKey, Problem, RequestName},
    actix_web::{
        HttpRequest,
        http::header::{AUTHORIZATION, HeaderValue},
    },
    jasmine_conf::fleet::{Account, Fleet, KeyDigest},
    jasmine_core::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        ids::RequestId,
        queue::Priority,
        rights::CallerTag,
    },
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        sync::Arc,
    },
    tokio::time::Instant,
};

/// Longest deadline that a caller may request.
const MAX_DEADLINE: Millis = Millis::from_secs(3600);

/// A request whose caller is not yet authenticated.
#[derive(Debug)]
pub(super) struct IncomingRequest {
    pub(super) worker: Worker,
    pub(super) request: RequestId,
    pub(super) name: RequestName,
    pub(super) arrived: Instant,
    key: Result<CallerKey, ErrorKind>,
}

/// The authenticated caller of a request.
#[derive(Debug)]
pub(super) struct Authenticated {
    pub(super) key: CallerKey,
    pub(super) digest: KeyDigest,
    pub(super) account: Account,
    pub(super) fleet: Arc<Fleet>,
}

impl IncomingRequest {
    /// Assigns the request its id, which every response carries; `None` without a [`Worker`].
    pub(super) fn new(req: &HttpRequest) -> Option<Self> {
        let worker = req.app_data::<Worker>()?.clone();
        let request = worker.shared.next_request();
        let key = CallerKey::from_authorization(
            req.headers().get(AUTHORIZATION).map(HeaderValue::as_bytes),
        );
        let name = req
            .headers()
            .get(REQUEST_ID)
            .and_then(|value| RequestName::from_caller(value.as_bytes(), key.as_ref().ok()))
            .unwrap_or_else(|| worker.shared.generate_name(request));
        Some(Self {
            worker,
            request,
            name,
            arrived: Instant::now(),
            key,
        })
    }

    /// Authenticates the caller by its API key.
    pub(super) fn authenticate(
        &self,
        req: &HttpRequest,
    ) -> Result<Authenticated, Problem> {
        let shared = &self.worker.shared;
        let bytes: usize = req
            .headers()
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len() + 4)
            .sum();
        if bytes as u64 > shared.limits.max_header_bytes {
            return Err(ErrorKind::HeadersTooLarge.into());
        }
        if shared.readiness.is_stopping() {
            return Err(ErrorKind::ShuttingDown.into());
        }
        let key = self.key.clone()?;
        if !shared.readiness.is_confirmed() {
            return Err(ErrorKind::ConfigUnavailable.into());
        }
        let fleet = shared.fleet();
        let digest = key.digest();
        let key_settings = fleet.key(digest).ok_or(ErrorKind::KeyUnknown)?;
        if key_settings.withdrawn {
            return Err(ErrorKind::KeyWithdrawn.into());
        }
        let account = fleet
            .accounts
            .get(key_settings.account)
            .cloned()
            .ok_or(ErrorKind::KeyUnknown)?;
        Ok(Authenticated {
            key,
            digest,
            account,
            fleet,
        })
    }
}

/// Returns the deadline of the `x-deadline-ms` header, or `default`.
pub(super) fn deadline_of(
    req: &HttpRequest,
    default: Millis,
) -> Result<Millis, Problem> {
    let Some(value) = req.headers().get("x-deadline-ms") else {
        return Ok(default);
    };
    let requested = value.to_str().ok().and_then(|text| text.parse().ok());
    match requested {
        Some(ms) if (1..=MAX_DEADLINE.0).contains(&ms) => Ok(Millis(ms)),
        _ => Err(Problem::bad_request(
            "x-deadline-ms must be a number from 1 to 3600000.",
        )),
    }
}

/// Returns the priority class of the `x-priority` header, or `default`.
pub(super) fn priority(
    req: &HttpRequest,
    default: Priority,
) -> Result<Priority, Problem> {
    match req.headers().get("x-priority").map(HeaderValue::as_bytes) {
        None => Ok(default),
        Some(b"high") => Ok(Priority::High),
        Some(b"normal") => Ok(Priority::Normal),
        Some(b"low") => Ok(Priority::Low),
        Some(_) => Err(Problem::bad_request(
            "x-priority must be high, normal or low.",
        )),
    }
}

/// Returns the name of a priority class in headers, logs and metrics.
pub(super) const fn priority_name(priority: Priority) -> &'static str {
    match priority {
        Priority::High => "high",
        Priority::Normal => "normal",
        Priority::Low => "low",
    }
}

/// Returns a tag that recognizes a caller that retries the same request.
pub(super) fn caller_tag<T>(
    digest: KeyDigest,
    request: &T,
) -> CallerTag
where
    T: Hash + ?Sized,
{
    let mut hasher = DefaultHasher::new();
    digest.hash(&mut hasher);
    request.hash(&mut hasher);
    CallerTag(hasher.finish())
}

/// Returns the refusal of a request over the in-flight limit.
pub(super) const fn queue_full() -> Refusal {
    Refusal::after(ErrorKind::QueueFull, Millis::from_secs(1))
}
