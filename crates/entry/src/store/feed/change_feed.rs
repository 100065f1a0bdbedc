use {
    super::{Confirmations, FeedReply, reader_state::ReaderState},
    crate::clock::Clock,
    jasmine_core::{
        clock::Millis,
        feed::{Change, ChangesSince, RecentChanges, SourceFailure},
    },
    jasmine_store::store::WatchEvent,
    std::cell::{Cell, RefCell},
    tokio::{
        sync::{Notify, watch},
        time::timeout,
    },
};

/// Time without a response after which the store counts as lost, in percent of the allowed propagation time.
///
/// Exceeds the watch pause plus the held watch, and leaves VMs that follow this one time to read the store themselves.
/// The longest pause between two responses of a store that works is 57 percent: 32 of delay and 25 of the held watch.
const STALE_PERCENT: u64 = 70;
/// How long a VM that has lost the store counts as current, in percent of the allowed propagation time.
///
/// Gives another VM of its data centre time to read the store in its place. An upstream that leaves meanwhile is still
/// not used, as each VM checks that itself.
const CURRENT_PERCENT: u64 = 150;
/// How long a VM reads the store for others after their last request.
///
/// Longer than a VM waits for the response to a request, after which it sends the next one.
const TAKEOVER_TIMEOUT: Millis = Millis(1_000);
/// How long requests wait for a reader's first response from the store once its changes are older than others may have.
const MIN_TAKEOVER_WAIT: Millis = Millis(150);
/// How long the store has to be lost to count as out of service.
const MIN_OUTAGE: Millis = Millis(1_000);
/// How long a recovery of the store is reported to other VMs.
const RECOVERY_REPORT_TIMEOUT: Millis = Millis(10_000);

/// The latest store changes, kept for this VM and served to those that follow it.
#[derive(Debug)]
pub struct Feed {
    clock: Clock,
    recent: RefCell<RecentChanges<WatchEvent>>,
    /// Wakes held requests when the feed's state changes.
    wakeup: watch::Sender<u64>,
    /// Whether this VM follows the store directly.
    is_reading: Cell<bool>,
    /// When [`Self::is_reading`] last changed.
    reading_since: Cell<Millis>,
    /// Whether this VM can follow the store directly: it has read all keys, and the store hasn't failed lately.
    can_read: Cell<bool>,
    /// When [`Self::can_read`] last changed.
    can_read_changed_at: Cell<Millis>,
    /// When another VM last requested changes.
    requested_at: Cell<Option<Millis>>,
    /// Notified when a VM requests changes that this VM doesn't read itself.
    takeover: Notify,
    has_stopped: Cell<bool>,
    /// When the store last responded to this VM.
    responded_at: Cell<Millis>,
    /// When this VM last heard from the store, directly or through another VM.
    last_contact_at: Cell<Millis>,
    /// When the store last answered this VM or one that told it so.
    answered_at: Cell<Millis>,
    /// All changes that the store held at this time have been applied; `None` before the first full read.
    complete_at: Cell<Option<Millis>>,
    /// As of when the upstreams are known for sure.
    upstreams: Confirmations,
    /// As of when the configuration is known for sure.
    config: Confirmations,
    /// Notified when a call to the store outside the watch fails.
    store_failure: Notify,
    /// When the store last recovered from an outage.
    recovered_at: Cell<Option<Millis>>,
    stale_after: Millis,
    /// Allowed propagation time of a change.
    max_propagation_delay: Millis,
}

impl Feed {
    /// Creates an empty feed; `max_propagation_delay` is the allowed propagation time of a change.
    pub fn new(max_propagation_delay: Millis) -> Self {
        Self {
            clock: Clock,
            recent: RefCell::default(),
            wakeup: watch::Sender::default(),
            is_reading: Cell::new(false),
            reading_since: Cell::new(Millis::ZERO),
            can_read: Cell::new(false),
            can_read_changed_at: Cell::new(Clock.now()),
            requested_at: Cell::new(None),
            takeover: Notify::new(),
            has_stopped: Cell::new(false),
            responded_at: Cell::new(Millis::ZERO),
            last_contact_at: Cell::new(Millis::ZERO),
            answered_at: Cell::new(Clock.now()),
            complete_at: Cell::new(None),
            upstreams: Confirmations::default(),
            config: Confirmations::default(),
            store_failure: Notify::new(),
            recovered_at: Cell::new(None),
            stale_after: Millis(max_propagation_delay.0 * STALE_PERCENT / 100),
            max_propagation_delay,
        }
    }

    /// Restarts the history after a full read at a revision.
    pub(crate) fn reset(
        &self,
        revision: u64,
    ) {
        self.recent.borrow_mut().reset(revision);
    }

    /// Records a change; returns false if a later one of its key is known.
    pub(crate) fn record_change(
        &self,
        event: &WatchEvent,
        is_major: bool,
    ) -> bool {
        let (WatchEvent::Put(kv) | WatchEvent::Delete(kv)) = event;
        let change = Change {
            revision: kv.mod_revision,
            value: event.clone(),
        };
        let now = self.clock.now();
        self.recent
            .borrow_mut()
            .record_change(&kv.key, change, is_major, now)
    }

    /// Whether a change of a key later than a revision is known.
    pub(crate) fn has_changed_since(
        &self,
        key: &str,
        revision: u64,
    ) -> bool {
        self.recent.borrow().has_changed_since(key, revision)
    }

    /// Records that keys which came and went between two revisions are unknown.
    pub(crate) fn note_gap(
        &self,
        after: u64,
        revision: u64,
    ) {
        self.recent.borrow_mut().note_gap(after, revision);
    }

    /// Marks the history as complete up to a revision.
    pub(crate) fn advance(
        &self,
        revision: u64,
    ) {
        self.recent.borrow_mut().advance(revision, self.clock.now());
        self.wakeup.send_modify(|count| *count += 1);
    }

    /// Records that the store has just responded to this VM.
    pub(crate) fn record_response(&self) {
        self.responded_at.set(self.clock.now());
        self.record_contact(Millis::ZERO);
    }

    /// Records that this VM has just heard from the store, directly or through another VM that it answered this long ago.
    pub(crate) fn record_contact(
        &self,
        answered_ago: Millis,
    ) {
        let now = self.clock.now();
        self.last_contact_at.set(now);
        let answered_at = now.since(answered_ago).max(self.answered_at.get());
        self.answered_at.set(answered_at);
    }

    /// Records that all changes that the store held at `at` have been applied.
    pub(crate) fn set_complete_at(
        &self,
        at: Millis,
    ) {
        self.complete_at.set(self.complete_at.get().max(Some(at)));
        self.config.note_known_at(at);
    }

    /// The latest time at which the store held no other changes than those applied; `None` before the first full read.
    pub(crate) const fn complete_at(&self) -> Option<Millis> {
        self.complete_at.get()
    }

    /// Whether all upstreams that the store held at `since`, or later, are known; asks the store if that is open, for up
    /// to `wait`.
    pub(crate) async fn confirm(
        &self,
        since: Millis,
        wait: Millis,
    ) -> bool {
        self.complete_at.get().is_some() && self.upstreams.confirm(since, wait).await
    }

    /// The same for the configuration.
    pub(crate) async fn confirm_config(
        &self,
        since: Millis,
        wait: Millis,
    ) -> bool {
        self.complete_at.get().is_some() && self.config.confirm(since, wait).await
    }

    /// As of when the upstreams are known for sure.
    pub(crate) const fn upstreams(&self) -> &Confirmations {
        &self.upstreams
    }

    /// As of when the configuration is known for sure.
    pub(crate) const fn config(&self) -> &Confirmations {
        &self.config
    }

    /// The revision up to which all changes are applied.
    pub(crate) fn revision(&self) -> u64 {
        self.recent.borrow().revision()
    }

    /// How long the store has answered neither this VM nor one that has told it of an answer.
    pub(crate) fn unanswered_for(&self) -> Millis {
        self.clock.now().since(self.answered_at.get())
    }

    /// Whether this VM has recently heard from the store, directly or through another VM.
    pub(crate) fn is_current(&self) -> bool {
        self.clock.now().since(self.last_contact_at.get())
            < Millis(self.max_propagation_delay.0 * CURRENT_PERCENT / 100)
    }

    /// Reports that a call to the store outside the watch failed.
    pub(crate) fn report_store_failure(&self) {
        self.store_failure.notify_one();
    }

    /// Waits for the next report by [`Self::report_store_failure`].
    pub(crate) async fn store_failure_reported(&self) {
        self.store_failure.notified().await;
    }

    /// Records when the store recovered from an outage.
    pub(crate) fn set_recovered_at(
        &self,
        at: Millis,
    ) {
        self.recovered_at.set(Some(at));
    }

    /// Whether this VM follows the store directly.
    pub(crate) const fn is_reading(&self) -> bool {
        self.is_reading.get()
    }

    /// Sets whether this VM follows the store directly.
    pub(crate) fn set_reading(
        &self,
        is_reading: bool,
    ) {
        if self.is_reading.replace(is_reading) != is_reading {
            self.reading_since.set(self.clock.now());
            self.wakeup.send_modify(|count| *count += 1);
        }
    }

    /// Sets whether this VM can follow the store directly.
    pub(crate) fn set_can_read(
        &self,
        can_read: bool,
    ) {
        if self.can_read.replace(can_read) != can_read {
            self.can_read_changed_at.set(self.clock.now());
            self.wakeup.send_modify(|count| *count += 1);
        }
    }

    /// Whether this VM hasn't heard from the store for a while and knows of no outage that explains it.
    ///
    /// So it is after a suspension; calls that were under way then may fail just after it.
    pub(crate) fn is_out_of_step(&self) -> bool {
        let lost_for = self.clock.now().since(self.can_read_changed_at.get());
        !self.is_current() && (self.can_read.get() || lost_for < MIN_OUTAGE)
    }

    /// Whether other VMs have requested changes lately.
    pub(crate) fn is_requested(&self) -> bool {
        self.requested_at
            .get()
            .is_some_and(|at| self.clock.now().since(at) < TAKEOVER_TIMEOUT)
    }

    /// Waits until a VM requests changes that this VM doesn't read itself.
    pub(crate) async fn takeover_requested(&self) {
        self.takeover.notified().await;
    }

    /// Stops serving changes to other VMs.
    pub fn stop(&self) {
        self.has_stopped.set(true);
        self.wakeup.send_modify(|count| *count += 1);
    }

    /// Returns the changes after a revision, waiting up to `wait` for the first one that isn't minor.
    ///
    /// A request makes this VM read the store: it is sent only if the VMs that come first don't respond.
    pub async fn changes(
        &self,
        after: u64,
        minor_after: Option<u64>,
        wait: Millis,
    ) -> FeedReply {
        let began = self.clock.now();
        let until = began + wait;
        self.requested_at.set(Some(began));
        if !self.is_reading.get() && self.can_read.get() {
            self.takeover.notify_one();
        }
        let takeover_until = until.min(self.takeover_deadline(began));
        let mut wakeup = self.wakeup.subscribe();
        loop {
            wakeup.mark_unchanged();
            let now = self.clock.now();
            let stale_at = self.responded_at.get() + self.stale_after;
            let deadline = match self.reader_state(now, stale_at) {
                ReaderState::Starting if now < takeover_until => takeover_until,
                ReaderState::Starting | ReaderState::NotReading => {
                    return FeedReply::Unknown(SourceFailure::NotReading);
                }
                ReaderState::Stale => return FeedReply::Unknown(SourceFailure::Stale),
                ReaderState::Current => match self.reply(after, minor_after, now, until) {
                    Some(reply) => return reply,
                    None => until.min(stale_at),
                },
            };
            let pause = deadline.since(now).max(Millis(1));
            // The state is checked again after a change and after the timeout.
            let _either = timeout(pause.to_std(), wakeup.changed()).await;
        }
    }

    /// Until when a request that came at `began` may wait for this VM's first response from the store.
    ///
    /// Changes have to arrive in time even if this VM has lost the store unnoticed, as the one before it may have.
    fn takeover_deadline(
        &self,
        began: Millis,
    ) -> Millis {
        let known_at = self.complete_at.get().unwrap_or_default();
        (known_at + self.stale_after).max(began + MIN_TAKEOVER_WAIT)
    }

    fn reader_state(
        &self,
        now: Millis,
        stale_at: Millis,
    ) -> ReaderState {
        // A VM that has just switched to the store has no response yet, which doesn't mean that the store is lost.
        let has_just_switched = now < self.reading_since.get() + self.stale_after;
        match self.is_reading.get() {
            _ if self.has_stopped.get() => ReaderState::NotReading,
            true if now < stale_at => ReaderState::Current,
            true if !has_just_switched => ReaderState::Stale,
            _ if self.can_read.get() => ReaderState::Starting,
            _ => ReaderState::NotReading,
        }
    }

    fn reply(
        &self,
        after: u64,
        minor_after: Option<u64>,
        now: Millis,
        until: Millis,
    ) -> Option<FeedReply> {
        let recent = self.recent.borrow();
        match recent.since(after, minor_after) {
            ChangesSince::Gone => Some(FeedReply::Unknown(SourceFailure::HistoryGone)),
            ChangesSince::Changes(events) if events.is_empty() && now < until => None,
            ChangesSince::Changes(events) => Some(FeedReply::Changes {
                revision: recent.revision(),
                since_recovery: self.since_recovery(now),
                // A response whose changes are still being applied doesn't count for `revision`.
                answered_ago: now.since(self.complete_at.get().unwrap_or_default()),
                events,
            }),
        }
    }

    fn since_recovery(
        &self,
        now: Millis,
    ) -> Option<Millis> {
        let since = now.since(self.recovered_at.get()?);
        (since < RECOVERY_REPORT_TIMEOUT).then_some(since)
    }
}
