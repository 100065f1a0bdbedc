//! Leader election through the store: campaigning, renewing the lease, resigning.

use {
    super::{
        Feed, KvStore, Membership,
        lease_relay::LeaseRelay,
        membership::{LAST_LEADER_KEY, LEADER_KEY},
        vm_record::NO_LEASE,
    },
    crate::context::Context,
    futures::{FutureExt, future::select_ok},
    jasmine_core::{clock::Millis, ids::Fence, leadership::HandoverPolicy},
    jasmine_store::store::{Compare, Lease, LeaseId, Op, Range, Store, StoreError, Txn},
    jasmine_telemetry::log::Line,
    std::{cell::Cell, rc::Rc},
    tokio::time::{sleep, timeout},
};

/// Time to live of the leader's lease; bounds the time without a scheduler after the leader is suspended.
const LEADER_LEASE_TTL: Millis = Millis(1_200);
/// How often the leader's lease is renewed.
const RENEW_INTERVAL: Millis = Millis(300);
/// Timeout of a renewal, short enough for two of them to fail before the lease expires.
const RENEW_TIMEOUT: Millis = Millis(350);
/// How long before its expiry the lease stops being valid for orders to engines that don't check fencing tokens.
///
/// Covers the transit time of an order and the clock drift between VM and store.
const LEASE_SAFETY_MARGIN: Millis = Millis(200);
/// How long a leader that hands over waits for another VM to be elected.
const HANDOVER_TIMEOUT: Millis = Millis(1_500);
const HANDOVER_CHECK_INTERVAL: Millis = Millis(20);
/// How often a VM checks whether it may campaign, without a notification.
const ELECTION_CHECK_INTERVAL: Millis = Millis(400);
/// How often the first candidates read the key of an unresponsive leader, which is faster than batched changes.
///
/// The change itself arrives up to a second later.
const LEADER_KEY_POLL_INTERVAL: Millis = Millis(150);
/// Delay between successive candidates' first reads of the key.
const LEADER_KEY_POLL_DELAY_STEP: Millis = Millis(700);
/// Candidates that read the key.
const MAX_LEADER_KEY_POLLERS: usize = 3;
/// Silence after which this VM's own connection to the leader is presumed broken.
const MAX_LEADER_SILENCE: Millis = Millis(4_000);

/// Campaigns when there is no leader and renews the lease while this VM leads; never returns.
pub async fn run_election(
    cx: Rc<Context>,
    store: KvStore,
    membership: Rc<Membership>,
    feed: Rc<Feed>,
) {
    let lease_relay = LeaseRelay::new(Rc::clone(&cx));
    let election = Election {
        cx,
        store,
        membership,
        feed,
        lease_relay,
        is_store_unreachable: Cell::new(false),
    };
    loop {
        if election.membership.can_campaign(&election.cx)
            && !election.is_leader_known_to_peers().await
        {
            election.campaign().await;
        }
        match election.membership.leader_lease.get() {
            Some(lease) if election.cx.scheduling.is_leading() => election.hold_lease(lease).await,
            _ => election.wait().await,
        }
    }
}

struct Election {
    cx: Rc<Context>,
    store: KvStore,
    membership: Rc<Membership>,
    feed: Rc<Feed>,
    lease_relay: LeaseRelay,
    /// Whether the last direct renewal failed.
    is_store_unreachable: Cell<bool>,
}

impl Election {
    /// Waits until there may be no leader.
    async fn wait(&self) {
        if self.is_poll_due() {
            sleep(LEADER_KEY_POLL_INTERVAL.to_std()).await;
            return self.poll_leader_key().await;
        }
        let woken = timeout(
            ELECTION_CHECK_INTERVAL.to_std(),
            self.membership.leader_gone.notified(),
        )
        .await;
        if woken.is_ok() {
            let election_delay = self.membership.election_delay(&self.cx);
            sleep(election_delay.min(ELECTION_CHECK_INTERVAL).to_std()).await;
        }
    }

    /// Whether the leader is unresponsive and it is this VM's turn to read its key.
    fn is_poll_due(&self) -> bool {
        let Some(silent) = self.cx.scheduling.leader_silent_for() else {
            return false;
        };
        let before = self.membership.candidates_before_me(&self.cx);
        self.membership.has_other_leader()
            && before < MAX_LEADER_KEY_POLLERS
            && silent >= Millis(LEADER_KEY_POLL_DELAY_STEP.0 * before as u64)
            && silent < MAX_LEADER_SILENCE
    }

    /// Reads the leader key.
    async fn poll_leader_key(&self) {
        match self.store.range(Range::key(LEADER_KEY)).await {
            // The read is of a prefix.
            Ok(reply) => match reply.kvs.iter().find(|kv| kv.key == LEADER_KEY) {
                Some(kv) => self.membership.set_leader(&self.cx, kv),
                None => self.membership.remove_leader(),
            },
            Err(e) => Line::new("leader_not_asked").with("reason", e).info(),
        }
    }

    /// Renews the lease until it has expired or another VM leads.
    async fn hold_lease(
        &self,
        lease: Lease,
    ) {
        let mut handover = HandoverPolicy::default();
        while self.cx.scheduling.is_leading() {
            sleep(RENEW_INTERVAL.to_std()).await;
            let sent = self.cx.clock.now();
            match self.renew(lease.id).await {
                Ok(Some(lease)) => self.extend_validity(sent, lease),
                Ok(None) => {
                    Line::new("lead_lapsed").with("lease", lease.id).warn();
                    self.membership.leader_lease.set(None);
                    return self.membership.remove_leader();
                }
                Err(e) => Line::new("renewal_failed").with("reason", e).info(),
            }
            let is_stronger = handover.is_due(
                self.membership.me().processor_percent,
                self.membership.strongest_other(),
                !self.is_store_unreachable.get(),
                self.cx.clock.now(),
            );
            if is_stronger || !self.cx.links.may_lead() {
                return self.hand_over(lease).await;
            }
        }
        self.revoke_lease(lease).await;
    }

    /// Hands leadership to a VM with more processor or with links to the upstreams: decides without orders until another VM leads.
    async fn hand_over(
        &self,
        lease: Lease,
    ) {
        Line::new("lead_handed_over")
            .with("processor_percent", self.membership.me().processor_percent)
            .with("lost_links", self.cx.links.is_lost())
            .with(
                "strongest",
                self.membership.strongest_other().unwrap_or_default(),
            )
            .info();
        let scheduling = &self.cx.scheduling;
        scheduling.announce_leaving().await;
        self.revoke_lease(lease).await;
        let began = self.cx.clock.now();
        while scheduling.is_leading() && self.cx.clock.now().since(began) < HANDOVER_TIMEOUT {
            sleep(HANDOVER_CHECK_INTERVAL.to_std()).await;
        }
        scheduling.step_down("no VM took over");
    }

    /// Renews the lease directly and, if that fails, through another VM.
    ///
    /// Keeps a leader that alone has lost the store from being replaced.
    async fn renew(
        &self,
        id: LeaseId,
    ) -> Result<Option<Lease>, StoreError> {
        let direct = self.renew_directly(id);
        if !self.is_store_unreachable.get() {
            let renewed = direct.await;
            return match renewed {
                Err(e) if !self.feed.is_current() => Err(e),
                Err(_) => self.lease_relay.renew(id).await,
                renewed => renewed,
            };
        }
        if !self.feed.is_current() {
            return direct.await;
        }
        let attempts = [
            direct.boxed_local(),
            self.lease_relay.renew(id).boxed_local(),
        ];
        select_ok(attempts).await.map(|(renewed, _)| renewed)
    }

    async fn renew_directly(
        &self,
        id: LeaseId,
    ) -> Result<Option<Lease>, StoreError> {
        let renewed = self.store.renew(id, RENEW_TIMEOUT).await;
        self.is_store_unreachable.set(renewed.is_err());
        if renewed.is_err() {
            self.feed.report_store_failure();
        }
        renewed
    }

    fn activate_lease(
        &self,
        sent: Millis,
        lease: Lease,
    ) -> Lease {
        self.extend_validity(sent, lease);
        lease
    }

    /// Extends the lease's validity, counted from when the call was `sent`, before the store received it.
    fn extend_validity(
        &self,
        sent: Millis,
        lease: Lease,
    ) {
        let valid_for = lease.ttl.since(LEASE_SAFETY_MARGIN);
        self.cx.scheduling.set_lease_valid_until(sent + valid_for);
    }

    /// Revokes a lease that is no longer needed; it expires by itself if this fails.
    async fn revoke_lease(
        &self,
        lease: Lease,
    ) {
        self.membership.leader_lease.set(None);
        if let Err(e) = self.store.revoke(lease.id).await {
            Line::new("lease_not_ended").with("reason", e).info();
        }
    }

    /// Whether this VM is new and other VMs know a leader.
    ///
    /// Prevents a VM that starts during a planned leader change from being elected without the handed-over state.
    async fn is_leader_known_to_peers(&self) -> bool {
        self.membership.is_new_without_leader(&self.cx) && self.cx.scheduling.ask_for_leader().await
    }

    /// Campaigns once, and waits if the store fails.
    async fn campaign(&self) {
        match self.try_campaign().await {
            Ok(()) => {}
            Err(e) => {
                Line::new("election_failed").with("reason", e).info();
                sleep(RENEW_INTERVAL.to_std()).await;
            }
        }
    }

    async fn try_campaign(&self) -> Result<(), StoreError> {
        let ttl = LEADER_LEASE_TTL.max(self.cx.settings.least_lease_ms);
        let sent = self.cx.clock.now();
        let lease = match self.membership.leader_lease.get() {
            Some(lease) => lease,
            None => self.activate_lease(sent, self.store.grant(ttl).await?),
        };
        self.membership.leader_lease.set(Some(lease));
        let key = LEADER_KEY.to_owned();
        let compare = match self.membership.replaceable_leader() {
            Some(revision) => Compare::ModRevision(key, revision),
            None => Compare::Absent(key),
        };
        // Another VM may have led since this one read the key, so the transaction compares its revision.
        let last = self.membership.own_last_leader_revision();
        let claim = last.map(|revision| Compare::ModRevision(LAST_LEADER_KEY.to_owned(), revision));
        let me = self.membership.me();
        let txn = Txn {
            compare: std::iter::once(compare).chain(claim).collect(),
            success: vec![
                Op::put_leased(LEADER_KEY, me.encode(), lease.id),
                Op::put(LAST_LEADER_KEY, me.host_identity()),
            ],
            failure: Vec::new(),
        };
        let reply = match self.store.txn(txn).await {
            Ok(reply) => reply,
            Err(e) => {
                // If the response was lost, the lease of the leader key shows the outcome. If the lease has
                // expired, a new one is needed.
                if e.is_not_applied() {
                    self.membership.leader_lease.set(None);
                }
                return Err(e);
            }
        };
        if reply.succeeded {
            self.membership
                .assume_leadership(&self.cx, Fence(reply.revision), last.is_some());
            return Ok(());
        }
        for kv in reply.reads.iter().flatten() {
            match kv.key.as_str() {
                LAST_LEADER_KEY => self.membership.set_last_leader(kv),
                // A conflict needn't name the lease.
                _ if kv.lease == NO_LEASE => self.poll_leader_key().await,
                _ => self.membership.set_leader(&self.cx, kv),
            }
        }
        if !self.cx.scheduling.is_leading() {
            self.revoke_lease(lease).await;
        }
        Ok(())
    }
}
