use {
    super::{ControllerContext, OperatorsActor, StartError, stop, tasks},
    crate::{operators, peers::PeerServer, status},
    actix::Actor,
    jasmine_conf::settings::ControllerSettings,
    jasmine_telemetry::{
        log::{self, Line, LogOutput},
        metrics::Metrics,
    },
    jasmine_wire::{jasmine_capnp::controller, link::serve},
    std::{
        io::{self, Write},
        net::{SocketAddr, TcpListener},
        rc::Rc,
    },
    tokio::{
        signal::unix::{SignalKind, signal},
        sync::mpsc,
        task::spawn_local,
    },
};

/// Runs the daemon until a signal or a fatal error; requires an actix system.
///
/// # Errors
///
/// [`StartError`] if a listener, logging or metrics can't be set up.
pub async fn run(settings: ControllerSettings) -> Result<(), StartError> {
    let _log = log::start(&settings.log.level.to_string(), LogOutput::Stderr)?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;

    let operators = listen(settings.listen.operators)?;
    let peers = listen(settings.listen.peers)?;
    let status = listen(settings.listen.status)?;
    let peers_address = settings.advertise.peers.unwrap_or(peers.local_addr()?);
    print_addresses(&operators, &peers, &status)?;

    let cx = Rc::new(ControllerContext::new(settings, peers_address));
    let metrics = Metrics::new()?;
    status::register(&metrics.meter(), &cx.store_calls);
    cx.gauges.register(&metrics.meter());
    let status_server = status::start(status, cx.health.clone(), metrics)?;
    let status_handle = status_server.handle();
    actix_web::rt::spawn(status_server);

    let actor = OperatorsActor::new(Rc::clone(&cx)).start();
    let operators_server = operators::listen(
        operators,
        OperatorsActor::link(&actor),
        cx.settings.operators.clone(),
    )?;
    let operators_handle = operators_server.handle();
    actix_web::rt::spawn(operators_server);

    let (fatal_tx, mut fatal_rx) = mpsc::channel(1);
    tasks::start(&cx, &fatal_tx);
    let server: controller::Client = capnp_rpc::new_client(PeerServer::new(Rc::clone(&cx)));
    peers.set_nonblocking(true)?;
    let peers = tokio::net::TcpListener::from_std(peers)?;
    spawn_local(serve(peers, server.client));

    let reason = tokio::select! {
        _ = terminate.recv() => "signal",
        _ = interrupt.recv() => "signal",
        Some(reason) = fatal_rx.recv() => reason,
    };
    Line::new("told_to_stop").with("reason", reason).info();
    stop::stop(&cx).await;
    operators_handle.stop(false).await;
    status_handle.stop(false).await;
    Ok(())
}

fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).map_err(|source| StartError::Listen { address, source })
}

/// Prints the bound addresses to stdout, since port zero selects a free port.
fn print_addresses(
    operators: &TcpListener,
    peers: &TcpListener,
    status: &TcpListener,
) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(
        out,
        "event=listening operators={} peers={} status={}",
        operators.local_addr()?,
        peers.local_addr()?,
        status.local_addr()?,
    )?;
    out.flush()
}
