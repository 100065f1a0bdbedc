use {
    jasmine_core::{
        clock::Millis,
        ids::{AccountId, Epoch, Holder},
    },
    std::collections::BTreeMap,
};

/// How long a listed gateway waits for its first epoch before it reports ready anyway.
const EPOCH_START_TIMEOUT: Millis = Millis(2_000);
/// How long a gateway waits to be listed before it reports ready anyway, as in a store outage.
const LISTING_TIMEOUT: Millis = Millis(4_000);

/// How long rights may lack a holder after holders have joined or left.
const TRANSITION_DURATION: Millis = Millis(2_500);

/// How long the first grant of a new account's rights may take.
const FIRST_GRANT_TIMEOUT: Millis = Millis(3_000);

/// Tracks whether accounts' rights can be obtained, at startup and while holders or accounts change.
///
/// A new gateway holds no rights, and its start opens a new epoch. While the gateways enter that epoch
/// one by one, they reject each other's requests for rights, and callers would be rate limited below
/// their limit. The gateway therefore reports ready only when the epoch has begun, or after a timeout,
/// as there may be no controller that can begin one.
#[derive(Clone, Debug, Default)]
pub struct RightsAvailability {
    first_epoch: Option<(Epoch, Millis)>,
    epoch: Epoch,
    listed_at: Option<Millis>,
    is_closing: bool,
    /// All holders, and whether each is draining.
    holders: Vec<(Holder, bool)>,
    transition_until: Millis,
    startup_complete: bool,
    /// When each account without a first grant was added.
    new_accounts: BTreeMap<AccountId, Millis>,
}

impl RightsAvailability {
    /// Records the epoch state of a fleet response.
    pub fn note_epoch(
        &mut self,
        epoch: Epoch,
        is_closing: bool,
        is_listed: bool,
        now: Millis,
    ) {
        let (first_epoch, _) = *self.first_epoch.get_or_insert((epoch, now));
        self.epoch = epoch;
        self.is_closing = is_closing;
        if is_listed && self.listed_at.is_none() {
            self.listed_at = Some(now);
        }
        self.startup_complete |= is_listed && !is_closing && epoch > first_epoch;
    }

    /// Whether load balancers may send requests to this gateway.
    pub fn is_startup_complete(
        &self,
        now: Millis,
    ) -> bool {
        let late = |since: Option<Millis>, limit| since.is_some_and(|at| now.since(at) > limit);
        let first_at = self.first_epoch.map(|(_, at)| at);
        self.startup_complete
            || late(self.listed_at, EPOCH_START_TIMEOUT)
            || late(first_at, LISTING_TIMEOUT)
    }

    /// Restarts the startup wait when the first accounts are configured.
    ///
    /// Epochs that began before there were accounts granted no rights, so none of them makes a gateway ready.
    pub fn note_first_accounts(
        &mut self,
        now: Millis,
    ) {
        self.startup_complete = false;
        self.first_epoch = Some((self.epoch, now));
        self.listed_at = self.listed_at.map(|_| now);
    }

    /// Records an account that was added to the configuration.
    pub fn note_new_account(
        &mut self,
        account: AccountId,
        now: Millis,
    ) {
        self.new_accounts.insert(account, now);
    }

    /// Records that an account's rights have been granted, or that it was deleted.
    pub fn note_grant(
        &mut self,
        account: AccountId,
    ) {
        self.new_accounts.remove(&account);
    }

    /// Removes new accounts whose first grant has timed out.
    pub fn tick(
        &mut self,
        now: Millis,
    ) {
        self.new_accounts
            .retain(|_, at| now.since(*at) < FIRST_GRANT_TIMEOUT);
    }

    /// Whether an account's first grant may still be pending.
    ///
    /// Until the epoch that grants a new account's rights, no peer holds any.
    pub fn is_new_account(
        &self,
        account: AccountId,
        now: Millis,
    ) -> bool {
        let at = self.new_accounts.get(&account);
        at.is_some_and(|&at| now.since(at) < FIRST_GRANT_TIMEOUT)
    }

    /// Records the holders of rights and whether each is draining.
    ///
    /// A holder that stops returns its rights, and nobody holds them until the next epoch grants them again.
    pub fn note_holders(
        &mut self,
        holders: Vec<(Holder, bool)>,
        now: Millis,
    ) {
        if holders == self.holders {
            return;
        }
        let previous = std::mem::replace(&mut self.holders, holders);
        // The first list isn't a change.
        if !previous.is_empty() {
            self.transition_until = now + TRANSITION_DURATION;
        }
    }

    /// Whether some rights may have no holder because of an epoch change or a change of holders.
    pub fn is_in_transition(
        &self,
        now: Millis,
    ) -> bool {
        self.is_closing || now < self.transition_until
    }
}
