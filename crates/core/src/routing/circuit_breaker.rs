use {super::RouterSettings, crate::clock::Millis};

/// Circuit breaker for a failing upstream.
///
/// Without it, an engine that refuses connections looks idle and attracts all requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CircuitBreaker {
    failures: u32,
    times_opened: u32,
    open_until: Millis,
    is_probing: bool,
}

impl CircuitBreaker {
    /// Whether the upstream may get a request; after an open period a single probe goes first.
    pub(super) fn is_closed(
        &self,
        now: Millis,
    ) -> bool {
        now >= self.open_until && !self.is_probing
    }

    pub(super) fn record_sent(&mut self) {
        self.is_probing = self.times_opened > 0;
    }

    pub(super) fn record_success(&mut self) {
        *self = Self::default();
    }

    pub(super) fn record_failure(
        &mut self,
        settings: &RouterSettings,
        now: Millis,
    ) {
        self.failures += 1;
        if self.failures < settings.breaker_threshold && !self.is_probing {
            return;
        }
        let doublings = self.times_opened.min(16);
        let delay =
            Millis(settings.min_breaker_delay.0 << doublings).min(settings.max_breaker_delay);
        self.open_until = now + delay;
        self.times_opened += 1;
        self.failures = 0;
        self.is_probing = false;
    }
}
