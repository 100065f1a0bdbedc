use {
    crate::clock::Clock,
    jasmine_core::clock::Millis,
    std::cell::Cell,
    tokio::{
        sync::{Notify, watch},
        time::timeout,
    },
};

/// How long the store isn't asked again after it has failed to answer.
const FAILURE_BACKOFF: Millis = Millis(300);

/// As of when a part of the store is known for sure, and whether decisions wait to know it as of a later time.
///
/// All decisions that wait share one question to the store.
#[derive(Debug, Default)]
pub(crate) struct Confirmations {
    clock: Clock,
    /// What the store held at this time is known; `None` before the first answer.
    known_at: Cell<Option<Millis>>,
    /// When the store last failed to answer.
    failed_at: Cell<Option<Millis>>,
    /// The latest time as of which a decision needs to know.
    wanted_at: Cell<Millis>,
    /// Notified when a decision needs to know.
    request: Notify,
    /// Counts answers and failures.
    answers: watch::Sender<u64>,
}

impl Confirmations {
    /// What the store held at this time is known; `None` before the first answer.
    pub(crate) const fn known_at(&self) -> Option<Millis> {
        self.known_at.get()
    }

    /// Whether what the store held at `since`, or later, is known; waits up to `wait` for an answer of the store if not.
    pub(crate) async fn confirm(
        &self,
        since: Millis,
        wait: Millis,
    ) -> bool {
        let until = self.clock.now() + wait;
        let mut answers = self.answers.subscribe();
        loop {
            answers.mark_unchanged();
            let now = self.clock.now();
            if self.is_known(since) {
                return true;
            }
            if now >= until || self.has_failed(now) {
                return false;
            }
            self.wanted_at.set(self.wanted_at.get().max(since));
            self.request.notify_one();
            // The state is checked again after an answer and after the timeout.
            let _either = timeout(until.since(now).to_std(), answers.changed()).await;
        }
    }

    /// Waits until the store has to be asked.
    pub(crate) async fn requested(&self) {
        loop {
            self.request.notified().await;
            // Those who have asked may have their answer already.
            if !self.is_known(self.wanted_at.get()) && !self.has_failed(self.clock.now()) {
                return;
            }
        }
    }

    /// Records that what the store held at `at` is known: it was asked then, or later, and has answered.
    pub(crate) fn set_known_at(
        &self,
        at: Millis,
    ) {
        self.failed_at.set(None);
        self.note_known_at(at);
    }

    /// The same, if another VM has told it: the store may go on failing to answer this one.
    pub(crate) fn note_known_at(
        &self,
        at: Millis,
    ) {
        self.known_at.set(self.known_at.get().max(Some(at)));
        self.answers.send_modify(|count| *count += 1);
    }

    /// Records that the store has failed to answer.
    pub(crate) fn set_failed(&self) {
        self.failed_at.set(Some(self.clock.now()));
        self.answers.send_modify(|count| *count += 1);
    }

    fn is_known(
        &self,
        since: Millis,
    ) -> bool {
        self.known_at.get() >= Some(since)
    }

    fn has_failed(
        &self,
        now: Millis,
    ) -> bool {
        let failed_at = self.failed_at.get();
        failed_at.is_some_and(|at| now.since(at) < FAILURE_BACKOFF)
    }
}
