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

/// For how long a caller waits for this VM's first configuration. Callers reach a VM as soon as it listens; where all
/// have just started, another one has none either, and it is there within half a second.
const FIRST_CONFIG: Millis = Millis(300);
/// When a caller may come back whom a VM without configuration can't serve: it then reaches another VM.
const ELSEWHERE_SOON: Millis = Millis(250);

/// Answers one request of a caller.
///
/// # Errors
///
/// Where the caller has gone, or a begun answer had to be broken off.
pub async fn serve_request(
    cx: &Rc<Context>,
    incoming: IncomingRequest,
    out: &mut AnswerWriter<'_>,
) -> io::Result<()> {
    let caller = CallerHeaders::read(incoming.head.headers.pairs());
    let id = caller.request_id.clone();
    let now = cx.clock.now();
    let judged = match cx.config_soon(FIRST_CONFIG).await {
        // What begins now would be cut off by the end of this process; another VM has the time for it.
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
