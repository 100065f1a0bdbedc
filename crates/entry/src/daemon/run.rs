use {
    super::stop,
    crate::{
        caller::{bind, serve_callers, serve_readiness, serve_relays},
        context::Context,
        links::monitor_links,
        load::{WorkPart, log_load, metered},
        metrics::{EntryMetrics, serve_metrics},
        scheduling::{
            LocalScheduler, OrderContext, SchedulerNode, SchedulerServer, run_engine_tasks,
        },
        store::{
            Feed, KvStore, Membership, VmRecord, follow, keep_crash_evidence, keep_quarantine,
            keep_registered, run_election,
        },
        streams::{OriginDirectory, keep_origins_stored},
        upstream::Pool,
    },
    jasmine_conf::settings::EntrySettings,
    jasmine_core::{
        clock::Millis,
        scheduler::{HardLoadSettings, RetrySettings, SchedulerSettings},
    },
    jasmine_platform::terms,
    jasmine_telemetry::{log::Line, metrics::MetricsError},
    jasmine_wire::{link::serve_with, scheduler_capnp::scheduler},
    nix::sys::resource::{Resource, getrlimit},
    std::{io, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{net::TcpListener, sync::mpsc, task::spawn_local, time::sleep},
};

/// Assumed limit on open files if it can't be read; the usual default.
const DEFAULT_MAX_FILES: u64 = 1_024;
/// How often expired idle connections are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);

/// Long-poll timeout of store watches, in percent of the allowed propagation time of a change.
///
/// Short enough to detect a dead connection in time. A connection may go silent without a reset; only an overdue
/// response shows it.
const WATCH_TIMEOUT_PERCENT: u64 = 25;

/// Why the daemon failed to start.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum DaemonError {
    /// Binding a listener failed.
    #[display("can't listen on {key} = {address}: {source}")]
    Listen {
        /// The settings key of the address.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Setting up the metrics failed.
    #[display("{_0}")]
    Metrics(MetricsError),
}

/// Runs the daemon until a planned stop has completed.
///
/// # Errors
///
/// [`DaemonError`].
pub async fn run(settings: EntrySettings) -> Result<(), DaemonError> {
    let callers = listen("listen.callers", settings.listen.callers)?;
    let readiness = listen("listen.readiness", settings.listen.readiness)?;
    let peers = listen("listen.peers", settings.listen.peers)?;
    let relay_address = settings.listen.relay.unwrap_or_else(|| {
        let ip = settings.listen.peers.ip();
        SocketAddr::new(ip, 0)
    });
    let relays = listen("listen.relay", relay_address)?;
    let metrics_listener = listen("listen.metrics", settings.listen.metrics)?;
    let metrics = Rc::new(EntryMetrics::new().map_err(DaemonError::Metrics)?);
    let peer_address = peers.local_addr().unwrap_or(settings.listen.peers);
    let incarnation: u64 = rand::random();

    let (tasks, orders) = mpsc::unbounded_channel();
    let local_scheduler = Rc::new(LocalScheduler::new(
        scheduler_settings(&settings),
        settings.cold_upstreams,
        tasks,
    ));
    let me = settings.vm.clone();
    let scheduling = Rc::new(SchedulerNode::new(
        local_scheduler,
        me.clone(),
        peer_address,
        incarnation,
    ));
    if !settings.engines_check_fences {
        scheduling.require_valid_lease();
    }
    let pool = Rc::new(Pool::with_source(settings.upstream_source));
    let store = KvStore::new(settings.store, watch_timeout(&settings));
    let feed = Rc::new(Feed::new(settings.change_ms));
    let membership = Rc::new(Membership::new(VmRecord {
        vm: me.clone(),
        peers: peer_address,
        relay: Some(relays.local_addr().unwrap_or(relay_address)),
        incarnation,
        data_centre: settings.data_centre.clone(),
        is_weak: settings.size.is_weak(),
        processor_percent: (settings.size.processor * 100.0) as u32,
    }));
    let origins = Rc::new(OriginDirectory::new(&me, store.clone(), Rc::clone(&feed)));
    let cx = Rc::new(Context::new(
        max_files(&settings),
        settings,
        Rc::clone(&scheduling),
        Rc::clone(&origins),
        Rc::clone(&feed),
        Rc::clone(&pool),
        Rc::clone(&metrics),
    ));
    Line::new("started")
        .with("vm", me)
        .with("callers", addr(&callers))
        .with("readiness", addr(&readiness))
        .with("peers", addr(&peers))
        .with("relay", addr(&relays))
        .with("metrics", addr(&metrics_listener))
        .info();

    scheduling.start();
    let server = SchedulerServer::new(
        Rc::clone(&scheduling),
        Rc::clone(&feed),
        store.clone(),
        origins,
    );
    let server: scheduler::Client = capnp_rpc::new_client(server);
    spawn_local(serve_peers(Rc::clone(&cx), peers, server.client));
    let order_cx = OrderContext::new(scheduling, Rc::clone(&pool), metrics);
    let pools = [pool, Rc::clone(&order_cx.report_pool)];
    let work = Rc::clone(&cx.scheduling.local_scheduler.work);
    let orders = run_engine_tasks(order_cx, orders);
    spawn_local(metered(Rc::clone(&work), WorkPart::Orders, orders));
    let followed = follow(
        Rc::clone(&cx),
        store.clone(),
        Rc::clone(&membership),
        Rc::clone(&feed),
    );
    spawn_local(metered(work, WorkPart::Feed, followed));
    let membership_task = keep_registered(Rc::clone(&cx), store.clone(), Rc::clone(&membership));
    let election = run_election(
        Rc::clone(&cx),
        store.clone(),
        Rc::clone(&membership),
        Rc::clone(&feed),
    );
    let lease_tasks = [
        spawn_local(membership_task).abort_handle(),
        spawn_local(election).abort_handle(),
    ];
    keep_stored(&cx, &store, incarnation);
    spawn_local(close_expired(pools, store.clone()));
    spawn_local(serve_readiness(Rc::clone(&cx), readiness));
    spawn_local(serve_callers(Rc::clone(&cx), callers));
    spawn_local(serve_relays(Rc::clone(&cx), relays));
    observe(&cx, metrics_listener);
    stop::on_signal(&cx, &store, &membership, &feed, &lease_tasks).await;
    Ok(())
}

/// Serves the messages of other VMs; never returns.
async fn serve_peers(
    cx: Rc<Context>,
    listener: TcpListener,
    server: capnp::capability::Client,
) {
    let work = Rc::clone(&cx.scheduling.local_scheduler.work);
    serve_with(listener, server, move |connection| {
        metered(Rc::clone(&work), WorkPart::Messages, connection)
    })
    .await;
}

/// Watches the links to upstreams, logs this VM's load and serves its metrics.
fn observe(
    cx: &Rc<Context>,
    metrics: TcpListener,
) {
    spawn_local(serve_metrics(Rc::clone(cx), metrics));
    spawn_local(monitor_links(Rc::clone(cx)));
    spawn_local(log_load(Rc::clone(cx)));
}

/// Keeps in the store what has to outlast a loss of all VMs.
fn keep_stored(
    cx: &Rc<Context>,
    store: &KvStore,
    incarnation: u64,
) {
    spawn_local(keep_quarantine(Rc::clone(cx), store.clone()));
    let vm = cx.scheduling.me().to_owned();
    let work = Rc::clone(&cx.scheduling.local_scheduler.work);
    let evidence = keep_crash_evidence(Rc::clone(cx), store.clone(), vm);
    spawn_local(metered(work, WorkPart::Evidence, evidence));
    let origins = keep_origins_stored(Rc::clone(cx), store.clone(), incarnation);
    spawn_local(origins);
}

/// The number of files that this process may open.
fn max_files(settings: &EntrySettings) -> usize {
    let limit = getrlimit(Resource::RLIMIT_NOFILE).map_or_else(
        |e| {
            Line::new("file_limit_unknown")
                .with("reason", e)
                .with("assumed", DEFAULT_MAX_FILES)
                .warn();
            DEFAULT_MAX_FILES
        },
        |(soft, _hard)| soft,
    );
    usize::try_from(limit.min(settings.size.files)).unwrap_or(usize::MAX)
}

fn listen(
    key: &'static str,
    address: SocketAddr,
) -> Result<TcpListener, DaemonError> {
    bind(address).map_err(|source| DaemonError::Listen {
        key,
        address,
        source,
    })
}

fn addr(listener: &TcpListener) -> String {
    listener
        .local_addr()
        .map_or_else(|e| e.to_string(), |address| address.to_string())
}

fn scheduler_settings(settings: &EntrySettings) -> SchedulerSettings {
    SchedulerSettings {
        order_gap: settings.order_gap(),
        evacuation: settings.evacuation_times(),
        older_version_time: settings.older_version_time(),
        repeats: RetrySettings {
            ratio: settings.repeats.ratio,
            slack: settings.repeats.slack,
            window: Millis((settings.repeats.window_s * 1000.0) as u64),
        },
        upstream_bytes: settings.bytes.upstream_bytes(),
        hard_load: hard_load_settings(settings),
        ..SchedulerSettings::default()
    }
}

fn hard_load_settings(settings: &EntrySettings) -> HardLoadSettings {
    HardLoadSettings {
        contended: settings.hard_load.contended || terms::is_contended(&settings.terms),
        ..settings.hard_load
    }
}

/// The long-poll timeout of store watches.
const fn watch_timeout(settings: &EntrySettings) -> Millis {
    Millis(settings.change_ms.0 * WATCH_TIMEOUT_PERCENT / 100)
}

async fn close_expired(
    pools: [Rc<Pool>; 2],
    store: KvStore,
) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        for pool in &pools {
            pool.close_expired();
        }
        store.close_expired();
    }
}
