use {
    super::{
        connection::{reset, serve_connection},
        peer::Peer,
    },
    crate::{
        context::{Context, StopStage},
        load::{WorkPart, metered},
    },
    jasmine_core::clock::Millis,
    jasmine_telemetry::log::Line,
    std::{io, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpSocket, TcpStream},
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Connections queued for accept; if the queue is full, SYN packets are dropped and retried after seconds.
const BACKLOG: u32 = 1024;
/// Delay after a failed accept, usually due to a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Interval between measurements of how late tasks run.
const DELAY_CHECK_INTERVAL: Millis = Millis(50);
/// Timeout of one readiness probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Binds a TCP listener to an IPv4 address.
///
/// # Errors
///
/// Any I/O error.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Passes each accepted connection to `serve`; never returns.
pub async fn accept_loop<S>(
    listener: TcpListener,
    serve: S,
) where
    S: Fn(TcpStream),
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve(stream),
            Err(e) => {
                Line::new("accept_failed").with("reason", e).warn();
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts and serves callers; never returns.
pub async fn serve_callers(
    cx: Rc<Context>,
    listener: TcpListener,
) {
    spawn_local(watch_delays(Rc::clone(&cx)));
    accept_loop(listener, |stream| {
        let Some(admitted) = cx.admit_connection() else {
            cx.metrics.count_turned_away();
            // The request is unread, so that its caller may send it to another VM.
            return reset(&stream);
        };
        let work = Rc::clone(&cx.scheduling.local_scheduler.work);
        let served = serve_connection(Rc::clone(&cx), stream, Peer::Caller);
        let served = metered(work, WorkPart::Callers, served);
        spawn_local(async move {
            served.await;
            drop(admitted);
        });
    })
    .await;
}

/// Measures how late this VM's tasks run; never returns.
async fn watch_delays(cx: Rc<Context>) {
    loop {
        let due = cx.clock.now() + DELAY_CHECK_INTERVAL;
        sleep(DELAY_CHECK_INTERVAL.to_std()).await;
        cx.note_delay(cx.clock.now().since(due));
    }
}

/// Accepts and serves requests of other VMs that have lost their links to the upstreams; never returns.
pub async fn serve_relays(
    cx: Rc<Context>,
    listener: TcpListener,
) {
    accept_loop(listener, |stream| {
        let work = Rc::clone(&cx.scheduling.local_scheduler.work);
        let served = serve_connection(Rc::clone(&cx), stream, Peer::Vm);
        spawn_local(metered(work, WorkPart::Callers, served));
    })
    .await;
}

/// Answers the load balancer's readiness probes; never returns.
pub async fn serve_readiness(
    cx: Rc<Context>,
    listener: TcpListener,
) {
    accept_loop(listener, |stream| {
        let cx = Rc::clone(&cx);
        spawn_local(async move {
            // A connection without a complete probe is dropped.
            let _elapsed = timeout(PROBE_TIMEOUT, serve_probe(&cx, stream)).await;
        });
    })
    .await;
}

/// Answers any request with the readiness status.
async fn serve_probe(
    cx: &Context,
    mut stream: TcpStream,
) -> io::Result<()> {
    let mut seen = Vec::new();
    let mut buf = [0_u8; 1024];
    while !seen.windows(4).any(|four| four == b"\r\n\r\n") {
        match stream.read(&mut buf).await? {
            0 => return Ok(()),
            n if seen.len() + n > buf.len() * 8 => return Ok(()),
            n => seen.extend_from_slice(&buf[..n]),
        }
    }
    let status = match (cx.is_ready(), cx.stop_stage()) {
        (true, _) => "200 OK",
        (false, StopStage::Running) => "503 Starting",
        (false, _) => "503 Stopping",
    };
    let response = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    stream.write_all(response.as_bytes()).await?;
    stream.shutdown().await
}
