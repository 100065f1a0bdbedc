use {
    super::{
        hedge::HedgeSearch,
        in_flight::InFlight,
        piece::{AttemptError, Piece},
    },
    crate::{clock::Clock, scheduling::Placement},
    futures::{
        FutureExt,
        future::{LocalBoxFuture, select_all},
    },
    jasmine_core::clock::Millis,
    std::{
        future::pending,
        mem::{replace, swap},
    },
    tokio::time::sleep,
};

/// How long attempts are kept open whose answer was overtaken.
#[derive(Clone, Copy, Debug)]
pub(super) struct Standby {
    /// When they were overtaken.
    pub since: Millis,
    /// When they are closed.
    pub until: Millis,
    /// Whether they are listened to, as the other one has begun and not gone on yet.
    pub listens: bool,
}

/// The attempts of a request that are in flight: one, and its hedges beside it.
///
/// Whichever goes on is forwarded and becomes the current one. The others stand by for a while: what goes on may break
/// off at once.
pub(super) struct Race {
    /// The attempt whose answer is forwarded.
    pub current: InFlight,
    /// The other ones.
    pub rivals: Vec<InFlight>,
    /// The search for an upstream for one more.
    pub search: Option<LocalBoxFuture<'static, Placement>>,
    /// While the rivals stand by.
    pub standby: Option<Standby>,
}

impl Race {
    pub(super) const fn new(current: InFlight) -> Self {
        Self {
            current,
            rivals: Vec::new(),
            search: None,
            standby: None,
        }
    }

    /// Number of attempts in flight.
    pub(super) fn in_flight(&self) -> u32 {
        1 + self.rivals.len() as u32
    }

    /// The attempts in flight; the current one is last.
    pub(super) fn attempts(&self) -> impl Iterator<Item = &InFlight> {
        self.rivals.iter().chain([&self.current])
    }

    /// Begins the search for an upstream for a hedge.
    pub(super) fn seek(
        &mut self,
        search: HedgeSearch,
    ) {
        self.search = Some(search.find().boxed_local());
    }

    /// Makes a rival the current attempt.
    pub(super) fn promote(
        &mut self,
        number: usize,
    ) {
        swap(&mut self.current, &mut self.rivals[number]);
    }

    /// Ends the current attempt and makes the rival with the latest event the current one; returns the ended one, or
    /// none if it has no rival.
    ///
    /// The race is open again, unless those that are left `have_begun` and may go on side by side for a short time only.
    pub(super) fn fall_back(
        &mut self,
        have_begun: bool,
    ) -> Option<InFlight> {
        let rivals = self.rivals.iter().enumerate();
        let (number, _) = rivals.max_by_key(|(_, rival)| rival.trace().event_at)?;
        let next = self.rivals.swap_remove(number);
        let standby = self.standby.map(|standby| Standby {
            listens: true,
            ..standby
        });
        self.standby = standby.filter(|_| have_begun && !self.rivals.is_empty());
        Some(replace(&mut self.current, next))
    }
}

/// Waits for the next piece of any of the attempts; forever without one. Nothing is lost if the wait is cancelled.
pub(super) async fn next_of(attempts: &mut [InFlight]) -> (usize, Result<Piece, AttemptError>) {
    if attempts.is_empty() {
        return pending().await;
    }
    let pieces = attempts.iter_mut().map(|it| it.next().boxed_local());
    let (piece, number, _others) = select_all(pieces).await;
    (number, piece)
}

/// Waits until an upstream is found for a hedge; forever without a search.
pub(super) async fn found(search: &mut Option<LocalBoxFuture<'static, Placement>>) -> Placement {
    match search {
        Some(search) => search.await,
        None => pending().await,
    }
}

/// Waits until the time is over for which overtaken attempts stand by; forever if none does.
pub(super) async fn standby_over(
    standby: Option<Standby>,
    clock: &Clock,
) {
    match standby {
        Some(standby) => sleep(standby.until.since(clock.now()).to_std()).await,
        None => pending().await,
    }
}
