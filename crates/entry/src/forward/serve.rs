use {
    super::{ForwardRequest, RefusedRequest, STOPPING_RETRY_DELAY, driver::Driver},
    crate::{
        caller::{ErrorResponse, IncomingRequest, ResponseWriter},
        context::{Context, StopStage},
        refusals::CONFIG_UNAVAILABLE,
    },
    jasmine_core::{
        clock::Millis,
        error::{ErrorKind, Refusal},
    },
    jasmine_platform::headers::CallerHeaders,
    std::{io, rc::Rc},
};

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
    let refusal = match cx.first_config().await {
        // A request that begins this late could be cut off by the exit of the process.
        _ if cx.stop_stage() >= StopStage::Closing => {
            Refusal::after(ErrorKind::ShuttingDown, STOPPING_RETRY_DELAY)
        }
        None => CONFIG_UNAVAILABLE,
        Some(config) => {
            let regions = &cx.settings.regions;
            return ForwardRequest::from_incoming(incoming, caller, &config, regions, now);
        }
    };
    Err(Box::new(RefusedRequest::new(refusal, incoming, caller)))
}

/// Judges a refused request again, by a newer configuration if the one in force may be outdated.
async fn validate_again(
    cx: &Context,
    refused: Box<RefusedRequest>,
    now: Millis,
) -> Result<ForwardRequest, Box<RefusedRequest>> {
    let RefusedRequest {
        incoming, caller, ..
    } = *refused;
    let is_confirmed = cx.confirm_config(now, caller.max_wait).await;
    match validate(cx, incoming, caller, now).await {
        Err(refused) if refused.is_by_config() && !is_confirmed => Err(Box::new(RefusedRequest {
            refusal: CONFIG_UNAVAILABLE,
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
    let id = refused.caller.request_id.as_deref();
    cx.metrics.count_refused(refused.refusal, None, None);
    cx.log_refused(id, refused.refusal, &refused.rule);
    out.write_error(ErrorResponse(refused.refusal), id).await
}
