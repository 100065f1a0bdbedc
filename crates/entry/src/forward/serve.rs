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
    },
    jasmine_platform::headers::CallerHeaders,
    std::{io, rc::Rc},
};

/// How long a request waits for the first configuration of a VM that has just started.
///
/// After a start of all VMs no other one has a configuration either, and it arrives within half a second.
const FIRST_CONFIG_TIMEOUT: Millis = Millis(300);
/// `Retry-After` of a VM without configuration; the retry is likely to reach another VM.
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
    let refuse = |refusal, incoming, caller| {
        Err(Box::new(RefusedRequest {
            refusal,
            incoming,
            caller,
        }))
    };
    let validated = match cx.config_within(FIRST_CONFIG_TIMEOUT).await {
        // A request that begins this late could be cut off by the exit of the process.
        _ if cx.stop_stage() >= StopStage::Closing => {
            let refusal = Refusal::after(ErrorKind::ShuttingDown, STOPPING_RETRY_DELAY);
            refuse(refusal, incoming, caller)
        }
        None => {
            let refusal = Refusal::after(ErrorKind::ConfigUnavailable, NO_CONFIG_RETRY_DELAY);
            refuse(refusal, incoming, caller)
        }
        Some(config) => {
            let regions = &cx.settings.regions;
            ForwardRequest::from_incoming(incoming, caller, &config, regions, now)
        }
    };
    match validated {
        Ok(req) => Driver::new(cx, req).run(out).await,
        Err(refused) => refuse_request(cx, &refused, out).await,
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
