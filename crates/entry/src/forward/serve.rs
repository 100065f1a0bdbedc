use {
    super::{ForwardRequest, RefusedRequest, STOPPING_RETRY_DELAY, driver::Driver},
    crate::{
        caller::{ErrorResponse, IncomingRequest, ResponseWriter},
        context::{Context, StopStage},
        refusals::Rule,
    },
    jasmine_core::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        ingress::Finality,
    },
    jasmine_platform::headers::CallerHeaders,
    std::{io, rc::Rc},
};

/// How long a request waits for the first configuration of a VM that has just started.
///
/// After a start of all VMs no other one has a configuration either, and it arrives within half a second.
const FIRST_CONFIG_TIMEOUT: Millis = Millis(300);
/// How long a request waits for the store to confirm the configuration by which it would be refused for good.
///
/// At most a third of the time that its caller waits, which leaves time for another VM.
const MAX_CONFIG_WAIT: Millis = Millis(400);
/// `Retry-After` of a VM without a configuration that is known to be in force; the retry is likely to reach another VM.
const NO_CONFIG_RETRY_DELAY: Millis = Millis(250);

/// Serves one request of a caller.
///
/// # Errors
///
/// If the caller has disconnected or a response was cut off.
pub async fn serve_request(
    cx: &Rc<Context>,
    incoming: IncomingRequest,
    out: &mut ResponseWriter<'_>,
) -> io::Result<()> {
    let caller = CallerHeaders::read(incoming.head.headers.pairs());
    let now = cx.clock.now();
    let validated = match validate(cx, incoming, caller, now).await {
        Err(refused) if refused.is_by_config() => validate_again(cx, refused, now).await,
        validated => validated,
    };
    match validated {
        Ok(req) => Driver::new(cx, req).run(out).await,
        Err(refused) => refuse_request(cx, &refused, out).await,
    }
}

/// Judges a request by the configuration in force.
async fn validate(
    cx: &Context,
    incoming: IncomingRequest,
    caller: CallerHeaders,
    now: Millis,
) -> Result<ForwardRequest, Box<RefusedRequest>> {
    let refusal = match cx.config_within(FIRST_CONFIG_TIMEOUT).await {
        // A request that begins this late could be cut off by the exit of the process.
        _ if cx.stop_stage() >= StopStage::Closing => {
            Refusal::after(ErrorKind::ShuttingDown, STOPPING_RETRY_DELAY)
        }
        None => Refusal::after(ErrorKind::ConfigUnavailable, NO_CONFIG_RETRY_DELAY),
        Some(config) => {
            let regions = &cx.settings.regions;
            return ForwardRequest::from_incoming(incoming, caller, &config, regions, now);
        }
    };
    Err(Box::new(RefusedRequest {
        refusal,
        incoming,
        caller,
    }))
}

/// Judges a refused request again, by a newer configuration if the one in force may be outdated.
async fn validate_again(
    cx: &Context,
    refused: Box<RefusedRequest>,
    now: Millis,
) -> Result<ForwardRequest, Box<RefusedRequest>> {
    let is_confirmed = match cx.finality(now) {
        Finality::Final => return Err(refused),
        Finality::Uncertain => false,
        Finality::Confirm => {
            let patience = refused.caller.max_wait.unwrap_or(MAX_CONFIG_WAIT);
            let wait = MAX_CONFIG_WAIT.min(Millis(patience.0 / 3));
            cx.confirm_config(now, wait).await
        }
    };
    let RefusedRequest {
        incoming, caller, ..
    } = *refused;
    match validate(cx, incoming, caller, now).await {
        Err(refused) if refused.is_by_config() && !is_confirmed => Err(Box::new(RefusedRequest {
            refusal: Refusal::after(ErrorKind::ConfigUnavailable, NO_CONFIG_RETRY_DELAY),
            ..*refused
        })),
        validated => validated,
    }
}

/// Answers a request that isn't forwarded.
async fn refuse_request(
    cx: &Context,
    refused: &RefusedRequest,
    out: &mut ResponseWriter<'_>,
) -> io::Result<()> {
    let RefusedRequest {
        refusal,
        incoming,
        caller,
    } = refused;
    let id = caller.request_id.as_deref();
    let rule = Rule::of(refusal.kind, &incoming.head, caller);
    cx.metrics.count_refused(*refusal, None, None);
    cx.log_refused(id, *refusal, &rule);
    out.write_error(ErrorResponse(*refusal), id).await
}
