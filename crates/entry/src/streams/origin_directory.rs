use {
    super::origin_peer::OriginPeer,
    crate::clock::Clock,
    futures::{StreamExt, stream::FuturesUnordered},
    jasmine_core::{
        clock::Millis,
        ids::StreamId,
        streams::{ASKED_VMS, HOLDERS, Inquiry, StreamOrigins, holders_of},
    },
    std::{
        cell::RefCell,
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        rc::Rc,
    },
    tokio::time::timeout,
    xxhash_rust::xxh3::xxh3_64,
};

/// How long other VMs are waited for; a caller that takes a stream up waits as long if one of them is gone.
const INQUIRY_TIMEOUT: Millis = Millis(250);

/// The software versions that began the streams of all VMs, as far as this VM keeps or can find them.
#[derive(Debug)]
pub struct OriginDirectory {
    me: String,
    origins: RefCell<StreamOrigins>,
    /// The other VMs, by a hash of their names.
    peers: RefCell<HashMap<u64, Rc<OriginPeer>>>,
}

impl OriginDirectory {
    /// Creates an empty directory of the VM `me`, which knows no other VMs yet.
    pub fn new(me: &str) -> Self {
        Self {
            me: me.to_owned(),
            origins: RefCell::default(),
            peers: RefCell::default(),
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

    /// Records the version that began a stream of this VM's callers, and tells it to other VMs.
    pub fn begin(
        &self,
        request_id: &str,
        build: &str,
    ) {
        let stream = stream_id(request_id);
        self.record(stream, build);
        let build: Rc<str> = build.into();
        for peer in self.ranked_peers(stream, HOLDERS) {
            peer.tell(stream, &build);
        }
    }

    /// Records the version that began a stream, as another VM tells it.
    pub fn record(
        &self,
        stream: StreamId,
        build: &str,
    ) {
        let now = Clock.now();
        self.origins.borrow_mut().record(stream, build, now);
    }

    /// The version that began a stream, if this VM keeps it.
    pub fn recorded(
        &self,
        stream: StreamId,
    ) -> Option<String> {
        let origins = self.origins.borrow();
        origins.build_of(stream).map(str::to_owned)
    }

    /// Finds out which version began the stream of a caller's earlier attempt: the first VM that knows it ends the wait.
    pub async fn inquire(
        &self,
        request_id: &str,
    ) -> Inquiry {
        let stream = stream_id(request_id);
        if let Some(build) = self.recorded(stream) {
            return Inquiry {
                recorded: Some(build),
                ..Inquiry::default()
            };
        }
        let peers = self.ranked_peers(stream, ASKED_VMS);
        let mut inquiry = Inquiry {
            asked: peers.len(),
            ..Inquiry::default()
        };
        let mut answers: FuturesUnordered<_> = peers.iter().map(|peer| peer.ask(stream)).collect();
        let collect = async {
            while let Some(answer) = answers.next().await {
                inquiry.answered += usize::from(answer.is_ok());
                inquiry.recorded = answer.unwrap_or_default();
                if inquiry.recorded.is_some() {
                    return;
                }
            }
        };
        // Those that don't answer in time count as not answered.
        let _elapsed = timeout(INQUIRY_TIMEOUT.to_std(), collect).await;
        if let Some(build) = &inquiry.recorded {
            self.record(stream, build);
        }
        inquiry
    }

    /// The other VMs that keep the origin of a stream, best first.
    fn ranked_peers(
        &self,
        stream: StreamId,
        count: usize,
    ) -> Vec<Rc<OriginPeer>> {
        let peers = self.peers.borrow();
        let keys: Vec<u64> = peers.keys().copied().collect();
        let ranked = holders_of(stream, &keys, count).into_iter();
        ranked
            .filter_map(|key| peers.get(&key).map(Rc::clone))
            .collect()
    }
}

fn stream_id(request_id: &str) -> StreamId {
    StreamId(xxh3_64(request_id.as_bytes()))
}
