use {
    super::{
        AnswerWriter, OwnAnswer,
        read_request::{IncomingRequest, ReadEnd, read_request, wait_for_request},
    },
    crate::{
        context::{Context, StopStage},
        forward::serve_request,
    },
    bytes::BytesMut,
    jasmine_core::{
        clock::Millis,
        error::{ErrorKind, Refusal},
    },
    std::{rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpStream, tcp::ReadHalf},
        time::timeout,
    },
};

/// Bytes of a next request that are read while the one before is being answered.
const MAX_AHEAD: usize = 64 << 10;
/// How long what a refused caller still sends is read, so that the answer reaches it before a reset does.
const LINGER: Duration = Duration::from_millis(300);

/// Serves one caller's connection, request by request.
pub(super) async fn serve_connection(
    cx: Rc<Context>,
    mut stream: TcpStream,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut buf = BytesMut::new();
    let mut is_first = true;
    loop {
        let next = next_request(&cx, &mut stream, &mut buf, is_first).await;
        is_first = false;
        match next {
            Ok(req) => {
                if !answer(&cx, &mut stream, &mut buf, req).await {
                    return close(stream).await;
                }
            }
            Err(ReadEnd::Closed) => return,
            Err(ReadEnd::Refused(kind)) => return refuse(stream, kind).await,
        }
    }
}

/// Waits for a request; between two of them the connection is closed when the daemon stops. The first one is read
/// in any case: whoever has just connected is told to go elsewhere rather than cut off.
async fn next_request(
    cx: &Context,
    stream: &mut TcpStream,
    buf: &mut BytesMut,
    is_first: bool,
) -> Result<IncomingRequest, ReadEnd> {
    let limits = cx.limits();
    tokio::select! {
        begun = wait_for_request(stream, buf, limits.idle_timeout) => begun?,
        () = cx.stop_reached(StopStage::Closing), if !is_first => return Err(ReadEnd::Closed),
    }
    read_request(stream, buf, &limits).await
}

/// Answers a request and says whether the connection is used again.
async fn answer(
    cx: &Rc<Context>,
    stream: &mut TcpStream,
    buf: &mut BytesMut,
    req: IncomingRequest,
) -> bool {
    let _in_flight = cx.count_request();
    let (rx, tx) = stream.split();
    let keeps = req.head.keeps_connection() && cx.stop_stage() == StopStage::Running;
    let is_head = req.head.method == "HEAD";
    let mut out = AnswerWriter::new(tx, req.head.minor_version, keeps, is_head);
    tokio::select! {
        served = serve_request(cx, req, &mut out) => served.is_ok() && out.keeps(),
        // Dropping the work closes its connection to the upstream, which stops there too.
        () = until_gone(rx, buf) => false,
    }
}

/// Ends when the caller has closed the connection, also while nothing is written to it. A caller may send its
/// next request ahead; that is kept.
async fn until_gone(
    mut rx: ReadHalf<'_>,
    buf: &mut BytesMut,
) {
    while buf.len() < MAX_AHEAD {
        buf.reserve(MAX_AHEAD / 16);
        if !matches!(rx.read_buf(buf).await, Ok(n) if n > 0) {
            return;
        }
    }
    std::future::pending::<()>().await;
}

async fn refuse(
    mut stream: TcpStream,
    kind: ErrorKind,
) {
    let (_, tx) = stream.split();
    let mut out = AnswerWriter::new(tx, 1, false, false);
    let refusal = match kind {
        ErrorKind::SlowSender => Refusal::after(kind, Millis::ZERO),
        kind => Refusal::new(kind),
    };
    if out.refuse(OwnAnswer(refusal), None).await.is_ok() {
        close(stream).await;
    }
}

/// Closes a connection without a reset that would overtake the answer: what arrives is read for a moment.
async fn close(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut rest = [0_u8; 1024];
    let drained = async { while matches!(stream.read(&mut rest).await, Ok(n) if n > 0) {} };
    // Whatever is still on its way after that is not waited for.
    let _elapsed = timeout(LINGER, drained).await;
}
