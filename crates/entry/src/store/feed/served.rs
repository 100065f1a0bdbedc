use {
    super::FeedAnswer,
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

/// After which part of the time in which a change has to be in force, in percent, a store that hasn't answered counts
/// as lost. Whoever follows this VM asks the store itself then, and has a change in force within the rest. Between two
/// answers of a good store lie 57 % at the most: a pause of 32 and a held watch of 25.
const STALE_PERCENT: u64 = 70;
/// For which part of that time, in percent, a VM that has lost the store counts as current: another VM of its data centre
/// needs most of it until it reads the store in its place. An upstream that leaves meanwhile isn't used all the same, as
/// each VM sees to that itself.
const CURRENT_PERCENT: u64 = 150;
/// For how long it is told that the store came back.
const BACK_TOLD: Millis = Millis(10_000);

/// What this VM knows of the store's latest changes, for itself and for those that follow it.
#[derive(Debug)]
pub struct Feed {
    clock: Clock,
    recent: RefCell<RecentChanges<WatchEvent>>,
    /// Counts what those who wait here have to look at.
    news: watch::Sender<u64>,
    /// Whether this VM follows the store, and not another VM.
    is_reading: Cell<bool>,
    /// Since when that holds.
    reading_since: Cell<Millis>,
    has_stopped: Cell<bool>,
    /// When the store last answered.
    answered_at: Cell<Millis>,
    /// When this VM last had the store's word, by itself or through another VM.
    heard_at: Cell<Millis>,
    /// Told when the store seems not to answer this VM.
    doubted: Notify,
    /// When the store was back after it had been away.
    back_at: Cell<Option<Millis>>,
    stale_after: Millis,
    /// Within which time a change has to be in force.
    in_force: Millis,
}

impl Feed {
    /// A feed that knows nothing; `in_force` is how soon a change has to be in force.
    pub fn new(in_force: Millis) -> Self {
        Self {
            clock: Clock,
            recent: RefCell::default(),
            news: watch::Sender::default(),
            is_reading: Cell::new(false),
            reading_since: Cell::new(Millis::ZERO),
            has_stopped: Cell::new(false),
            answered_at: Cell::new(Millis::ZERO),
            heard_at: Cell::new(Millis::ZERO),
            doubted: Notify::new(),
            back_at: Cell::new(None),
            stale_after: Millis(in_force.0 * STALE_PERCENT / 100),
            in_force,
        }
    }

    /// Notes that all was read at a revision.
    pub(crate) fn reset(
        &self,
        revision: u64,
    ) {
        self.recent.borrow_mut().reset(revision);
    }

    /// Notes a change; false where a later one of its key is known.
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

    /// Whether a change of a key was noted lately.
    pub(crate) fn has_changed_lately(
        &self,
        key: &str,
    ) -> bool {
        self.recent.borrow().has(key)
    }

    /// Notes that all changes up to a revision were noted.
    pub(crate) fn advance(
        &self,
        revision: u64,
    ) {
        self.recent.borrow_mut().advance(revision, self.clock.now());
        self.news.send_modify(|count| *count += 1);
    }

    /// Notes that the store has just answered.
    pub(crate) fn answered(&self) {
        self.answered_at.set(self.clock.now());
        self.heard();
    }

    /// Notes that this VM has just had the store's word, by itself or through another VM.
    pub(crate) fn heard(&self) {
        self.heard_at.set(self.clock.now());
    }

    /// Whether this VM knows the store's changes, by itself or through another VM, as those that follow others do.
    pub(crate) fn is_current(&self) -> bool {
        self.clock.now().since(self.heard_at.get())
            < Millis(self.in_force.0 * CURRENT_PERCENT / 100)
    }

    /// Notes that a call to the store failed beside those that follow it.
    pub(crate) fn doubt_store(&self) {
        self.doubted.notify_one();
    }

    /// Ends with the next such call.
    pub(crate) async fn store_doubted(&self) {
        self.doubted.notified().await;
    }

    /// Notes that the store has come back.
    pub(crate) fn came_back(
        &self,
        at: Millis,
    ) {
        self.back_at.set(Some(at));
    }

    /// Whether this VM follows the store, and not another VM.
    pub(crate) const fn is_reading(&self) -> bool {
        self.is_reading.get()
    }

    /// Says whether this VM follows the store itself.
    pub(crate) fn set_reading(
        &self,
        is_reading: bool,
    ) {
        if self.is_reading.replace(is_reading) != is_reading {
            self.reading_since.set(self.clock.now());
            self.news.send_modify(|count| *count += 1);
        }
    }

    /// Serves nobody from now on.
    pub fn stop(&self) {
        self.has_stopped.set(true);
        self.news.send_modify(|count| *count += 1);
    }

    /// Answers a VM that asks for what has changed since a revision; waits for the first change that isn't minor, or
    /// for `wait`.
    pub async fn changes(
        &self,
        after: u64,
        minor_after: Option<u64>,
        wait: Millis,
    ) -> FeedAnswer {
        let until = self.clock.now() + wait;
        let mut news = self.news.subscribe();
        loop {
            news.mark_unchanged();
            let now = self.clock.now();
            let stale_at = self.answered_at.get() + self.stale_after;
            if let Some(answer) = self.answer(after, minor_after, now, stale_at, until) {
                return answer;
            }
            let pause = until.min(stale_at).since(now).max(Millis(1));
            // Whether it was news or the time that ended the pause, all is looked at again.
            let _either = timeout(pause.to_std(), news.changed()).await;
        }
    }

    fn answer(
        &self,
        after: u64,
        minor_after: Option<u64>,
        now: Millis,
        stale_at: Millis,
        until: Millis,
    ) -> Option<FeedAnswer> {
        if !self.is_reading.get() || self.has_stopped.get() {
            return Some(FeedAnswer::Unknown(SourceFailure::NotReading));
        }
        if now >= stale_at {
            // One that has just begun to read has no answer yet; that is no sign that it has lost the store.
            let has_begun = now < self.reading_since.get() + self.stale_after;
            let why = if has_begun {
                SourceFailure::NotReading
            } else {
                SourceFailure::Stale
            };
            return Some(FeedAnswer::Unknown(why));
        }
        let recent = self.recent.borrow();
        match recent.since(after, minor_after) {
            ChangesSince::Gone => Some(FeedAnswer::Unknown(SourceFailure::HistoryGone)),
            ChangesSince::Changes(events) if events.is_empty() && now < until => None,
            ChangesSince::Changes(events) => Some(FeedAnswer::Changes {
                revision: recent.revision(),
                since_back: self.since_back(now),
                events,
            }),
        }
    }

    fn since_back(
        &self,
        now: Millis,
    ) -> Option<Millis> {
        let since = now.since(self.back_at.get()?);
        (since < BACK_TOLD).then_some(since)
    }
}
