use {super::CallerTag, crate::clock::Millis};

/// Smoothing factor of the estimated return rate.
const RETURN_RATE_SMOOTHING: f64 = 1.0 / 16.0;

/// Tokens reserved for the retry of one refused caller.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    caller: CallerTag,
    millitokens: u64,
    due: Millis,
}

/// Reservations for the refused callers of one account.
///
/// Retry times are spread by the refill rate and new callers can't use reserved tokens; otherwise
/// all refused callers would retry at once and be refused again.
///
/// Many callers never retry, so only the fraction that is expected to return is reserved.
#[derive(Clone, Debug)]
pub struct RetryReservations {
    /// Ordered by `due`.
    reservations: Vec<Reservation>,
    /// Sum of the reserved millitokens.
    millitokens: u64,
    /// Moving average of the fraction of callers that return.
    return_rate: f64,
}

impl Default for RetryReservations {
    fn default() -> Self {
        Self {
            reservations: Vec::new(),
            millitokens: 0,
            return_rate: 0.25,
        }
    }
}

impl RetryReservations {
    /// Millitokens reserved ahead of this caller; all of them if it has no reservation.
    pub fn reserved_before(
        &self,
        caller: CallerTag,
    ) -> u64 {
        let reserved_ahead = match self.position(caller) {
            None => self.millitokens,
            Some(at) => self.reservations[..at]
                .iter()
                .map(|reservation| reservation.millitokens)
                .sum(),
        };
        self.scale_by_return_rate(reserved_ahead)
    }

    /// Millitokens needed if every caller returns, used to spread retry times.
    pub const fn total(&self) -> u64 {
        self.millitokens
    }

    /// Millitokens reserved in total, scaled by the return rate.
    pub fn reserved(&self) -> u64 {
        self.scale_by_return_rate(self.millitokens)
    }

    /// Rate needed to fill all reservations in time, in millitokens per second.
    pub fn per_second(
        &self,
        now: Millis,
    ) -> u64 {
        let last = self
            .reservations
            .last()
            .map_or(now, |reservation| reservation.due);
        self.reserved() * 1000 / last.since(now).0.max(1000)
    }

    /// The retry time of `caller`, if it has a reservation.
    pub fn due(
        &self,
        caller: CallerTag,
    ) -> Option<Millis> {
        self.position(caller).map(|at| self.reservations[at].due)
    }

    /// Number of reservations.
    pub const fn len(&self) -> usize {
        self.reservations.len()
    }

    /// Adds a reservation.
    pub fn add(
        &mut self,
        caller: CallerTag,
        millitokens: u64,
        due: Millis,
    ) {
        let at = self
            .reservations
            .partition_point(|reservation| reservation.due <= due);
        self.reservations.insert(
            at,
            Reservation {
                caller,
                millitokens,
                due,
            },
        );
        self.millitokens += millitokens;
    }

    /// Removes the reservation of a caller that has returned.
    pub fn complete(
        &mut self,
        caller: CallerTag,
    ) {
        if let Some(at) = self.position(caller) {
            self.millitokens -= self.reservations.remove(at).millitokens;
            self.record_outcome(1.0);
        }
    }

    /// Removes the reservations whose callers did not return in time.
    pub fn expire(
        &mut self,
        now: Millis,
        grace: Millis,
    ) {
        let expired = self
            .reservations
            .partition_point(|reservation| reservation.due + grace <= now);
        for reservation in self.reservations.drain(..expired) {
            self.millitokens -= reservation.millitokens;
            self.return_rate -= self.return_rate * RETURN_RATE_SMOOTHING;
        }
    }

    fn record_outcome(
        &mut self,
        outcome: f64,
    ) {
        self.return_rate += (outcome - self.return_rate) * RETURN_RATE_SMOOTHING;
    }

    fn scale_by_return_rate(
        &self,
        millitokens: u64,
    ) -> u64 {
        (millitokens as f64 * self.return_rate) as u64
    }

    fn position(
        &self,
        caller: CallerTag,
    ) -> Option<usize> {
        self.reservations
            .iter()
            .position(|reservation| reservation.caller == caller)
    }
}
