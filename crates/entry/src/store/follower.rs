use {
    super::{Feed, FeedAnswer, KvStore, Membership, VmEntry, feed::ask_peer, view::View},
    crate::context::Context,
    futures::StreamExt,
    jasmine_core::{
        clock::Millis,
        feed::{MAX_MINOR_CHANGES, Source, SourceChoice, SourceFailure, VmRank},
    },
    jasmine_platform::entries,
    jasmine_store::store::{Range, RangeReply, Store, StoreError, WatchBatch, WatchEvent},
    jasmine_telemetry::log::Line,
    jasmine_wire::{
        link::{Backoff, Link, LinkOptions},
        scheduler_capnp::scheduler,
    },
    std::{collections::HashMap, net::SocketAddr, rc::Rc},
    tokio::time::sleep,
};

/// Prefix of all keys, so that one watch covers configuration, upstreams and VMs.
const EVERYTHING: &str = "";
/// Pause after a watch that returned changes, in percent of the allowed propagation time: batches bursts of changes.
const PAUSE_PERCENT: u64 = 32;
/// Bounds of the backoff after failed calls.
const RETRY_FIRST: Millis = Millis(150);
const RETRY_MOST: Millis = Millis(600);
/// Options of the links to other VMs; the call timeout is on top of the long-poll timeout.
const PEER_LINK: LinkOptions = LinkOptions {
    connect_timeout: Millis(300),
    call_timeout: Millis(350),
    // Longer than a long poll, which itself shows that the VM is alive.
    heartbeat: Millis(5_000),
    backoff_first: Millis(30),
    backoff_most: Millis(200),
};
/// Long-poll timeout at another VM. A suspended VM is detected after this plus the call timeout.
const HELD: Millis = Millis(300);
/// Pause before a leader that has lost the store looks again for a VM that reads it.
const READERS_PAUSE: Millis = Millis(60);
/// How often minor changes (what engines hold) are requested too, in case this VM has to schedule on its own.
const MINOR_EVERY: Millis = Millis(3_000);

/// Delay between successive VMs' reads of upstreams that they don't need at once.
///
/// Prevents hundreds of VMs that start together from saturating the store and delaying the election.
const READ_EACH: Millis = Millis(40);
/// Time without a leader after which VMs that aren't candidates read all upstreams too.
const LEADERLESS: Millis = Millis(800);
/// Most revisions of skipped minor changes that are read when this VM switches to the store.
const MAX_CAUGHT_UP: u64 = 1_000;

type PeerLink = Link<scheduler::Client>;

/// What follows a step of following the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    GoOn,
    /// The store has compacted the next revision: everything has to be read again.
    ReadAnew,
}

/// The revisions up to which this VM has applied changes.
#[derive(Clone, Copy, Debug, Default)]
struct Position {
    after: u64,
    /// The same for minor changes.
    minor_after: u64,
    minor_at: Millis,
}

impl Position {
    /// The first revision to read from the store: includes skipped minor changes unless there are too many.
    const fn read_from(self) -> u64 {
        if self.after - self.minor_after <= MAX_CAUGHT_UP {
            self.minor_after + 1
        } else {
            self.after + 1
        }
    }
}

struct Follower {
    cx: Rc<Context>,
    store: KvStore,
    membership: Rc<Membership>,
    feed: Rc<Feed>,
    view: Rc<View>,
    choice: SourceChoice,
    backoff: Backoff,
    links: HashMap<VmRank, PeerLink>,
    position: Position,
    /// The upstreams that are still to be read.
    unread: Option<Unread>,
}

/// Upstream entries that this VM hasn't read yet.
#[derive(Debug)]
struct Unread {
    /// The last key that was read.
    after: String,
    /// When they are read even if this VM doesn't need them.
    due: Millis,
}

/// Follows all changes of the store, directly or through another VM; never returns.
pub async fn follow(
    cx: Rc<Context>,
    store: KvStore,
    membership: Rc<Membership>,
    feed: Rc<Feed>,
) {
    let view = View::new(Rc::clone(&cx), Rc::clone(&membership), Rc::clone(&feed));
    let mut follower = Follower {
        choice: SourceChoice::new(membership.rank()),
        backoff: Backoff::new(RETRY_FIRST, RETRY_MOST),
        links: HashMap::new(),
        position: Position::default(),
        unread: None,
        view: Rc::new(view),
        cx,
        store,
        membership,
        feed,
    };
    loop {
        match follower.read_anew().await {
            Ok(()) => follower.follow().await,
            Err(e) => follower.store_failed(&e).await,
        }
    }
}

impl Follower {
    /// Reads the store up to the first page with upstreams, and sets the position to that revision.
    async fn read_anew(&mut self) -> Result<(), StoreError> {
        let mut reply = self.store.page(EVERYTHING, None).await?;
        while reply.more && !has_upstreams(&reply) {
            let after = reply.kvs.last().map(|kv| kv.key.clone());
            let page = self.store.page(EVERYTHING, after.as_deref()).await?;
            reply.kvs.extend(page.kvs);
            reply.more = page.more;
        }
        self.view.reset(&reply).await;
        self.moved_to(reply.revision, Some(reply.revision));
        let last = reply.kvs.last().filter(|_| reply.more);
        self.unread = last.map(|kv| Unread {
            after: kv.key.clone(),
            due: self.cx.clock.now() + self.membership.share_of(READ_EACH),
        });
        Ok(())
    }

    /// Reads the remaining upstreams if this VM needs them or their time has come.
    async fn read_rest(&mut self) -> Result<(), StoreError> {
        while let Some(Unread { after, due }) = &self.unread
            && (self.needs_upstreams() || self.cx.clock.now() >= *due)
        {
            let page = self.store.page(EVERYTHING, Some(after)).await?;
            self.view.take_found(&page).await;
            let last = page.kvs.last().filter(|_| page.more);
            self.unread = last.map(|kv| Unread {
                after: kv.key.clone(),
                due: *due,
            });
        }
        Ok(())
    }

    /// Whether this VM may soon need all upstreams: it reads the store for others, leads, or may be elected.
    fn needs_upstreams(&self) -> bool {
        let scheduling = &self.cx.scheduling;
        let alone = scheduling.standalone_for();
        self.feed.is_reading()
            || scheduling.is_leading()
            || alone.is_some() && self.membership.is_candidate(&self.cx)
            || alone >= Some(LEADERLESS + self.membership.share_of(READ_EACH))
    }

    /// Follows changes until the store has compacted the next one.
    async fn follow(&mut self) {
        loop {
            let mut peers = self.membership.peers_here();
            let now = self.cx.clock.now();
            let leads = self.cx.scheduling.is_leading();
            let source = if leads {
                // Local VMs may have followed this one, while readers in other data centres have the changes already.
                let elsewhere = self.membership.readers_elsewhere();
                let order = elsewhere.keys().chain(peers.keys());
                let source = self.choice.choose_for_scheduler(order.copied(), now);
                peers.extend(elsewhere);
                source
            } else {
                Some(self.choice.choose(peers.keys().copied(), now))
            };
            self.feed.set_reading(source == Some(Source::Store));
            if let Err(e) = self.read_rest().await {
                self.store_failed(&e).await;
            }
            let Some(source) = source else {
                // VMs that followed this one need a moment to start reading the store themselves.
                sleep(READERS_PAUSE.to_std()).await;
                continue;
            };
            let step = match source {
                Source::Store => self.watch_store().await,
                Source::Vm(rank) => self.ask_vm(rank, &peers[&rank]).await,
            };
            if step == Step::ReadAnew {
                return;
            }
        }
    }

    async fn watch_store(&mut self) -> Step {
        let next = self.position.read_from();
        let batch = tokio::select! {
            batch = self.next_batch(next) => batch,
            // A lease renewal detects a dead connection before the watch does.
            () = self.feed.store_doubted() => {
                Err(StoreError::OutcomeUnknown("a renewal has failed".to_owned()))
            }
        };
        match batch {
            Ok(batch) => {
                self.choice.store_responded();
                self.backoff.reset();
                self.view.note_back();
                self.take_batch(&batch).await
            }
            Err(e) => {
                self.store_failed(&e).await;
                Step::GoOn
            }
        }
    }

    async fn next_batch(
        &self,
        next: u64,
    ) -> Result<WatchBatch, StoreError> {
        let mut batches = self.store.watch(Range::key(EVERYTHING), next).await?;
        let ended = || StoreError::OutcomeUnknown("the watch ended".to_owned());
        batches.next().await.unwrap_or_else(|| Err(ended()))
    }

    async fn take_batch(
        &mut self,
        batch: &WatchBatch,
    ) -> Step {
        if batch.compacted.is_some() {
            Line::new("history_lost")
                .with("revision", self.position.minor_after)
                .warn();
            return Step::ReadAnew;
        }
        self.view.take_all(&batch.events).await;
        self.moved_to(batch.revision, Some(batch.revision));
        if !batch.events.is_empty() {
            let pause = self.cx.settings.change_ms.0 * PAUSE_PERCENT / 100;
            sleep(Millis(pause).to_std()).await;
        }
        Step::GoOn
    }

    async fn store_failed(
        &mut self,
        e: &StoreError,
    ) {
        self.choice.store_failed(self.cx.clock.now());
        self.view.note_away(e);
        sleep(self.backoff.next_pause().to_std()).await;
    }

    async fn ask_vm(
        &mut self,
        rank: VmRank,
        vm: &VmEntry,
    ) -> Step {
        let now = self.cx.clock.now();
        let asks_minor = now.since(self.position.minor_at) >= MINOR_EVERY;
        let minor_after = asks_minor.then_some(self.position.minor_after);
        let after = self.position.after;
        let answer = ask_peer(self.link(rank, vm.address), after, minor_after, HELD).await;
        match answer {
            Ok(FeedAnswer::Changes {
                revision,
                since_back,
                events,
            }) => {
                self.feed.heard();
                if let Some(since) = since_back {
                    self.view.note_back_elsewhere(since);
                }
                self.view.take_all(&events).await;
                let minor = asks_minor.then(|| minor_position(revision, &events));
                self.moved_to(revision, minor);
            }
            Ok(FeedAnswer::Unknown(why)) => self.vm_failed(rank, vm, why, &why.to_string()),
            Err(e) => self.vm_failed(rank, vm, SourceFailure::Unreachable, &e.to_string()),
        }
        Step::GoOn
    }

    fn vm_failed(
        &mut self,
        rank: VmRank,
        vm: &VmEntry,
        why: SourceFailure,
        reason: &str,
    ) {
        Line::new("feed_lost")
            .with("vm", &vm.name)
            .with("reason", reason)
            .with("revision", self.position.after)
            .info();
        let now = self.cx.clock.now();
        let is_urgent = self.cx.scheduling.is_leading() && !self.choice.is_store_available(now);
        match why {
            SourceFailure::NotReading if is_urgent => self.choice.vm_starting(rank, now),
            _ => self.choice.vm_failed(rank, why, now),
        }
    }

    fn moved_to(
        &mut self,
        revision: u64,
        minor: Option<u64>,
    ) {
        self.position.after = self.position.after.max(revision);
        if let Some(minor) = minor {
            self.position.minor_after = self
                .position
                .minor_after
                .max(minor)
                .min(self.position.after);
            self.position.minor_at = self.cx.clock.now();
        }
        self.feed.advance(self.position.after);
    }

    /// Returns the link to a VM, replaced if its address has changed.
    fn link(
        &mut self,
        rank: VmRank,
        address: SocketAddr,
    ) -> &PeerLink {
        if self
            .links
            .get(&rank)
            .is_some_and(|link| link.address() != address)
        {
            self.links.remove(&rank);
        }
        self.links
            .entry(rank)
            .or_insert_with(|| PeerLink::new(address, PEER_LINK))
    }
}

/// The revision up to which a reply has all minor changes: later ones are cut off at the limit.
fn minor_position(
    revision: u64,
    events: &[WatchEvent],
) -> u64 {
    match events.last() {
        Some(WatchEvent::Put(kv) | WatchEvent::Delete(kv)) if events.len() >= MAX_MINOR_CHANGES => {
            kv.mod_revision
        }
        _ => revision,
    }
}

/// Whether a reply reaches the upstreams, the last keys in order that VMs follow.
fn has_upstreams(reply: &RangeReply) -> bool {
    let last = reply.kvs.last();
    last.is_some_and(|kv| kv.key.as_str() >= entries::PREFIX)
}
