use {
    super::{ClaimRecord, ClaimState, MAX_STORED_ANSWER_BYTES},
    crate::{clock::MonotonicClock, store_keys},
    jasmine_core::clock::Millis,
    jasmine_store::store::{Compare, KeyValue, LeaseId, Op, Range, Store, StoreError, Txn},
    jasmine_telemetry::log::Line,
    std::{cell::Cell, rc::Rc},
};

/// Minimum time an answer is kept; a later retry is a new call.
const MIN_RETENTION: Millis = Millis::from_secs(24 * 3600);

/// How long one lease is used for new claims, so that each lives at least [`MIN_RETENTION`].
const LEASE_REUSE_PERIOD: Millis = Millis::from_secs(3600);

/// Maximum number of attempts to remove a claim whose outcome is unknown.
const MAX_REMOVE_ATTEMPTS: u32 = 20;

/// Delay between attempts to remove a claim.
const REMOVE_RETRY_DELAY: Millis = Millis(1_000);

/// The result of claiming an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The key was claimed; the call may start.
    Fresh,
    /// A call with this key is running, or its outcome is unknown.
    Running,
    /// The call has ended with this answer.
    Done(Vec<u8>),
    /// The key was used with a different request.
    Mismatch,
    /// The store can't record the claim; the call must not start.
    Unavailable,
}

/// Records idempotency keys in the store.
///
/// A caller without an answer may retry at any VM, even while the first call is still running. Only a
/// record shared by all VMs prevents a second run, so calls are refused while the store is unavailable.
pub struct ClaimStore {
    store: Rc<dyn Store>,
    clock: MonotonicClock,
    me: String,
    attempts: Cell<u64>,
    lease: Cell<Option<(LeaseId, Millis)>>,
}

impl std::fmt::Debug for ClaimStore {
    fn fmt(
        &self,
        f: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        f.debug_struct("ClaimDesk")
            .field("me", &self.me)
            .finish_non_exhaustive()
    }
}

impl ClaimStore {
    /// Creates a claim store; `me` prefixes attempt ids and is unique per controller run.
    pub fn new(
        store: Rc<dyn Store>,
        clock: MonotonicClock,
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
        let Some(lease) = self.reusable_lease().await else {
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
            Ok(reply) => {
                outcome_of_existing(reply.reads.first().and_then(|kvs| kvs.first()), &record)
            }
            Err(e) if e.is_not_applied() => {
                // The store also refuses an expired lease, so use a new one next time.
                self.lease.set(None);
                ClaimOutcome::Unavailable
            }
            Err(_) => match self.store.range(Range::key(&key)).await {
                Ok(reply) if reply.kvs.is_empty() => self.refuse_and_remove_claim(key, value),
                Ok(reply) => outcome_of_existing(reply.kvs.first(), &record),
                Err(_) => self.refuse_and_remove_claim(key, value),
            },
        }
    }

    /// Stores the answer of a call for retries; returns whether it succeeded.
    ///
    /// An empty answer means that the call certainly didn't run and removes its claim.
    pub async fn finish(
        &self,
        key: &[u8],
        fingerprint: &[u8],
        answer: &[u8],
    ) -> bool {
        if answer.len() > MAX_STORED_ANSWER_BYTES {
            return false;
        }
        match self.try_finish(key, fingerprint, answer).await {
            Ok(stored) => stored,
            // Not retried: it could delete the claim of the caller's next attempt and allow a second
            // run of a call in progress.
            Err(_) if answer.is_empty() => false,
            // Writing the same answer again is safe.
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

    /// Refuses the call and removes its claim in the background, in case the write took effect.
    ///
    /// The caller is told that nothing ran and may retry with the same key. A leftover claim would
    /// report a running call until it expires.
    fn refuse_and_remove_claim(
        self: Rc<Self>,
        key: String,
        value: Vec<u8>,
    ) -> ClaimOutcome {
        tokio::task::spawn_local(async move {
            for _ in 0..MAX_REMOVE_ATTEMPTS {
                tokio::time::sleep(REMOVE_RETRY_DELAY.to_std()).await;
                // Deletes only the claim of this attempt, never a later one.
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

    async fn reusable_lease(&self) -> Option<LeaseId> {
        let now = self.clock.now();
        match self.lease.get() {
            Some((lease, until)) if now < until => Some(lease),
            _ => {
                let lease = self
                    .store
                    .grant(MIN_RETENTION + LEASE_REUSE_PERIOD)
                    .await
                    .ok()?;
                self.lease.set(Some((lease.id, now + LEASE_REUSE_PERIOD)));
                Some(lease.id)
            }
        }
    }

    fn next_attempt(&self) -> String {
        self.attempts.set(self.attempts.get() + 1);
        format!("{}-{}", self.me, self.attempts.get())
    }
}

fn outcome_of_existing(
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
