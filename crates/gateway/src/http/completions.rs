use {
    super::{
        admit::{
            Authenticated, IncomingRequest, caller_tag, deadline_of, priority, priority_name,
            queue_full,
        },
        answers::{answer_response, error_response},
        body, plan,
        shared::InFlightGuard,
    },
    crate::{
        coordinator::AdmissionRequest,
        forward::{Answer, Driver, ForwardContext, Outbound, ResponseSender},
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

/// Bytes of a prompt that are hashed to recognize requests with the same prefix.
const MAX_PREFIX_BYTES: usize = 256;

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
    let Some(incoming) = IncomingRequest::new(&req) else {
        return HttpResponse::InternalServerError().finish();
    };
    let shared = Arc::clone(&incoming.worker.shared);
    let caller = match incoming.authenticate(&req) {
        Ok(caller) => caller,
        Err(problem) => return error_response(&shared, &incoming.name, "", &problem),
    };
    match run(kind, &req, payload, &incoming, &caller).await {
        Ok((adapter, answer)) => {
            answer_response(&shared, &incoming.name, adapter.as_deref(), answer)
        }
        Err(problem) => error_response(&shared, &incoming.name, &caller.account.name, &problem),
    }
}

async fn run(
    kind: CompletionKind,
    req: &HttpRequest,
    mut payload: Payload,
    incoming: &IncomingRequest,
    caller: &Authenticated,
) -> Result<(Option<String>, Answer), Problem> {
    let shared = &incoming.worker.shared;
    let in_flight = InFlightGuard::try_acquire(shared).ok_or_else(queue_full)?;
    let body_length = content_length(req);
    let bytes = body::read(&mut payload, body_length, &shared.limits, incoming.arrived).await?;
    let mut completion = CompletionRequest::parse(kind, &bytes)?;
    // Built only to reject a body with the caller's key before admission charges the account. The
    // instance isn't chosen yet, but its name can't contain the key.
    completion.body("", &caller.key)?;
    let account = &caller.account;
    let class = priority(req, account.priority)?;
    let limit = deadline_of(req, account.deadline)?;
    let (target, adapter) = resolve(&caller.fleet, &completion.model, account.id)?;
    let deadline = shared.clock.now() + limit;
    let admission = AdmissionRequest {
        request: incoming.request,
        key: caller.digest,
        account: account.id,
        cost: completion.cost,
        priority: class,
        deadline,
        target,
        prefix: Some(prefix_hash(&completion)),
        caller: caller_tag(caller.digest, &bytes[..]),
    };
    let labels = Labels::new(Arc::from(account.name.as_str()), priority_name(class));
    shared.requests.admitted(&labels);
    let cx = context(
        incoming,
        caller,
        priority_name(class),
        completion.model.clone(),
        labels,
    );
    let plan = plan::completion(deadline, completion.stream);
    let (response_sender, answer) = ResponseSender::new();
    let (guard, routing) = shared.coordinator.admit(admission);
    let outbound = Outbound::Completion(Box::new(completion));
    let driver = Driver::new(cx, plan, outbound, response_sender, guard, routing);
    actix_rt::spawn(async move {
        driver.run().await;
        drop(in_flight);
    });
    let answer = answer
        .await
        .map_err(|_dropped| Problem::from(ErrorKind::Internal))??;
    Ok((adapter, answer))
}

/// Creates the context for forwarding a request.
pub(super) fn context(
    incoming: &IncomingRequest,
    caller: &Authenticated,
    class: &'static str,
    requested_name: String,
    labels: Labels,
) -> ForwardContext {
    let shared = &incoming.worker.shared;
    ForwardContext {
        connections: std::rc::Rc::clone(&incoming.worker.connections),
        clock: shared.clock,
        request: incoming.request,
        name: incoming.name.clone(),
        id_prefix: shared.id_prefix.clone(),
        key: caller.key.clone(),
        account: caller.account.name.clone(),
        priority: class,
        requested_name,
        arrived: incoming.arrived,
        readiness: Arc::clone(&shared.readiness),
        metrics: shared.requests.clone(),
        refusals: shared.refusals.clone(),
        labels,
    }
}

/// Returns the value of the `content-length` header.
pub(super) fn content_length(req: &HttpRequest) -> Option<u64> {
    req.headers()
        .get("content-length")?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

/// Resolves a model name to its target and the adapter version for the response header.
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
            if !has_access(&adapter.access, account) {
                return Err(ErrorKind::NotPermitted);
            }
            let versioned_name = format!("{}@{}", adapter.name, version.version);
            Ok((Target::Adapter(model, version), Some(versioned_name)))
        }
    }
}

/// Whether `access` includes the account.
pub(super) fn has_access(
    access: &Access,
    account: AccountId,
) -> bool {
    match access {
        Access::All => true,
        Access::Accounts(accounts) => accounts.contains(&account),
    }
}

fn prefix_hash(completion: &CompletionRequest) -> u64 {
    let text = completion.prefix();
    let bytes = text.as_bytes();
    let mut hasher = DefaultHasher::new();
    bytes[..bytes.len().min(MAX_PREFIX_BYTES)].hash(&mut hasher);
    hasher.finish()
}
