use jasmine_core::{
    clock::Millis,
    ids::{Epoch, Holder},
};

/// How long the fleet may take to open an epoch for a gateway that it knows.
const OPENS_WITHIN: Millis = Millis(2_000);
/// How long a gateway waits to become known; in an outage of the store it never does.
const KNOWN_WITHIN: Millis = Millis(4_000);

/// How long rights may be on their way after holders have come or gone: until the next epoch has begun.
const FLUX: Millis = Millis(2_500);

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
    known_at: Option<Millis>,
    closing: bool,
    /// Holders and whether each is about to stop.
    holders: Vec<(Holder, bool)>,
    flux_until: Millis,
    settled: bool,
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
