use {
    super::{ClaimRecord, ClaimState, MAX_ANSWER},
    crate::{clock::OwnClock, store_keys},
    jasmine_core::clock::Millis,
    jasmine_store::store::{Compare, KeyValue, LeaseId, Op, Range, Store, StoreError, Txn},
    jasmine_telemetry::log::Line,
    std::{cell::Cell, rc::Rc},
};

/// How long an answer is kept at least; a repeat after that is a new call.
const KEPT_FOR: Millis = Millis::from_secs(24 * 3600);

/// How long one lease takes in new claims; each lives at least [`KEPT_FOR`].
const SHARED_FOR: Millis = Millis::from_secs(3600);

/// Attempts to take back a claim whose reply was lost.
const TAKE_BACK_ATTEMPTS: u32 = 20;

/// The pause between them.
const TAKE_BACK_PAUSE: Millis = Millis(1_000);

/// The answer to a gateway that asks for an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The key is this call's: begin it.
    Fresh,
    /// A call with this key is running, or nobody knows how it ended.
    Running,
    /// The call has run; this is its answer.
    Done(Vec<u8>),
    /// The key was used with another request.
    Mismatch,
    /// The store can't record the claim: the call must not begin.
    Unavailable,
}

/// Records idempotency keys in the store.
///
/// A caller that had no answer repeats its call at any VM, perhaps while the first is still running.
/// Only a record that every VM sees keeps the second from running; so without the store the call is
/// refused before it begins.
pub struct ClaimDesk {
    store: Rc<dyn Store>,
    clock: OwnClock,
    me: String,
    attempts: Cell<u64>,
    lease: Cell<Option<(LeaseId, Millis)>>,
}

impl std::fmt::Debug for ClaimDesk {
    fn fmt(
        &self,
        f: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        f.debug_struct("ClaimDesk")
            .field("me", &self.me)
            .finish_non_exhaustive()
    }
}

impl ClaimDesk {
    /// A desk whose attempts are named after `me`, unique for each run of a controller.
    pub fn new(
        store: Rc<dyn Store>,
        clock: OwnClock,
        me: String,
    ) -> Self {
        Self {
            store,
            clock,
            me,
            attempts: Cell::new(0),
            lease: Cell::new(None),
        }
    }

    /// Claims `key` for a request with this fingerprint.
    pub async fn claim(
        self: Rc<Self>,
        key: &[u8],
        fingerprint: &[u8],
    ) -> ClaimOutcome {
        let key = store_keys::claim(key);
        let record = ClaimRecord {
            fingerprint: fingerprint.to_vec(),
            attempt: self.next_attempt(),
            state: ClaimState::Running,
        };
        let Some(lease) = self.shared_lease().await else {
            return ClaimOutcome::Unavailable;
        };
        let value = record.encode(&[]);
        let txn = Txn {
            compare: vec![Compare::Absent(key.clone())],
            success: vec![Op::put_leased(&key, value.clone(), lease)],
            failure: vec![Op::Get(Range::key(&key))],
        };
        match self.store.txn(txn).await {
            Ok(reply) if reply.succeeded => ClaimOutcome::Fresh,
            Ok(reply) => judge(reply.reads.first().and_then(|kvs| kvs.first()), &record),
            Err(e) if e.is_not_applied() => {
                // A lease that has lapsed is refused too: take a new one next time.
                self.lease.set(None);
                ClaimOutcome::Unavailable
            }
            Err(_) => match self.store.range(Range::key(&key)).await {
                Ok(reply) if reply.kvs.is_empty() => self.give_up(key, value),
                Ok(reply) => judge(reply.kvs.first(), &record),
                Err(_) => self.give_up(key, value),
            },
        }
    }

    /// Keeps the answer of a call for its repeats, or takes the claim of a call that certainly didn't run
    /// back when the answer is empty; false where that could not be done.
    pub async fn finish(
        &self,
        key: &[u8],
        fingerprint: &[u8],
        answer: &[u8],
    ) -> bool {
        if answer.len() > MAX_ANSWER {
            return false;
        }
        match self.try_finish(key, fingerprint, answer).await {
            Ok(stored) => stored,
            // Taken back again, it could be the claim of the caller's next attempt that goes, and a
            // call that is running would be run once more.
            Err(_) if answer.is_empty() => false,
            // Writing the same answer again does no harm.
            Err(_) => self
                .try_finish(key, fingerprint, answer)
                .await
                .unwrap_or(false),
        }
    }

    async fn try_finish(
        &self,
        key: &[u8],
        fingerprint: &[u8],
        answer: &[u8],
    ) -> Result<bool, StoreError> {
        let key = store_keys::claim(key);
        let found = self.store.range(Range::key(&key)).await?;
        let Some(kv) = found.kvs.first() else {
            return Ok(false);
        };
        let record = match ClaimRecord::decode(&kv.value) {
            Some((record, _)) if record.fingerprint == fingerprint => record,
            _ => return Ok(false),
        };
        if record.state == ClaimState::Done {
            return Ok(true);
        }
        let done = ClaimRecord {
            state: ClaimState::Done,
            ..record
        };
        let put = if answer.is_empty() {
            Op::Delete(Range::key(&key))
        } else {
            Op::Put {
                key: key.clone(),
                value: done.encode(answer),
                lease: (kv.lease > 0).then_some(LeaseId(kv.lease)),
            }
        };
        let reply = self
            .store
            .txn(Txn {
                compare: vec![Compare::ModRevision(key, kv.mod_revision)],
                success: vec![put],
                failure: Vec::new(),
            })
            .await?;
        Ok(reply.succeeded)
    }

    /// Refuses the call and takes the claim back later, if the write took effect after all.
    ///
    /// The caller is told that nothing ran and may come back with the same key. A claim left behind
    /// would answer it that a call is running, for as long as claims are kept.
    fn give_up(
        self: Rc<Self>,
        key: String,
        value: Vec<u8>,
    ) -> ClaimOutcome {
        tokio::task::spawn_local(async move {
            for _ in 0..TAKE_BACK_ATTEMPTS {
                tokio::time::sleep(TAKE_BACK_PAUSE.to_std()).await;
                // Only this attempt's own claim is deleted, never one that came after it.
                let txn = Txn {
                    compare: vec![Compare::Value(key.clone(), value.clone())],
                    success: vec![Op::Delete(Range::key(&key))],
                    failure: Vec::new(),
                };
                if self.store.txn(txn).await.is_ok() {
                    return;
                }
            }
            Line::new("claim_left_behind").with("key", key).warn();
        });
        ClaimOutcome::Unavailable
    }

    async fn shared_lease(&self) -> Option<LeaseId> {
        let now = self.clock.now();
        match self.lease.get() {
            Some((lease, until)) if now < until => Some(lease),
            _ => {
                let lease = self.store.grant(KEPT_FOR + SHARED_FOR).await.ok()?;
                self.lease.set(Some((lease.id, now + SHARED_FOR)));
                Some(lease.id)
            }
        }
    }

    fn next_attempt(&self) -> String {
        self.attempts.set(self.attempts.get() + 1);
        format!("{}-{}", self.me, self.attempts.get())
    }
}

fn judge(
    found: Option<&KeyValue>,
    mine: &ClaimRecord,
) -> ClaimOutcome {
    match found.and_then(|kv| ClaimRecord::decode(&kv.value)) {
        None => ClaimOutcome::Unavailable,
        Some((record, _)) if record.attempt == mine.attempt => ClaimOutcome::Fresh,
        Some((record, _)) if record.fingerprint != mine.fingerprint => ClaimOutcome::Mismatch,
        Some((record, answer)) if record.state == ClaimState::Done => ClaimOutcome::Done(answer),
        Some(_) => ClaimOutcome::Running,
    }
}
