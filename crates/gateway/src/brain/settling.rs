use {
    jasmine_core::{
        clock::Millis,
        ids::{AccountId, Epoch, Holder},
    },
    std::collections::BTreeMap,
};

/// How long the fleet may take to open an epoch for a gateway that it knows.
const OPENS_WITHIN: Millis = Millis(2_000);
/// How long a gateway waits to become known; in an outage of the store it never does.
const KNOWN_WITHIN: Millis = Millis(4_000);

/// How long rights may be on their way after holders have come or gone: until the next epoch has begun.
const FLUX: Millis = Millis(2_500);

/// How long the fleet may take to give out the rights of an account that it has just learned of.
const ISSUED_WITHIN: Millis = Millis(3_000);

/// Whether a gateway that has just started can get at its accounts' rights.
///
/// A new gateway holds nothing. It can ask its peers, but its own start opens a new epoch, and while
/// the gateways enter that one after the other they refuse each other's requests for rights. Requests that come
/// in those moments would be refused for a rate that isn't used up. So balancers are told that it is
/// ready only once that epoch has begun; after a while in any case, since there may be nobody
/// to begin one.
#[derive(Clone, Debug, Default)]
pub struct Settling {
    first: Option<(Epoch, Millis)>,
    epoch: Epoch,
    known_at: Option<Millis>,
    closing: bool,
    /// Holders and whether each is about to stop.
    holders: Vec<(Holder, bool)>,
    flux_until: Millis,
    settled: bool,
    /// When accounts were first heard of, for as long as their rights may still be on their way.
    heard: BTreeMap<AccountId, Millis>,
}

impl Settling {
    /// Notes a view of the fleet.
    pub fn note(
        &mut self,
        epoch: Epoch,
        closing: bool,
        is_known: bool,
        now: Millis,
    ) {
        let (first, _) = *self.first.get_or_insert((epoch, now));
        self.epoch = epoch;
        self.closing = closing;
        if is_known && self.known_at.is_none() {
            self.known_at = Some(now);
        }
        self.settled |= is_known && !closing && epoch > first;
    }

    /// Whether balancers may be told that it is ready.
    pub fn is_settled(
        &self,
        now: Millis,
    ) -> bool {
        let late = |since: Option<Millis>, limit| since.is_some_and(|at| now.since(at) > limit);
        let first_at = self.first.map(|(_, at)| at);
        self.settled || late(self.known_at, OPENS_WITHIN) || late(first_at, KNOWN_WITHIN)
    }

    /// Notes that there are accounts now where there were none.
    ///
    /// At the first start of all VMs there may be epochs before there is a configuration. None of them has
    /// given out any rights, and a gateway that was settled by one would be ready with nothing to admit by.
    pub fn note_first_accounts(
        &mut self,
        now: Millis,
    ) {
        self.settled = false;
        self.first = Some((self.epoch, now));
        self.known_at = self.known_at.map(|_| now);
    }

    /// Notes an account that the configuration did not have before.
    pub fn note_account(
        &mut self,
        account: AccountId,
        now: Millis,
    ) {
        self.heard.insert(account, now);
    }

    /// Notes that an account's rights have been given out, to this gateway among others.
    pub fn note_issued(
        &mut self,
        account: AccountId,
    ) {
        self.heard.remove(&account);
    }

    /// Forgets since when accounts are known whose rights are no longer on their way.
    pub fn tick(
        &mut self,
        now: Millis,
    ) {
        self.heard.retain(|_, at| now.since(*at) < ISSUED_WITHIN);
    }

    /// Whether an account is so new that its rights may be on their way.
    ///
    /// The controllers learn of a new account when the gateways do; the epoch that gives out its rights
    /// comes up to a second later. Until then nobody has any, and asking peers brings nothing.
    pub fn is_new(
        &self,
        account: AccountId,
        now: Millis,
    ) -> bool {
        let at = self.heard.get(&account);
        at.is_some_and(|&at| now.since(at) < ISSUED_WITHIN)
    }

    /// Notes who holds rights, and who of them is about to stop.
    ///
    /// One that stops gives its rights back to the store; until the next epoch grants them anew they are
    /// nowhere, and what they would have admitted is refused although it isn't used up.
    pub fn note_holders(
        &mut self,
        holders: Vec<(Holder, bool)>,
        now: Millis,
    ) {
        if holders == self.holders {
            return;
        }
        let before = std::mem::replace(&mut self.holders, holders);
        // The first list tells of nobody who has come or gone.
        if !before.is_empty() {
            self.flux_until = now + FLUX;
        }
    }

    /// Whether rights are on their way from one holder or epoch to the next.
    pub fn is_in_flux(
        &self,
        now: Millis,
    ) -> bool {
        self.closing || now < self.flux_until
    }
}
