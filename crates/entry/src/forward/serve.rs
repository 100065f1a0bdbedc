use {
    super::{ELSEWHERE, ForwardRequest, driver::Driver},
    crate::{
        caller::{AnswerWriter, IncomingRequest, OwnAnswer},
        context::{Context, StopStage},
    },
    jasmine_core::{
        clock::Millis,
        error::{ErrorKind, Refusal},
    },
    jasmine_platform::headers::CallerHeaders,
    jasmine_telemetry::log::Line,
    std::{io, rc::Rc},
};

/// How long a request waits for the first configuration of a VM that has just started.
const FIRST_CONFIG: Millis = Millis(300);
/// `Retry-After` of a VM without configuration; the retry is likely to reach another VM.
const ELSEWHERE_SOON: Millis = Millis(250);

/// Serves one request of a caller.
///
/// # Errors
///
/// If the caller has disconnected or an answer was cut off.
pub async fn serve_request(
    cx: &Rc<Context>,
    incoming: IncomingRequest,
    out: &mut AnswerWriter<'_>,
) -> io::Result<()> {
    let caller = CallerHeaders::read(incoming.head.headers.pairs());
    let id = caller.request_id.clone();
    let now = cx.clock.now();
    let judged = match cx.config_soon(FIRST_CONFIG).await {
        // A request that begins this late could be cut off by the exit of the process.
        _ if cx.stop_stage() >= StopStage::Closing => {
            Err(Refusal::after(ErrorKind::ShuttingDown, ELSEWHERE))
        }
        None => Err(Refusal::after(ErrorKind::ConfigUnavailable, ELSEWHERE_SOON)),
        Some(config) => ForwardRequest::judge(incoming, caller, &config, now),
    };
    match judged {
        Ok(req) => Driver::new(cx, req).run(out).await,
        Err(refusal) => {
            cx.metrics.refused(refusal, None);
            Line::new("request_refused")
                .with("id", id.as_deref().unwrap_or("-"))
                .with("kind", refusal.kind)
                .with("config", cx.config().map_or(0, |config| config.version.0))
                .info();
            out.refuse(OwnAnswer(refusal), id.as_deref()).await
        }
    }
}
