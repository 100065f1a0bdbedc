use {super::RouterSettings, crate::clock::Millis};

/// Circuit breaker for a failing upstream.
///
/// Without it, an engine that refuses connections looks idle and attracts all requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Breaker {
    failures: u32,
    trips: u32,
    open_until: Millis,
    probing: bool,
}

impl Breaker {
    /// Whether the upstream may get a request; after an open period a single probe goes first.
    pub(super) fn is_closed(
        &self,
        now: Millis,
    ) -> bool {
        now >= self.open_until && !self.probing
    }

    pub(super) fn sent(&mut self) {
        self.probing = self.trips > 0;
    }

    pub(super) fn succeeded(&mut self) {
        *self = Self::default();
    }

    pub(super) fn failed(
        &mut self,
        settings: &RouterSettings,
        now: Millis,
    ) {
        self.failures += 1;
        if self.failures < settings.trip_after && !self.probing {
            return;
        }
        let doublings = self.trips.min(16);
        let pause = Millis(settings.first_pause.0 << doublings).min(settings.max_pause);
        self.open_until = now + pause;
        self.trips += 1;
        self.failures = 0;
        self.probing = false;
    }
}
