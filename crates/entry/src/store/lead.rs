//! Leader election through the store: campaigning, renewing the lease, resigning.

use {
    super::{
        Feed, KvStore, Membership,
        membership::{LAST_KEY, LEADER_KEY},
        relay::Relay,
    },
    crate::context::Context,
    futures::{FutureExt, future::select_ok},
    jasmine_core::{clock::Millis, ids::Fence},
    jasmine_store::store::{Compare, Lease, LeaseId, Op, Range, Store, StoreError, Txn},
    jasmine_telemetry::log::Line,
    std::{cell::Cell, rc::Rc},
    tokio::time::{sleep, timeout},
};

/// Time to live of the leader's lease; bounds the time without a scheduler after the leader is suspended.
const LEASE: Millis = Millis(1_200);
/// How often the leader's lease is renewed.
const RENEW_EVERY: Millis = Millis(300);
/// Timeout of a renewal, short enough for two of them to fail before the lease expires.
const RENEWAL: Millis = Millis(350);
/// How long before its expiry the lease stops being valid for orders to engines that don't check fencing tokens.
///
/// Covers the transit time of an order and the clock drift between VM and store.
const MARGIN: Millis = Millis(200);
/// How often a VM checks whether it may campaign, without a notification.
const LOOK_EVERY: Millis = Millis(400);
/// How often the first candidates read the key of an unresponsive leader, which is faster than batched changes.
const ASK_EVERY: Millis = Millis(150);
/// Delay between successive candidates' first reads of the key.
const ASK_TURN: Millis = Millis(700);
/// Candidates that read the key.
const ASKERS: usize = 3;
/// Silence after which this VM's own connection to the leader is presumed broken.
const ASK_FOR: Millis = Millis(4_000);

/// Campaigns when there is no leader and renews the lease while this VM leads; never returns.
pub async fn keep_lead(
    cx: Rc<Context>,
    store: KvStore,
    membership: Rc<Membership>,
    feed: Rc<Feed>,
) {
    let relay = Relay::new(Rc::clone(&cx));
    let lead = Lead {
        cx,
        store,
        membership,
        feed,
        relay,
        is_cut_off: Cell::new(false),
    };
    loop {
        if lead.membership.may_stand(&lead.cx) && !lead.is_newcomer().await {
            lead.stand().await;
        }
        match lead.membership.lead_lease.get() {
            Some(lease) if lead.cx.scheduling.is_leading() => lead.keep(lease).await,
            _ => lead.wait().await,
        }
    }
}

struct Lead {
    cx: Rc<Context>,
    store: KvStore,
    membership: Rc<Membership>,
    feed: Rc<Feed>,
    relay: Relay,
    /// Whether the last direct renewal failed.
    is_cut_off: Cell<bool>,
}

impl Lead {
    /// Waits until there may be no leader.
    async fn wait(&self) {
        if self.asks_now() {
            sleep(ASK_EVERY.to_std()).await;
            return self.ask().await;
        }
        let woken = timeout(LOOK_EVERY.to_std(), self.membership.changed.notified()).await;
        if woken.is_ok() {
            let turn = self.membership.turn(&self.cx);
            sleep(turn.min(LOOK_EVERY).to_std()).await;
        }
    }

    /// Whether the leader is unresponsive and it is this VM's turn to read its key.
    fn asks_now(&self) -> bool {
        let Some(silent) = self.cx.scheduling.leader_silent_for() else {
            return false;
        };
        let before = self.membership.before_me(&self.cx);
        self.membership.has_other_leader()
            && before < ASKERS
            && silent >= Millis(ASK_TURN.0 * before as u64)
            && silent < ASK_FOR
    }

    /// Reads the leader key.
    async fn ask(&self) {
        match self.store.range(Range::key(LEADER_KEY)).await {
            Ok(reply) => match reply.kvs.first() {
                Some(kv) => self.membership.set_leader(&self.cx, kv),
                None => self.membership.remove_leader(),
            },
            Err(e) => Line::new("leader_not_asked").with("reason", e).info(),
        }
    }

    /// Renews the lease until it has expired or another VM leads.
    async fn keep(
        &self,
        lease: Lease,
    ) {
        while self.cx.scheduling.is_leading() {
            sleep(RENEW_EVERY.to_std()).await;
            let sent = self.cx.clock.now();
            match self.renew(lease.id).await {
                Ok(Some(lease)) => self.lasts_from(sent, lease),
                Ok(None) => {
                    Line::new("lead_lapsed").with("lease", lease.id).warn();
                    self.membership.lead_lease.set(None);
                    return self.membership.remove_leader();
                }
                Err(e) => Line::new("renewal_failed").with("reason", e).info(),
            }
        }
        self.give_back(lease).await;
    }

    /// Renews the lease directly and, if that fails, through another VM.
    ///
    /// Keeps a leader that alone has lost the store from being replaced.
    async fn renew(
        &self,
        id: LeaseId,
    ) -> Result<Option<Lease>, StoreError> {
        let own = self.renew_directly(id);
        if !self.is_cut_off.get() {
            let renewed = own.await;
            return match renewed {
                Err(e) if !self.feed.is_current() => Err(e),
                Err(_) => self.relay.renew(id).await,
                renewed => renewed,
            };
        }
        if !self.feed.is_current() {
            return own.await;
        }
        let ways = [own.boxed_local(), self.relay.renew(id).boxed_local()];
        select_ok(ways).await.map(|(renewed, _)| renewed)
    }

    async fn renew_directly(
        &self,
        id: LeaseId,
    ) -> Result<Option<Lease>, StoreError> {
        let renewed = self.store.renew(id, RENEWAL).await;
        self.is_cut_off.set(renewed.is_err());
        if renewed.is_err() {
            self.feed.doubt_store();
        }
        renewed
    }

    fn granted(
        &self,
        sent: Millis,
        lease: Lease,
    ) -> Lease {
        self.lasts_from(sent, lease);
        lease
    }

    /// Extends the lease's validity, counted from when the call was `sent`, before the store received it.
    fn lasts_from(
        &self,
        sent: Millis,
        lease: Lease,
    ) {
        let surely = lease.ttl.since(MARGIN);
        self.cx.scheduling.set_lease_valid_until(sent + surely);
    }

    /// Revokes a lease that is no longer needed; it expires by itself if this fails.
    async fn give_back(
        &self,
        lease: Lease,
    ) {
        self.membership.lead_lease.set(None);
        if let Err(e) = self.store.revoke(lease.id).await {
            Line::new("lease_not_ended").with("reason", e).info();
        }
    }

    /// Whether this VM is new and other VMs know a leader.
    ///
    /// Prevents a VM that starts during a planned leader change from being elected without the handed-over state.
    async fn is_newcomer(&self) -> bool {
        self.membership.knows_no_leader(&self.cx) && self.cx.scheduling.ask_for_leader().await
    }

    /// Campaigns once, and waits if the store fails.
    async fn stand(&self) {
        match self.try_stand().await {
            Ok(()) => {}
            Err(e) => {
                Line::new("election_failed").with("reason", e).info();
                sleep(RENEW_EVERY.to_std()).await;
            }
        }
    }

    async fn try_stand(&self) -> Result<(), StoreError> {
        let ttl = LEASE.max(self.cx.settings.least_lease_ms);
        let sent = self.cx.clock.now();
        let lease = match self.membership.lead_lease.get() {
            Some(lease) => lease,
            None => self.granted(sent, self.store.grant(ttl).await?),
        };
        self.membership.lead_lease.set(Some(lease));
        let key = LEADER_KEY.to_owned();
        let compare = match self.membership.predecessor() {
            Some(revision) => Compare::ModRevision(key, revision),
            None => Compare::Absent(key),
        };
        // Another VM may have led since this one read the key, so the transaction compares its revision.
        let last = self.membership.last_was_me();
        let claim = last.map(|revision| Compare::ModRevision(LAST_KEY.to_owned(), revision));
        let me = self.membership.me();
        let txn = Txn {
            compare: std::iter::once(compare).chain(claim).collect(),
            success: vec![
                Op::put_leased(LEADER_KEY, me.encode(), lease.id),
                Op::put(LAST_KEY, me.machine()),
            ],
            failure: Vec::new(),
        };
        let reply = match self.store.txn(txn).await {
            Ok(reply) => reply,
            Err(e) => {
                // If the response was lost, the lease of the leader key shows the outcome. If the lease has
                // expired, a new one is needed.
                if e.is_not_done() {
                    self.membership.lead_lease.set(None);
                }
                return Err(e);
            }
        };
        if reply.succeeded {
            self.membership
                .take_lead(&self.cx, Fence(reply.revision), last.is_some());
            return Ok(());
        }
        for kv in reply.reads.iter().flatten() {
            match kv.key.as_str() {
                LAST_KEY => self.membership.set_last(kv),
                _ => self.membership.set_leader(&self.cx, kv),
            }
        }
        if !self.cx.scheduling.is_leading() {
            self.give_back(lease).await;
        }
        Ok(())
    }
}
