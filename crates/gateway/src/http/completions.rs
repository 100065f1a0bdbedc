use {
    super::{
        admit::{Arrival, Authenticated, caller_tag, class_name, deadline_of, no_room, priority},
        answers::{answered, refused},
        body, plan,
        shared::InFlight,
    },
    crate::{
        brain::Admission,
        forward::{Answer, Caller, Driver, ForwardContext, Outbound},
        request::{CompletionKind, CompletionRequest, Problem},
    },
    actix_web::{HttpRequest, HttpResponse, web::Payload},
    jasmine_conf::fleet::{Access, Fleet, ModelRef},
    jasmine_core::{error::ErrorKind, ids::AccountId, routing::Target},
    jasmine_telemetry::metrics::Labels,
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        sync::Arc,
    },
};

/// Bytes of a prompt by which requests that share a prefix are told.
const PREFIX_BYTES: usize = 256;

/// `POST /v1/chat/completions`
pub(super) async fn chat(
    req: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    complete(CompletionKind::Chat, req, payload).await
}

/// `POST /v1/completions`
pub(super) async fn plain(
    req: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    complete(CompletionKind::Plain, req, payload).await
}

async fn complete(
    kind: CompletionKind,
    req: HttpRequest,
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
    match run(kind, &req, payload, &arrival, &caller).await {
        Ok((adapter, answer)) => answered(&shared, &arrival.name, adapter.as_deref(), answer),
        Err(problem) => refused(&shared, &arrival.name, &caller.account.name, &problem),
    }
}

async fn run(
    kind: CompletionKind,
    req: &HttpRequest,
    mut payload: Payload,
    arrival: &Arrival,
    caller: &Authenticated,
) -> Result<(Option<String>, Answer), Problem> {
    let shared = &arrival.worker.shared;
    let in_flight = InFlight::enter(shared).ok_or_else(no_room)?;
    let announced = content_length(req);
    let bytes = body::read(&mut payload, announced, &shared.limits, arrival.arrived).await?;
    let mut completion = CompletionRequest::parse(kind, &bytes)?;
    // Looked for before anything is charged; the name on the engine holds no key.
    completion.body("", &caller.key)?;
    let account = &caller.account;
    let class = priority(req, account.priority)?;
    let limit = deadline_of(req, account.deadline)?;
    let (target, adapter) = resolve(&caller.fleet, &completion.model, account.id)?;
    let deadline = shared.clock.now() + limit;
    let admission = Admission {
        request: arrival.request,
        key: caller.digest,
        account: account.id,
        cost: completion.cost,
        priority: class,
        deadline,
        target,
        prefix: Some(prefix(&completion)),
        caller: caller_tag(caller.digest, &bytes[..]),
    };
    let labels = Labels::new(Arc::from(account.name.as_str()), class_name(class));
    shared.requests.admitted(&labels);
    let cx = context(
        arrival,
        caller,
        class_name(class),
        completion.model.clone(),
        labels,
    );
    let plan = plan::completion(deadline, completion.stream);
    let (way_back, answer) = Caller::new();
    let (lease, routing) = shared.brain.admit(admission);
    let outbound = Outbound::Completion(Box::new(completion));
    let driver = Driver::new(cx, plan, outbound, way_back, lease, routing);
    actix_rt::spawn(async move {
        driver.run().await;
        drop(in_flight);
    });
    let answer = answer
        .await
        .map_err(|_gone| Problem::from(ErrorKind::Internal))??;
    Ok((adapter, answer))
}

/// What a request brings along for its driver.
pub(super) fn context(
    arrival: &Arrival,
    caller: &Authenticated,
    class: &'static str,
    asked: String,
    labels: Labels,
) -> ForwardContext {
    let shared = &arrival.worker.shared;
    ForwardContext {
        connections: std::rc::Rc::clone(&arrival.worker.connections),
        clock: shared.clock,
        request: arrival.request,
        name: arrival.name.clone(),
        origin: shared.origin.clone(),
        key: caller.key.clone(),
        account: caller.account.name.clone(),
        priority: class,
        asked,
        arrived: arrival.arrived,
        readiness: Arc::clone(&shared.readiness),
        metrics: shared.requests.clone(),
        refusals: shared.refusals.clone(),
        labels,
    }
}

/// The announced length of a body.
pub(super) fn content_length(req: &HttpRequest) -> Option<u64> {
    req.headers()
        .get("content-length")?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

/// What a model's name stands for, and the adapter version to be named in the answer.
fn resolve(
    fleet: &Fleet,
    name: &str,
    account: AccountId,
) -> Result<(Target, Option<String>), ErrorKind> {
    match fleet.model(name)? {
        ModelRef::Base(model) => Ok((Target::Base(model), None)),
        ModelRef::Adapter(model, version) => {
            let adapter = fleet
                .adapters
                .get(version.adapter)
                .ok_or(ErrorKind::ModelNotFound)?;
            if !is_open_to(&adapter.access, account) {
                return Err(ErrorKind::NotPermitted);
            }
            let full = format!("{}@{}", adapter.name, version.version);
            Ok((Target::Adapter(model, version), Some(full)))
        }
    }
}

/// Whether an account may use what has this access.
pub(super) fn is_open_to(
    access: &Access,
    account: AccountId,
) -> bool {
    match access {
        Access::All => true,
        Access::Accounts(accounts) => accounts.contains(&account),
    }
}

fn prefix(completion: &CompletionRequest) -> u64 {
    let text = completion.prefix();
    let bytes = text.as_bytes();
    let mut hasher = DefaultHasher::new();
    bytes[..bytes.len().min(PREFIX_BYTES)].hash(&mut hasher);
    hasher.finish()
}
