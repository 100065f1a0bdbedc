use {
    super::stop,
    crate::{
        clock::Clock,
        coordinator::{Coordinator, CoordinatorHandle, Core, Links, State},
        http::{Shared, Worker, caller_routes, status_routes},
        status::Readiness,
    },
    actix::{Actor, Addr, Arbiter},
    actix_web::{App, HttpServer, dev::ServerHandle, web::Data},
    jasmine_conf::{fleet::Fleet, settings::GatewaySettings},
    jasmine_core::{
        clock::Millis,
        ids::{Holder, Incarnation, Role},
    },
    jasmine_telemetry::metrics::{Metrics, MetricsError, Refusals, RequestMetrics},
    std::{
        io,
        net::{SocketAddr, TcpListener},
        rc::Rc,
        sync::{Arc, atomic::AtomicU64},
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::sync::watch,
};

/// How long an idle connection of a caller is kept open.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a caller may take to close a finished connection.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of connections waiting to be accepted.
const ACCEPT_BACKLOG: u32 = 2048;

/// An error at startup or of a server.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum DaemonError {
    /// A configured address can't be bound.
    #[display("can't listen on {key} = {address}: {source}")]
    Listen {
        /// Settings key of the address.
        key: &'static str,
        /// The configured address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The metrics could not be set up.
    #[display("{_0}")]
    Metrics(MetricsError),
    /// An HTTP server failed.
    #[display("the server failed: {_0}")]
    Server(io::Error),
}

/// The listening sockets, bound first so that an invalid address fails at once.
struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    status: TcpListener,
}

/// Runs the daemon until it is stopped.
///
/// # Errors
///
/// [`DaemonError`] if the daemon can't start or a server fails.
pub async fn run(settings: GatewaySettings) -> Result<(), DaemonError> {
    let listeners = bind(&settings)?;
    let addresses = [&listeners.callers, &listeners.peers, &listeners.status]
        .map(|listener| listener.local_addr().map_err(DaemonError::Server));
    let [callers, peers, status] = addresses;
    let (callers, peers, status) = (callers?, peers?, status?);
    let incarnation = incarnation();
    let readiness = Arc::new(Readiness::default());
    let clock = Clock::default();
    let (fleet_tx, fleet) = watch::channel(Arc::new(Fleet::default()));
    let holder = Holder {
        vm: settings.vm,
        role: Role::Gateway,
        incarnation,
    };
    let arbiter = Arbiter::new();
    let coordinator = start_coordinator(
        &arbiter,
        holder,
        clock,
        settings.clone(),
        Arc::clone(&readiness),
        fleet_tx,
        listeners.peers,
        settings.advertise.peers.unwrap_or(peers),
    );
    let metrics = Metrics::new().map_err(DaemonError::Metrics)?;
    let meter = metrics.meter();
    let shared = Arc::new(Shared {
        coordinator: CoordinatorHandle::new(coordinator.clone().recipient()),
        fleet,
        readiness: Arc::clone(&readiness),
        limits: settings.limits,
        clock,
        requests: RequestMetrics::new(&meter),
        refusals: Refusals::new(&meter),
        metrics,
        id_prefix: format!("{}-{:x}", settings.vm, incarnation.0),
        last_request_id: AtomicU64::new(0),
    });
    let callers_server = serve_callers(&settings, listeners.callers, Arc::clone(&shared))?;
    let status_server = serve_status(listeners.status, shared)?;
    println!("event=listening callers={callers} peers={peers} status={status}");
    let handles = [callers_server.handle(), status_server.handle()];
    let stop_task = actix_rt::spawn(stop::run_on_signal(
        settings.stop,
        readiness,
        coordinator,
        handles,
    ));
    let (callers_result, status_result) =
        futures::future::join(callers_server, status_server).await;
    stop_task.abort();
    callers_result
        .and(status_result)
        .map_err(DaemonError::Server)
}

fn bind(settings: &GatewaySettings) -> Result<Listeners, DaemonError> {
    let bind = |key, address| {
        TcpListener::bind(address).map_err(|source| DaemonError::Listen {
            key,
            address,
            source,
        })
    };
    Ok(Listeners {
        callers: bind("listen.callers", settings.listen.callers)?,
        peers: bind("listen.peers", settings.listen.peers)?,
        status: bind("listen.status", settings.listen.status)?,
    })
}

/// Returns the start time in Unix milliseconds, which increases with each run on a VM.
fn incarnation() -> Incarnation {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation(elapsed.unwrap_or_default().as_millis() as u64)
}

#[expect(
    clippy::too_many_arguments,
    reason = "all values that move to the thread of the coordinator at startup"
)]
fn start_coordinator(
    arbiter: &Arbiter,
    holder: Holder,
    clock: Clock,
    settings: GatewaySettings,
    readiness: Arc<Readiness>,
    fleet_tx: watch::Sender<Arc<Fleet>>,
    peers: TcpListener,
    peer_address: SocketAddr,
) -> Addr<Coordinator> {
    Coordinator::start_in_arbiter(&arbiter.handle(), move |_| {
        let state = State::new(holder, clock, settings.clone(), readiness, fleet_tx);
        let links = Links::new(holder, peer_address);
        let core = Rc::new(Core::new(state, links, holder, &settings));
        Coordinator::new(core, peers)
    })
}

fn serve_callers(
    settings: &GatewaySettings,
    listener: TcpListener,
    shared: Arc<Shared>,
) -> Result<actix_web::dev::Server, DaemonError> {
    let limits = settings.limits;
    let server = HttpServer::new(move || {
        App::new()
            .app_data(Worker::new(Arc::clone(&shared)))
            .configure(caller_routes)
    })
    .backlog(ACCEPT_BACKLOG)
    .max_connections(limits.max_connections as usize)
    .keep_alive(KEEP_ALIVE_TIMEOUT)
    .client_request_timeout(limits.request_read_ms.to_std())
    .client_disconnect_timeout(DISCONNECT_TIMEOUT)
    .disable_signals()
    .listen(listener)
    .map_err(DaemonError::Server)?;
    Ok(server.run())
}

fn serve_status(
    listener: TcpListener,
    shared: Arc<Shared>,
) -> Result<actix_web::dev::Server, DaemonError> {
    let shared = Data::from(shared);
    let server =
        HttpServer::new(move || App::new().app_data(shared.clone()).configure(status_routes))
            .workers(1)
            .disable_signals()
            .listen(listener)
            .map_err(DaemonError::Server)?;
    Ok(server.run())
}

/// Handles of the two HTTP servers, for stopping them.
pub(super) type Servers = [ServerHandle; 2];

/// Time reserved for closing the servers before the stop deadline.
pub(super) const CLOSE_TIMEOUT: Millis = Millis(500);
