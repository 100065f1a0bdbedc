use {
    super::{
        admit::{
            Authenticated, IncomingRequest, caller_tag, deadline_of, priority, priority_name,
            queue_full,
        },
        answers::{answer_response, error_response},
        body, claims,
        completions::{content_length, context},
        plan,
        shared::InFlightGuard,
    },
    crate::{
        coordinator::{AdmissionRequest, ClaimRequest, ClaimResult, CoordinatorHandle},
        forward::{Answer, Driver, Outbound, ResponseSender, ServiceRequest},
        request::{CallerKey, IdempotencyKey, Problem, ServicePath},
    },
    actix_web::{
        HttpRequest, HttpResponse,
        http::header::{
            ACCEPT, ACCEPT_LANGUAGE, CONTENT_ENCODING, CONTENT_LANGUAGE, CONTENT_TYPE, HeaderMap,
            HeaderName, HeaderValue, IF_MATCH, IF_NONE_MATCH,
        },
        web::{Bytes, Path, Payload},
    },
    jasmine_conf::fleet::Call,
    jasmine_core::{clock::Millis, error::ErrorKind, routing::Target},
    jasmine_telemetry::metrics::Labels,
    std::sync::Arc,
    tokio::{sync::oneshot, time::timeout},
};

/// Request headers that are forwarded to a plain service; others could contain private data.
const FORWARDED_HEADERS: [HeaderName; 7] = [
    ACCEPT,
    ACCEPT_LANGUAGE,
    CONTENT_ENCODING,
    CONTENT_LANGUAGE,
    CONTENT_TYPE,
    IF_MATCH,
    IF_NONE_MATCH,
];
/// How long a response is held back until it is stored with its claim.
///
/// A caller may retry immediately after the response; before it is stored, the retry would get
/// `claim_running`.
const STORE_ANSWER_TIMEOUT: Millis = Millis(500);
/// Header name of the IETF draft "The Idempotency-Key HTTP Header Field".
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Any method of `/services/<service>/<path>`
pub(super) async fn call(
    req: HttpRequest,
    parts: Path<(String, String)>,
    payload: Payload,
) -> HttpResponse {
    let Some(incoming) = IncomingRequest::new(&req) else {
        return HttpResponse::InternalServerError().finish();
    };
    let shared = Arc::clone(&incoming.worker.shared);
    let caller = match incoming.authenticate(&req) {
        Ok(caller) => caller,
        Err(problem) => return error_response(&shared, &incoming.name, "", &problem),
    };
    let (service, _) = parts.into_inner();
    match run(&req, &service, payload, &incoming, &caller).await {
        Ok(answer) => answer_response(&shared, &incoming.name, None, answer),
        Err(problem) => error_response(&shared, &incoming.name, &caller.account.name, &problem),
    }
}

async fn run(
    req: &HttpRequest,
    service: &str,
    mut payload: Payload,
    incoming: &IncomingRequest,
    caller: &Authenticated,
) -> Result<Answer, Problem> {
    let shared = &incoming.worker.shared;
    let in_flight = InFlightGuard::try_acquire(shared).ok_or_else(queue_full)?;
    let service_settings = caller
        .fleet
        .service(service)
        .ok_or(ErrorKind::ServiceNotFound)?;
    // The undecoded path, since the service receives it as sent.
    let raw_path = req.uri().path();
    let service_path = raw_path
        .strip_prefix("/services/")
        .and_then(|rest| rest.split_once('/'))
        .map_or("", |(_, path)| path);
    let path = ServicePath::parse(service_path, req.query_string(), &caller.key)?;
    let call = path.call(service_settings, req.method().as_str())?;
    let headers = forwarded_headers(req, &caller.key)?;
    let class = priority(req, call.priority)?;
    let limit = deadline_of(req, call.deadline)?;
    let body_length = content_length(req);
    let bytes = body::read(&mut payload, body_length, &shared.limits, incoming.arrived).await?;
    if caller.key.is_in(&bytes) {
        return Err(Problem::bad_request("The body contains the caller's key."));
    }
    let claim = claim_for(req, call, service, &path, &bytes, caller)?;
    if let Some(claim) = &claim
        && let Some(answer) = begin_claim(&shared.coordinator, claim).await?
    {
        return Ok(answer);
    }
    let deadline = shared.clock.now() + limit;
    let admission = AdmissionRequest {
        request: incoming.request,
        key: caller.digest,
        account: caller.account.id,
        cost: call.cost,
        priority: class,
        deadline,
        target: Target::Service(service_settings.id),
        prefix: None,
        caller: caller_tag(caller.digest, &(path.target(), &bytes[..])),
    };
    let labels = Labels::new(
        Arc::from(caller.account.name.as_str()),
        priority_name(class),
    );
    shared.requests.admitted(&labels);
    let cx = context(
        incoming,
        caller,
        priority_name(class),
        service.to_owned(),
        labels,
    );
    let plan = plan::service(deadline, limit, call.idempotent);
    let (mut response_sender, answer) = ResponseSender::new();
    let is_claimed = claim.is_some();
    if is_claimed {
        response_sender = response_sender.detached();
    }
    let outbound = Outbound::Service(ServiceRequest {
        method: req.method().clone(),
        target: path.target(),
        headers,
        body: bytes,
    });
    let (guard, routing) = shared.coordinator.admit(admission);
    let driver = Driver::new(cx, plan, outbound, response_sender, guard, routing);
    let coordinator = shared.coordinator.clone();
    let (stored_tx, stored_rx) = oneshot::channel::<()>();
    actix_rt::spawn(async move {
        let result = driver.run().await;
        drop(in_flight);
        if let Some(claim) = claim {
            claims::ClaimDisposition::of(&result)
                .record(&coordinator, claim)
                .await;
        }
        drop(stored_tx);
    });
    let answer = answer
        .await
        .map_err(|_dropped| Problem::from(ErrorKind::Internal))?;
    if is_claimed {
        drop(timeout(STORE_ANSWER_TIMEOUT.to_std(), stored_rx).await);
    }
    answer
}

/// Claims the key; returns the stored response if the call already ran.
async fn begin_claim(
    coordinator: &CoordinatorHandle,
    claim: &ClaimRequest,
) -> Result<Option<Answer>, Problem> {
    match coordinator.claim(claim.clone()).await {
        ClaimResult::Fresh => Ok(None),
        ClaimResult::Running => Err(ErrorKind::ClaimRunning.into()),
        ClaimResult::Mismatch => Err(ErrorKind::ClaimMismatch.into()),
        ClaimResult::Unavailable => Err(ErrorKind::ClaimUnavailable.into()),
        ClaimResult::Done(stored) => claims::replayed(&stored).map(Answer::Buffered).map(Some),
    }
}

/// Returns the claim of a non-idempotent call with an `Idempotency-Key`, otherwise `None`.
fn claim_for(
    req: &HttpRequest,
    call: &Call,
    service: &str,
    path: &ServicePath,
    body: &Bytes,
    caller: &Authenticated,
) -> Result<Option<ClaimRequest>, Problem> {
    let Some(value) = req.headers().get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let key = IdempotencyKey::parse(value.as_bytes())?;
    if call.idempotent {
        return Ok(None);
    }
    let method = req.method().as_str();
    let account = caller.account.id;
    Ok(Some(claims::claim(
        &key,
        account,
        method,
        service,
        &path.target(),
        body,
    )))
}

fn forwarded_headers(
    req: &HttpRequest,
    key: &CallerKey,
) -> Result<HeaderMap, Problem> {
    let mut forwarded = HeaderMap::new();
    let idempotency_key = HeaderName::from_static(IDEMPOTENCY_KEY);
    for name in FORWARDED_HEADERS.into_iter().chain([idempotency_key]) {
        for value in req.headers().get_all(&name) {
            if key.is_in(value.as_bytes()) {
                return Err(Problem::bad_request("A header contains the caller's key."));
            }
            forwarded.append(name.clone(), HeaderValue::clone(value));
        }
    }
    Ok(forwarded)
}
