use {
    super::{
        admit::{Arrival, Authenticated, caller_tag, class_name, deadline_of, no_room, priority},
        answers::{answered, refused},
        body, claims,
        completions::{content_length, context},
        plan,
        shared::InFlight,
    },
    crate::{
        brain::{Admission, BrainHandle, ClaimAnswer, ClaimRequest},
        forward::{Answer, Caller, Driver, Outbound, ServiceRequest},
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

/// The caller's headers that reach a plain service; all others may hold something of the caller's.
const PASSED_ON: [HeaderName; 7] = [
    ACCEPT,
    ACCEPT_LANGUAGE,
    CONTENT_ENCODING,
    CONTENT_LANGUAGE,
    CONTENT_TYPE,
    IF_MATCH,
    IF_NONE_MATCH,
];
/// How long an answer waits until it is kept with its claim.
///
/// A caller that has its answer may send the call again at once, and at another VM: unless the answer is
/// kept by then it is told that the call is still running. Where the store is slow or out the answer goes
/// without it.
const KEPT_WITHIN: Millis = Millis(500);
/// The header of the IETF draft.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Any method of `/services/<service>/<path>`
pub(super) async fn call(
    req: HttpRequest,
    parts: Path<(String, String)>,
    payload: Payload,
) -> HttpResponse {
    let Some(arrival) = Arrival::new(&req) else {
        return HttpResponse::InternalServerError().finish();
    };
    let shared = Arc::clone(&arrival.worker.shared);
    let caller = match arrival.authenticate(&req) {
        Ok(caller) => caller,
        Err(problem) => return refused(&shared, &arrival.name, "", &problem),
    };
    let (service, _) = parts.into_inner();
    match run(&req, &service, payload, &arrival, &caller).await {
        Ok(answer) => answered(&shared, &arrival.name, None, answer),
        Err(problem) => refused(&shared, &arrival.name, &caller.account.name, &problem),
    }
}

async fn run(
    req: &HttpRequest,
    service: &str,
    mut payload: Payload,
    arrival: &Arrival,
    caller: &Authenticated,
) -> Result<Answer, Problem> {
    let shared = &arrival.worker.shared;
    let in_flight = InFlight::enter(shared).ok_or_else(no_room)?;
    let known = caller
        .fleet
        .service(service)
        .ok_or(ErrorKind::ServiceNotFound)?;
    // As it came: the router's own decoding would hide what the service will see.
    let raw = req.uri().path();
    let below = raw
        .strip_prefix("/services/")
        .and_then(|rest| rest.split_once('/'))
        .map_or("", |(_, path)| path);
    let path = ServicePath::parse(below, req.query_string(), &caller.key)?;
    let call = path.call(known, req.method().as_str())?;
    let headers = passed_on(req, &caller.key)?;
    let class = priority(req, call.priority)?;
    let limit = deadline_of(req, call.deadline)?;
    let announced = content_length(req);
    let bytes = body::read(&mut payload, announced, &shared.limits, arrival.arrived).await?;
    if caller.key.is_in(&bytes) {
        return Err(Problem::bad("The body holds the caller's key."));
    }
    let claim = claim_for(req, call, service, &path, &bytes, caller)?;
    if let Some(claim) = &claim
        && let Some(answer) = begin(&shared.brain, claim).await?
    {
        return Ok(answer);
    }
    let deadline = shared.clock.now() + limit;
    let admission = Admission {
        request: arrival.request,
        key: caller.digest,
        account: caller.account.id,
        cost: call.cost,
        priority: class,
        deadline,
        target: Target::Service(known.id),
        prefix: None,
        caller: caller_tag(caller.digest, &(path.target(), &bytes[..])),
    };
    let labels = Labels::new(Arc::from(caller.account.name.as_str()), class_name(class));
    shared.requests.admitted(&labels);
    let cx = context(
        arrival,
        caller,
        class_name(class),
        service.to_owned(),
        labels,
    );
    let plan = plan::service(deadline, limit, call.idempotent);
    let (mut way_back, answer) = Caller::new();
    let is_claimed = claim.is_some();
    if is_claimed {
        way_back = way_back.outlasted();
    }
    let outbound = Outbound::Service(ServiceRequest {
        method: req.method().clone(),
        target: path.target(),
        headers,
        body: bytes,
    });
    let (lease, routing) = shared.brain.admit(admission);
    let driver = Driver::new(cx, plan, outbound, way_back, lease, routing);
    let brain = shared.brain.clone();
    let (kept_tx, kept_rx) = oneshot::channel::<()>();
    actix_rt::spawn(async move {
        let ending = driver.run().await;
        drop(in_flight);
        if let Some(claim) = claim {
            claims::ClaimEnd::of(&ending).record(&brain, claim).await;
        }
        drop(kept_tx);
    });
    let answer = answer
        .await
        .map_err(|_gone| Problem::from(ErrorKind::Internal))?;
    if is_claimed {
        drop(timeout(KEPT_WITHIN.to_std(), kept_rx).await);
    }
    answer
}

/// Claims the key; the answer of the first run where there is one.
async fn begin(
    brain: &BrainHandle,
    claim: &ClaimRequest,
) -> Result<Option<Answer>, Problem> {
    match brain.claim(claim.clone()).await {
        ClaimAnswer::Fresh => Ok(None),
        ClaimAnswer::Running => Err(ErrorKind::ClaimRunning.into()),
        ClaimAnswer::Mismatch => Err(ErrorKind::ClaimMismatch.into()),
        ClaimAnswer::Unavailable => Err(ErrorKind::ClaimUnavailable.into()),
        ClaimAnswer::Done(stored) => claims::replayed(&stored).map(Answer::Whole).map(Some),
    }
}

/// The claim that goes before a call, where it may not be repeated and its caller has named a key.
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

fn passed_on(
    req: &HttpRequest,
    key: &CallerKey,
) -> Result<HeaderMap, Problem> {
    let mut kept = HeaderMap::new();
    let idempotency_key = HeaderName::from_static(IDEMPOTENCY_KEY);
    for name in PASSED_ON.into_iter().chain([idempotency_key]) {
        for value in req.headers().get_all(&name) {
            if key.is_in(value.as_bytes()) {
                return Err(Problem::bad("A header holds the caller's key."));
            }
            kept.append(name.clone(), HeaderValue::clone(value));
        }
    }
    Ok(kept)
}
