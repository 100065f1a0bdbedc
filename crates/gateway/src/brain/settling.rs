use jasmine_core::{clock::Millis, ids::Epoch};

/// How long the fleet may take to open an epoch for a gateway that it knows.
const OPENS_WITHIN: Millis = Millis(2_000);
/// How long a gateway waits to become known; in an outage of the store it never does.
const KNOWN_WITHIN: Millis = Millis(4_000);

/// Whether a gateway that has just started can get at its accounts' rights.
///
/// A new gateway holds nothing. It can ask its peers, but its own start opens a new epoch, and while
/// the gateways enter that one after the other they refuse each other's requests for rights. Requests that come
/// in those moments would be refused for a rate that isn't used up. So balancers are told that it is
/// ready only once that epoch has begun; after a while in any case, since there may be nobody
/// to begin one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Settling {
    first: Option<(Epoch, Millis)>,
    known_at: Option<Millis>,
    closing: bool,
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

    /// Whether rights are on their way from one epoch to the next.
    pub const fn is_closing(&self) -> bool {
        self.closing
    }
}
