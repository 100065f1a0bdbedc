use {
    super::{
        ChangeSource, Feed, FeedPeer, FeedReply, KvStore, Membership,
        confirmation::{Subject, keep_confirming},
        feed::ask_peer,
        kv_store::{check_range_size, size_in_bytes},
        membership::LEADER_KEY,
        view::View,
    },
    crate::context::Context,
    futures::StreamExt,
    jasmine_core::{
        clock::Millis,
        feed::{
            CatchUp, ChangeBatch, MAX_MINOR_CHANGES, ReadNext, Source, SourceChoice, SourceFailure,
            VmRank,
        },
    },
    jasmine_platform::entries,
    jasmine_store::store::{Range, RangeReply, Store, StoreError, WatchBatch, WatchEvent},
    jasmine_telemetry::log::Line,
    jasmine_wire::{
        link::{Backoff, Link, LinkOptions},
        scheduler_capnp::scheduler,
    },
    std::{collections::HashMap, net::SocketAddr, rc::Rc},
    tokio::{task::spawn_local, time::sleep},
};

/// Prefix of all keys, so that one watch covers configuration, upstreams and VMs.
const ALL_KEYS: &str = "";
/// Pause after a watch that returned changes, in percent of the allowed propagation time: batches bursts of changes.
///
/// Each call has its price, and a slow store takes some hundred milliseconds besides.
const BATCH_DELAY_PERCENT: u64 = 32;
/// Bounds of the backoff after failed calls.
const MIN_RETRY_DELAY: Millis = Millis(150);
const MAX_RETRY_DELAY: Millis = Millis(600);
/// Options of the links to other VMs; the call timeout is on top of the long-poll timeout.
const PEER_LINK_OPTIONS: LinkOptions = LinkOptions {
    connect_timeout: Millis(300),
    call_timeout: Millis(350),
    // Longer than a long poll, which itself shows that the VM is alive.
    heartbeat_interval: Millis(5_000),
    backoff_initial: Millis(30),
    backoff_max: Millis(200),
};
/// Long-poll timeout at another VM. A suspended VM is detected after this plus the call timeout.
const LONG_POLL_TIMEOUT: Millis = Millis(300);
/// How long an answer takes beyond the time for which it is held.
const MAX_ANSWER_DELAY: Millis = Millis(250);
/// Pause before a leader that has lost the store looks again for a VM that reads it.
const READER_SEARCH_DELAY: Millis = Millis(60);
/// How often minor changes (what engines hold) are requested too, in case this VM has to schedule on its own.
const MINOR_CHANGES_INTERVAL: Millis = Millis(3_000);

/// Delay between successive VMs' reads of upstreams that they don't need at once.
///
/// Prevents hundreds of VMs that start together from saturating the store and delaying the election.
const READ_STAGGER_DELAY: Millis = Millis(40);
/// Time without a leader after which VMs that aren't candidates read all upstreams too.
const LEADERLESS_TIMEOUT: Millis = Millis(800);
/// Most revisions of skipped minor changes that are read when this VM switches to the store.
const MAX_MINOR_CATCH_UP: u64 = 1_000;

type PeerLink = Link<scheduler::Client>;

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
        if self.after - self.minor_after <= MAX_MINOR_CATCH_UP {
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
    catch_up: CatchUp,
    /// The upstreams that are still to be read.
    remaining: Option<RemainingUpstreams>,
}

/// Upstream entries that this VM hasn't read yet.
#[derive(Debug)]
struct RemainingUpstreams {
    /// The last key that was read.
    after: String,
    /// The size of what was read.
    bytes: usize,
    /// When they are read even if this VM doesn't need them.
    read_by: Millis,
}

/// Follows all changes of the store, directly or through another VM; never returns.
pub async fn follow(
    cx: Rc<Context>,
    store: KvStore,
    membership: Rc<Membership>,
    feed: Rc<Feed>,
) {
    let view = Rc::new(View::new(
        Rc::clone(&cx),
        Rc::clone(&membership),
        Rc::clone(&feed),
    ));
    for subject in [Subject::Upstreams, Subject::Configuration] {
        spawn_local(keep_confirming(
            Rc::clone(&cx),
            store.clone(),
            Rc::clone(&feed),
            Rc::clone(&view),
            subject,
        ));
    }
    let mut follower = Follower {
        choice: SourceChoice::new(membership.rank()),
        backoff: Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY),
        links: HashMap::new(),
        position: Position::default(),
        catch_up: CatchUp::default(),
        remaining: None,
        view,
        cx,
        store,
        membership,
        feed,
    };
    while let Err(e) = follower.read_first().await {
        follower.store_failed(&e).await;
    }
    follower.follow().await;
}

impl Follower {
    /// Reads the store up to the first page with upstreams, and sets the position to that revision.
    async fn read_first(&mut self) -> Result<(), StoreError> {
        let began = self.cx.clock.now();
        let pages = self.store.read_pages(ALL_KEYS, reaches_upstreams);
        let reply = pages.await?;
        self.view.reset(&reply).await;
        self.set_complete_at(began);
        self.set_position(reply.revision, Some(reply.revision));
        let last = reply.kvs.last().filter(|_| reply.more);
        self.remaining = last.map(|kv| RemainingUpstreams {
            after: kv.key.clone(),
            bytes: size_in_bytes(&reply),
            read_by: self.cx.clock.now() + self.membership.stagger_delay(READ_STAGGER_DELAY),
        });
        Ok(())
    }

    /// Reads the whole store in place of changes that are missing, and passes on what differs as changes.
    async fn read_again(&mut self) -> Result<(), StoreError> {
        let began = self.cx.clock.now();
        let reply = self.store.read_pages(ALL_KEYS, |_| false).await?;
        self.choice.store_responded();
        self.backoff.reset();
        self.view.record_store_response();
        // Without the changes of the time before, upstreams may have come and left.
        self.cx.scheduling.note_missed_upstreams();
        self.log_late_changes(&ChangeSource::FullRead, reply.revision, &[]);
        self.view.update(&reply, self.position.minor_after).await;
        self.remaining = None;
        self.set_complete_at(began);
        self.feed.upstreams().set_known_at(began);
        self.set_position(reply.revision, Some(reply.revision));
        self.catch_up.caught_up();
        Ok(())
    }

    /// Reads the remaining upstreams if this VM needs them or their time has come.
    async fn read_remaining(&mut self) -> Result<(), StoreError> {
        while let Some(RemainingUpstreams {
            after,
            bytes,
            read_by,
        }) = &self.remaining
            && (self.needs_upstreams() || self.cx.clock.now() >= *read_by)
        {
            let page = self.store.read_page(ALL_KEYS, Some(after)).await?;
            let bytes = bytes + size_in_bytes(&page);
            check_range_size(bytes)?;
            self.view.apply_page(&page).await;
            let last = page.kvs.last().filter(|_| page.more);
            self.remaining = last.map(|kv| RemainingUpstreams {
                after: kv.key.clone(),
                bytes,
                read_by: *read_by,
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
            || alone >= Some(LEADERLESS_TIMEOUT + self.membership.stagger_delay(READ_STAGGER_DELAY))
    }

    /// Follows changes; never returns.
    async fn follow(&mut self) {
        loop {
            let mut peers = self.membership.local_peers();
            let now = self.cx.clock.now();
            let can_read = self.choice.is_store_available(now);
            self.feed.set_can_read(can_read);
            let is_leading = self.cx.scheduling.is_leading();
            let source = if can_read && self.catch_up.has_lost_changes() {
                Some(Source::Store)
            } else if is_leading {
                // Local VMs may have read changes only through this VM and lag as it does. Readers
                // in other data centres may have the changes already.
                let remote = self.membership.remote_readers();
                let order = remote.keys().chain(peers.keys());
                let source = self.choice.choose_for_scheduler(order.copied(), now);
                peers.extend(remote);
                source
            } else if can_read && self.feed.is_requested() {
                Some(Source::Store)
            } else {
                Some(self.choice.choose(peers.keys().copied(), now))
            };
            self.feed.set_reading(source == Some(Source::Store));
            if let Err(e) = self.read_remaining().await {
                self.store_failed(&e).await;
            }
            let Some(source) = source else {
                // VMs that followed this one need a moment to start reading the store themselves.
                sleep(READER_SEARCH_DELAY.to_std()).await;
                continue;
            };
            match source {
                Source::Store if self.catch_up.has_lost_changes() => {
                    if let Err(e) = self.read_again().await {
                        self.store_failed(&e).await;
                    }
                }
                Source::Store => self.watch_store().await,
                Source::Vm(rank) => self.poll_vm(rank, &peers[&rank]).await,
            }
        }
    }

    async fn watch_store(&mut self) {
        let next = self.position.read_from();
        let asked_at = self.cx.clock.now();
        let known_revision = self.store.newest_revision();
        let mut is_unanswered = true;
        let batch = tokio::select! {
            batch = self.next_batch(next) => batch,
            // A lease renewal detects a dead connection before the watch does.
            () = self.feed.store_failure_reported() => {
                is_unanswered = false;
                Err(StoreError::OutcomeUnknown("a renewal has failed".to_owned()))
            }
        };
        match batch {
            Ok(batch) => {
                self.choice.store_responded();
                self.backoff.reset();
                self.view.record_store_response();
                self.apply_batch(&batch, asked_at, known_revision).await;
            }
            Err(e) => {
                Line::new("watch_failed")
                    .with("from", next)
                    .with("revision", self.position.after)
                    .with("asked_ms", self.cx.clock.now().since(asked_at))
                    .with("view_ms", self.view_age())
                    .with("reason", &e)
                    .info();
                self.note_store_failure(&e);
                if is_unanswered && matches!(e, StoreError::OutcomeUnknown(_)) {
                    self.probe_store().await;
                }
                sleep(self.backoff.next_delay().to_std()).await;
            }
        }
    }

    /// Asks for the changes of one key, to see whether the store answers at all: all changes may be too many to arrive.
    async fn probe_store(&mut self) {
        let question = self.store.changes_since(LEADER_KEY, self.position.after);
        match question.await {
            Ok(batch) if batch.compacted.is_some() => self.lose_history(),
            Ok(batch) => {
                self.catch_up.unanswered(true);
                let source = ChangeSource::Question;
                self.view.apply_all(&batch.events, &source).await;
            }
            Err(e) => {
                self.catch_up.unanswered(false);
                Line::new("store_probe_failed").with("reason", e).info();
            }
        }
    }

    /// Records that the store no longer has the changes after this VM's revision.
    fn lose_history(&mut self) {
        Line::new("history_lost")
            .with("revision", self.position.minor_after)
            .with("view_ms", self.view_age())
            .warn();
        self.catch_up.lose();
    }

    async fn next_batch(
        &self,
        next: u64,
    ) -> Result<WatchBatch, StoreError> {
        let mut batches = self.store.watch(Range::key(ALL_KEYS), next).await?;
        let ended = || StoreError::OutcomeUnknown("the watch ended".to_owned());
        batches.next().await.unwrap_or_else(|| Err(ended()))
    }

    /// Applies the answer to a watch that was sent at `asked_at`.
    async fn apply_batch(
        &mut self,
        batch: &WatchBatch,
        asked_at: Millis,
        known_revision: u64,
    ) {
        if batch.compacted.is_some() {
            return self.lose_history();
        }
        let size = ChangeBatch {
            revision: batch.revision,
            events: batch.events.len(),
            bytes: size_of_changes(&batch.events),
            known_revision,
        };
        let held = self.store.watch_timeout();
        let answered_at = answer_time(asked_at, held, self.cx.clock.now());
        let source = ChangeSource::Watch;
        self.log_late_changes(&source, batch.revision, &batch.events);
        self.view.apply_all(&batch.events, &source).await;
        let next = self.catch_up.answered(&size);
        if size.may_be_cut_off() {
            Line::new("changes_cut_off")
                .with("after", self.position.after)
                .with("revision", size.revision)
                .with("known_revision", size.known_revision)
                .with("events", size.events)
                .with("bytes", size.bytes)
                .with("view_ms", self.view_age())
                .info();
        } else {
            self.set_complete_at(answered_at);
            self.feed.upstreams().set_known_at(asked_at);
        }
        self.set_position(batch.revision, Some(batch.revision));
        if next == ReadNext::Pause {
            let pause = self.cx.settings.change_ms.0 * BATCH_DELAY_PERCENT / 100;
            sleep(Millis(pause).to_std()).await;
        }
    }

    async fn store_failed(
        &mut self,
        e: &StoreError,
    ) {
        self.note_store_failure(e);
        sleep(self.backoff.next_delay().to_std()).await;
    }

    fn note_store_failure(
        &mut self,
        e: &StoreError,
    ) {
        self.choice.store_failed(self.cx.clock.now());
        self.feed.set_can_read(false);
        self.view.record_outage(e);
    }

    async fn poll_vm(
        &mut self,
        rank: VmRank,
        vm: &FeedPeer,
    ) {
        let now = self.cx.clock.now();
        let includes_minor = now.since(self.position.minor_at) >= MINOR_CHANGES_INTERVAL;
        let minor_after = includes_minor.then_some(self.position.minor_after);
        let after = self.position.after;
        let feed = Rc::clone(&self.feed);
        let link = self.link(rank, vm.address);
        let reply = tokio::select! {
            reply = ask_peer(link, after, minor_after, LONG_POLL_TIMEOUT) => reply,
            // Others have missed that VM already and wait for this one.
            () = feed.takeover_requested() => return,
        };
        match reply {
            Ok(FeedReply::Changes {
                revision,
                since_recovery,
                answered_ago,
                events,
            }) => {
                self.feed.record_contact(answered_ago);
                if let Some(since) = since_recovery {
                    self.view.record_remote_recovery(since);
                }
                let replied_at = answer_time(now, LONG_POLL_TIMEOUT, self.cx.clock.now());
                let source = ChangeSource::Vm(vm.name.as_str().into());
                self.log_late_changes(&source, revision, &events);
                self.view.apply_all(&events, &source).await;
                self.set_complete_at(replied_at - answered_ago);
                let minor = includes_minor.then(|| minor_position(revision, &events));
                self.set_position(revision, minor);
                self.catch_up.caught_up();
            }
            Ok(FeedReply::Unknown(why)) => self.vm_failed(rank, vm, why, &why.to_string()),
            Err(e) => self.vm_failed(rank, vm, SourceFailure::Unreachable, &e.to_string()),
        }
    }

    fn vm_failed(
        &mut self,
        rank: VmRank,
        vm: &FeedPeer,
        why: SourceFailure,
        reason: &str,
    ) {
        Line::new("feed_lost")
            .with("vm", &vm.name)
            .with("reason", reason)
            .with("revision", self.position.after)
            .with("view_ms", self.view_age())
            .info();
        let now = self.cx.clock.now();
        let is_urgent = self.cx.scheduling.is_leading() && !self.choice.is_store_available(now);
        match why {
            SourceFailure::NotReading if is_urgent => self.choice.vm_starting(rank, now),
            _ => self.choice.vm_failed(rank, why, now),
        }
    }

    /// How long ago this VM's view was complete, in milliseconds for the log; `-` before the first full read.
    fn view_age(&self) -> String {
        let age = |at| self.cx.clock.now().since(at).to_string();
        self.feed.complete_at().map_or_else(|| "-".to_owned(), age)
    }

    /// Logs that a view which was older than changes may be is complete again, by changes from `source`.
    fn log_late_changes(
        &self,
        source: &ChangeSource,
        revision: u64,
        events: &[WatchEvent],
    ) {
        let now = self.cx.clock.now();
        let late = |at: &Millis| now.since(*at) > self.cx.settings.change_ms;
        if !self.feed.complete_at().as_ref().is_some_and(late) {
            return;
        }
        Line::new("changes_late")
            .with("source", source)
            .with("after", self.position.after)
            .with("revision", revision)
            .with("view_ms", self.view_age())
            .with("events", events.len())
            .with("bytes", size_of_changes(events))
            .warn();
    }

    /// Records that all changes that the store held at `at` have been applied.
    fn set_complete_at(
        &self,
        at: Millis,
    ) {
        self.feed.set_complete_at(at);
        let local_scheduler = &self.cx.scheduling.local_scheduler;
        local_scheduler.set_complete_at(at);
    }

    fn set_position(
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
            .or_insert_with(|| PeerLink::new(address, PEER_LINK_OPTIONS))
    }
}

/// The time of which an answer tells that was received at `now`, if the question could be held for `held`.
///
/// One that comes later may have been given at any time since the question: this VM was suspended, or the answer held up.
fn answer_time(
    asked_at: Millis,
    held: Millis,
    now: Millis,
) -> Millis {
    if now.since(asked_at) <= held + MAX_ANSWER_DELAY {
        now
    } else {
        asked_at
    }
}

/// The size of the keys and values of changes, in bytes.
fn size_of_changes(events: &[WatchEvent]) -> usize {
    let size = |event: &WatchEvent| {
        let (WatchEvent::Put(kv) | WatchEvent::Delete(kv)) = event;
        kv.key.len() + kv.value.len()
    };
    events.iter().map(size).sum()
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
fn reaches_upstreams(reply: &RangeReply) -> bool {
    let last = reply.kvs.last();
    last.is_some_and(|kv| kv.key.as_str() >= entries::PREFIX)
}
