use {
    super::{origin_peer::OriginPeer, stored_origins::StoredOrigins},
    crate::{
        clock::Clock,
        store::{Feed, KvStore},
    },
    futures::{StreamExt, future::join_all, stream::FuturesUnordered},
    jasmine_core::{
        clock::Millis,
        ids::StreamId,
        streams::{
            KnownBuilds, LOOKUP_VMS, ORIGIN_REPLICAS, OriginLookup, ServiceBuild, StreamLog,
            StreamOrigins, StreamPage, replicas_of,
        },
    },
    jasmine_telemetry::log::Line,
    std::{
        cell::RefCell,
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        rc::Rc,
    },
    tokio::{sync::Notify, time::timeout},
    xxhash_rust::xxh3::xxh3_64,
};

/// Timeout of a lookup; it lasts as long if no VM has a record and one of them doesn't answer.
const LOOKUP_TIMEOUT: Millis = Millis(250);

/// How long the store may take to confirm which upstreams there are.
const CONFIRMATION_TIMEOUT: Millis = Millis(250);

/// The origins of streams that this VM keeps, and lookups of others at the VMs that keep them.
#[derive(Debug)]
pub struct OriginDirectory {
    me: String,
    origins: RefCell<StreamOrigins>,
    /// The other VMs, by a hash of their names.
    peers: RefCell<HashMap<u64, Rc<OriginPeer>>>,
    /// The streams of each service that began at this VM, as far as they aren't stored.
    logs: RefCell<BTreeMap<String, StreamLog>>,
    stored: StoredOrigins,
    feed: Rc<Feed>,
}

impl OriginDirectory {
    /// Creates an empty directory of the VM `me`, which knows no other VMs yet.
    pub fn new(
        me: &str,
        store: KvStore,
        feed: Rc<Feed>,
    ) -> Self {
        Self {
            me: me.to_owned(),
            origins: RefCell::default(),
            peers: RefCell::default(),
            logs: RefCell::default(),
            stored: StoredOrigins::new(store),
            feed,
        }
    }

    /// Replaces the list of VMs and their peer addresses.
    pub fn set_vms(
        &self,
        vms: &BTreeMap<String, SocketAddr>,
    ) {
        let known = self.peers.take();
        let others = vms.iter().filter(|(vm, _)| **vm != self.me);
        let peers = others.map(|(vm, &address)| {
            let key = xxh3_64(vm.as_bytes());
            let same = known.get(&key).filter(|peer| peer.address() == address);
            let peer = same.map_or_else(|| Rc::new(OriginPeer::new(address)), Rc::clone);
            (key, peer)
        });
        self.peers.replace(peers.collect());
    }

    /// Records the origin of a stream of this VM's callers, here and on other VMs, if there are any; the result is
    /// notified once one of these keeps it.
    pub fn begin(
        &self,
        request_id: &str,
        origin: ServiceBuild,
    ) -> Option<Rc<Notify>> {
        let stream = stream_id(request_id);
        self.record(stream, &origin);
        let mut logs = self.logs.borrow_mut();
        let log = logs.entry(origin.service.clone()).or_default();
        log.note(stream, origin.build.as_deref(), Clock.now());
        drop(logs);
        let origin = Rc::new(origin);
        let kept = Rc::new(Notify::new());
        let peers = self.ranked_peers(stream, ORIGIN_REPLICAS);
        for peer in &peers {
            peer.tell(stream, &origin, &kept);
        }
        (!peers.is_empty()).then_some(kept)
    }

    /// Records the origin of a stream.
    pub fn record(
        &self,
        stream: StreamId,
        origin: &ServiceBuild,
    ) {
        let now = Clock.now();
        self.origins.borrow_mut().record(stream, origin, now);
    }

    /// The origin of a stream, if this VM has a record of it.
    pub fn recorded(
        &self,
        stream: StreamId,
    ) -> Option<ServiceBuild> {
        let origins = self.origins.borrow();
        origins.build_of(stream).cloned()
    }

    /// Number of VMs, this one included.
    pub fn vms(&self) -> usize {
        self.peers.borrow().len() + 1
    }

    /// Takes the pages of streams that the store doesn't have, of services that satisfy `is_wanted`.
    pub fn take_unstored<F>(
        &self,
        is_wanted: F,
    ) -> Vec<(String, StreamPage)>
    where
        F: Fn(&str) -> bool,
    {
        let now = Clock.now();
        let mut logs = self.logs.borrow_mut();
        let wanted = logs.iter_mut().filter(|(service, _)| is_wanted(service));
        let pages = wanted.flat_map(|(service, log)| {
            let pages = log.take_unstored(now).into_iter();
            pages.map(|page| (service.clone(), page))
        });
        pages.collect()
    }

    /// Records that a page of a service could not be stored.
    pub fn put_back(
        &self,
        service: &str,
        slot: u64,
    ) {
        if let Some(log) = self.logs.borrow_mut().get_mut(service) {
            log.put_back(slot);
        }
    }

    /// Looks up the origin of the stream that a caller's earlier attempt began, if the caller names it: at this VM, at
    /// others, and last in the store; the first record found ends the wait.
    pub async fn look_up(
        &self,
        request_id: Option<&str>,
        service: &str,
    ) -> OriginLookup {
        let mut lookup = match request_id {
            Some(id) => self.look_up_at_vms(stream_id(id)).await,
            None => OriginLookup::default(),
        };
        if lookup.recorded.is_none() {
            lookup.is_none_stored = self.stored.read_into(self, service).await;
            lookup.recorded = request_id.and_then(|id| self.recorded(stream_id(id)));
        }
        lookup
    }

    async fn look_up_at_vms(
        &self,
        stream: StreamId,
    ) -> OriginLookup {
        if let Some(origin) = self.recorded(stream) {
            return OriginLookup {
                recorded: Some(origin),
                ..OriginLookup::default()
            };
        }
        let peers = self.ranked_peers(stream, LOOKUP_VMS);
        let mut lookup = OriginLookup {
            asked: peers.len(),
            ..OriginLookup::default()
        };
        let mut answers: FuturesUnordered<_> = peers.iter().map(|peer| peer.ask(stream)).collect();
        let collect = async {
            while let Some(answer) = answers.next().await {
                lookup.answered += usize::from(answer.is_ok());
                lookup.recorded = answer.unwrap_or_default();
                if lookup.recorded.is_some() {
                    return;
                }
            }
        };
        // VMs that don't answer in time count as not answered.
        let _elapsed = timeout(LOOKUP_TIMEOUT.to_std(), collect).await;
        if let Some(origin) = &lookup.recorded {
            self.record(stream, origin);
        }
        lookup
    }

    /// What is known of the builds of a service since this call: by this VM as soon as the store has confirmed its view,
    /// which `own` returns, or else by this VM and others.
    pub async fn confirmed_builds<F>(
        &self,
        service: &str,
        own: F,
    ) -> KnownBuilds
    where
        F: Fn() -> KnownBuilds,
    {
        let asked_at = Clock.now();
        if self.feed.confirm(asked_at, CONFIRMATION_TIMEOUT).await {
            return KnownBuilds {
                is_confirmed: true,
                ..own()
            };
        }
        let peers = self.ranked_peers(stream_id(service), LOOKUP_VMS);
        let ask = |peer: &Rc<OriginPeer>| {
            let peer = Rc::clone(peer);
            async move {
                let told = timeout(LOOKUP_TIMEOUT.to_std(), peer.known_builds(service)).await;
                told.ok()?.ok()
            }
        };
        let told = join_all(peers.iter().map(ask)).await;
        let told: Vec<KnownBuilds> = told.into_iter().flatten().collect();
        own().with_others(peers.len(), &told)
    }

    /// Waits until this VM knows the upstreams that the store holds now, if it hasn't heard from the store for long and
    /// knows of no outage, as after a suspension; returns whether it has waited for that.
    pub async fn catch_up(&self) -> bool {
        let is_out_of_step = self.feed.is_out_of_step();
        if is_out_of_step {
            let is_confirmed = self.feed.confirm(Clock.now(), CONFIRMATION_TIMEOUT).await;
            Line::new("caught_up")
                .with("confirmed", is_confirmed)
                .info();
        }
        is_out_of_step
    }

    /// The VMs that keep a stream's origin.
    fn ranked_peers(
        &self,
        stream: StreamId,
        count: usize,
    ) -> Vec<Rc<OriginPeer>> {
        let peers = self.peers.borrow();
        let keys: Vec<u64> = peers.keys().copied().collect();
        let ranked = replicas_of(stream, &keys, count).into_iter();
        ranked
            .filter_map(|key| peers.get(&key).map(Rc::clone))
            .collect()
    }
}

fn stream_id(request_id: &str) -> StreamId {
    StreamId(xxh3_64(request_id.as_bytes()))
}
