use {
    super::{
        LinksLost, RelayAddress,
        probe::{ask_peer, probe_upstream},
    },
    crate::{clock::Clock, context::Context, upstream::Pool},
    futures::{
        StreamExt,
        future::{join, join_all},
        stream::FuturesUnordered,
    },
    jasmine_core::{
        clock::Millis,
        reachability::{LinkStatus, ProbeResult, RelayPeer, Relays, UpstreamLinks},
    },
    jasmine_telemetry::log::Line,
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        net::SocketAddr,
        pin::pin,
        rc::Rc,
    },
    tokio::{
        sync::{Notify, watch},
        time::{sleep, timeout},
    },
};

/// Upstreams that are probed in one test.
const PROBES_PER_TEST: usize = 3;
/// Delay between the probes of a test, most of which the first one ends.
const PROBE_STAGGER: Millis = Millis(60);
/// Time without a response after which a VM looks whether any other response has arrived.
const OVERDUE: Millis = Millis(300);
/// How long a request that can be repeated is still waited for once the links are lost: open connections may live on.
const ABORT_DELAY: Millis = Millis(300);
/// Longest wait for the result of a test.
const VERDICT_TIMEOUT: Millis = Millis(1_200);
/// Pause between the tests while the links are lost.
const RETEST_INTERVAL: Millis = Millis(500);

/// Watches the links to the upstreams, and knows the VMs that can send requests in place of this one.
#[derive(Debug)]
pub struct LinkMonitor {
    clock: Clock,
    data_centre: String,
    links: RefCell<UpstreamLinks>,
    relays: RefCell<Relays>,
    data_centres: RefCell<BTreeMap<SocketAddr, String>>,
    /// Connections to other VMs.
    pub relay_pool: Pool,
    status: watch::Sender<LinkStatus>,
    test_due: Notify,
    lost_since: Cell<Millis>,
    requests: Cell<u64>,
}

impl LinkMonitor {
    /// Creates the monitor of a VM in this data centre, whose links count as up; `relay_pool` connects to other VMs.
    pub fn new(
        data_centre: &str,
        relay_pool: Pool,
    ) -> Self {
        Self {
            clock: Clock,
            data_centre: data_centre.to_owned(),
            links: RefCell::default(),
            relays: RefCell::default(),
            data_centres: RefCell::default(),
            relay_pool,
            status: watch::Sender::default(),
            test_due: Notify::new(),
            lost_since: Cell::new(Millis::ZERO),
            requests: Cell::new(0),
        }
    }

    /// Replaces the VMs that may send requests for this one.
    pub fn set_peers(
        &self,
        peers: &[RelayAddress],
    ) {
        let relay_peer = |peer: &RelayAddress| RelayPeer {
            address: peer.address,
            is_local: peer.data_centre == self.data_centre,
        };
        let relay_peers: Vec<RelayPeer> = peers.iter().map(relay_peer).collect();
        self.relays.borrow_mut().set_peers(&relay_peers);
        let named = peers.iter().cloned();
        let named = named.map(|peer| (peer.address, peer.data_centre));
        self.data_centres.replace(named.collect());
    }

    /// Whether this VM reaches upstreams, as far as is known.
    pub fn status(&self) -> LinkStatus {
        *self.status.borrow()
    }

    /// Whether this VM reaches no upstream.
    pub fn is_lost(&self) -> bool {
        self.status() == LinkStatus::Lost
    }

    /// Whether neither this VM nor any that it asked reaches an upstream.
    pub fn is_isolated(&self) -> bool {
        self.is_lost() && self.relays.borrow().is_none_known()
    }

    /// Whether a request that is allowed in these data centres, all if none is given, can reach an upstream: by this
    /// VM's own links, or by a VM that has lately said that it relays.
    pub fn can_send(
        &self,
        allowed_data_centres: &[String],
    ) -> bool {
        let data_centres = self.data_centres.borrow();
        let is_allowed = |address| is_relay_allowed(&data_centres, allowed_data_centres, address);
        let now = self.clock.now();
        !self.is_lost() || self.relays.borrow().has_relay_of(now, is_allowed)
    }

    /// Waits until the links are up.
    pub async fn restored(&self) {
        let mut status = self.status.subscribe();
        let is_up = |&status: &LinkStatus| status == LinkStatus::Up;
        if status.wait_for(is_up).await.is_err() {
            // The channel closes only with this monitor.
            std::future::pending::<()>().await;
        }
    }

    /// Whether this VM may lead: not while it has lost its links and another VM hasn't.
    pub fn may_lead(&self) -> bool {
        !self.is_lost() || !self.relays.borrow().has_relay(self.clock.now())
    }

    /// The VMs to offer a request to, in the data centres that it is allowed in; all if none is given.
    pub fn relays(
        &self,
        allowed_data_centres: &[String],
    ) -> Vec<SocketAddr> {
        let salt = self.requests.replace(self.requests.get() + 1);
        let data_centres = self.data_centres.borrow();
        let is_allowed = |address| is_relay_allowed(&data_centres, allowed_data_centres, address);
        let now = self.clock.now();
        self.relays.borrow().candidates(salt, now, is_allowed)
    }

    /// Records whether another VM relayed a request.
    pub fn note_relay(
        &self,
        address: SocketAddr,
        relays: bool,
    ) {
        let now = self.clock.now();
        self.relays.borrow_mut().note(address, relays, now);
        if !relays {
            self.relay_pool.close_idle(address);
        }
    }

    /// Records that an upstream sent something.
    pub fn note_heard(&self) {
        self.links.borrow_mut().note_heard(self.clock.now());
    }

    /// Returns the status after a failed connection, once the links have been tested.
    pub async fn after_failure(&self) -> LinkStatus {
        let begins = self.links.borrow_mut().note_failure(self.clock.now());
        self.after_test(begins).await
    }

    /// Returns the status after an overdue response, once the links have been tested if no other one arrived.
    pub async fn after_silence(&self) -> LinkStatus {
        let begins = self.links.borrow_mut().note_silence(self.clock.now());
        self.after_test(begins).await
    }

    /// Waits for a response over a link of this VM.
    ///
    /// # Errors
    ///
    /// [`LinksLost`], with `can_abort` only, if the links are lost while the response is overdue.
    pub async fn attend<F>(
        &self,
        response: F,
        can_abort: bool,
    ) -> Result<F::Output, LinksLost>
    where
        F: Future,
    {
        let mut response = pin!(response);
        if let Ok(output) = timeout(OVERDUE.to_std(), &mut response).await {
            return Ok(output);
        }
        let begins = self.links.borrow_mut().note_silence(self.clock.now());
        self.begin_test(begins);
        tokio::select! {
            output = &mut response => Ok(output),
            () = self.lost_for(ABORT_DELAY), if can_abort => Err(LinksLost),
        }
    }

    fn begin_test(
        &self,
        begins: bool,
    ) {
        if begins {
            self.status.send_replace(LinkStatus::Suspect);
            self.test_due.notify_one();
        }
    }

    async fn after_test(
        &self,
        begins: bool,
    ) -> LinkStatus {
        self.begin_test(begins);
        let mut status = self.status.subscribe();
        let tested = status.wait_for(|&status| status != LinkStatus::Suspect);
        match timeout(VERDICT_TIMEOUT.to_std(), tested).await {
            Ok(Ok(status)) => *status,
            Ok(Err(_)) | Err(_) => LinkStatus::Suspect,
        }
    }

    /// Waits until the links have been lost for a while.
    async fn lost_for(
        &self,
        time: Millis,
    ) {
        let mut status = self.status.subscribe();
        loop {
            if status
                .wait_for(|&status| status == LinkStatus::Lost)
                .await
                .is_err()
            {
                // The channel closes only with this monitor.
                return std::future::pending().await;
            }
            sleep(time.to_std()).await;
            if self.is_lost() {
                return;
            }
        }
    }

    /// Tests the links.
    async fn test(
        &self,
        cx: &Context,
        round: u64,
    ) {
        let was_lost = self.is_lost();
        let scheduler = &cx.scheduling.local_scheduler;
        let (targets, known) = scheduler.probe_targets(round, PROBES_PER_TEST);
        let probes = targets.iter().zip(0..).map(|(target, before)| async move {
            sleep(PROBE_STAGGER.to_std() * before).await;
            (target.id, probe_upstream(cx, target).await)
        });
        let mut probes: FuturesUnordered<_> = probes.collect();
        let mut results = Vec::new();
        while let Some((id, result)) = probes.next().await {
            results.push((id, result));
            if result == ProbeResult::Answered {
                break;
            }
        }
        let now = self.clock.now();
        let status = {
            let mut links = self.links.borrow_mut();
            links.note_test(&results, known, now);
            links.status()
        };
        match (was_lost, status) {
            (false, LinkStatus::Lost) => {
                Line::new("links_lost").with("probed", results.len()).warn();
                self.lost_since.set(now);
                // Its idle connections are of no use, and a request that can't be repeated must not get one.
                cx.pool.close_all_idle();
                self.relays.borrow_mut().restart();
            }
            (true, LinkStatus::Up) => Line::new("links_restored")
                .with("after_ms", now.since(self.lost_since.get()))
                .info(),
            _ => {}
        }
        self.status.send_replace(status);
    }

    /// Asks other VMs whether they reach upstreams.
    async fn ask_peers(
        &self,
        round: u64,
    ) {
        let asked = self.relays.borrow().to_ask(round);
        let answers = asked.iter().map(|&address| async move {
            let relays = ask_peer(&self.relay_pool, address).await;
            self.note_relay(address, relays);
        });
        join_all(answers).await;
        self.relays.borrow_mut().end_turn(self.clock.now());
    }
}

/// Whether a VM may relay a request that is allowed in these data centres, all if none is given.
fn is_relay_allowed(
    data_centres: &BTreeMap<SocketAddr, String>,
    allowed: &[String],
    address: SocketAddr,
) -> bool {
    let data_centre = data_centres.get(&address);
    allowed.is_empty() || data_centre.is_some_and(|name| allowed.contains(name))
}

/// Tests the links when that is due; never returns.
pub async fn monitor_links(cx: Rc<Context>) {
    let links = Rc::clone(&cx.links);
    for round in 0.. {
        if links.is_lost() {
            sleep(RETEST_INTERVAL.to_std()).await;
            join(links.test(&cx, round), links.ask_peers(round)).await;
        } else {
            links.test_due.notified().await;
            links.test(&cx, round).await;
            if links.is_lost() {
                links.ask_peers(round).await;
            }
        }
    }
}
