use {
    super::{
        EngineView, RouterSettings, UpstreamSpec, UpstreamSpecKind, circuit_breaker::CircuitBreaker,
    },
    crate::{
        clock::Millis,
        ids::{AdapterVersion, Fence},
    },
    std::collections::BTreeMap,
};

/// Permission from an engine's owner to use an adapter copy there, held by this gateway.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldGrant {
    pub(super) in_flight: u32,
    pub(super) last_used: Millis,
    pub(super) is_recalled: bool,
}

/// What this gateway knows about one upstream.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub(super) spec: UpstreamSpec,
    /// The highest fencing token seen for it.
    pub(super) seen_fence: Fence,
    pub(super) view: Option<EngineView>,
    /// This gateway's requests in flight.
    pub(super) own_in_flight: u32,
    /// This gateway's requests in flight when the view arrived.
    pub(super) own_in_flight_at_view: u32,
    pub(super) breaker: CircuitBreaker,
    pub(super) held: BTreeMap<(AdapterVersion, Fence), HeldGrant>,
    /// No acquire requests before this time, since its owner is changing.
    pub(super) next_ask_at: Millis,
}

impl Engine {
    pub(super) fn new(spec: UpstreamSpec) -> Self {
        Self {
            spec,
            seen_fence: Fence::default(),
            view: None,
            own_in_flight: 0,
            own_in_flight_at_view: 0,
            breaker: CircuitBreaker::default(),
            held: BTreeMap::new(),
            next_ask_at: Millis::ZERO,
        }
    }

    /// Whether it may get new requests.
    pub(super) fn is_usable(
        &self,
        now: Millis,
    ) -> bool {
        let healthy = self.view.as_ref().is_none_or(|view| view.healthy);
        healthy && !self.spec.is_draining && self.breaker.is_closed(now)
    }

    /// Estimated number of its requests: the reported number plus those sent since.
    pub(super) fn load(&self) -> u32 {
        let reported = self
            .view
            .as_ref()
            .map_or(0, |view| view.running + view.waiting);
        (reported + self.own_in_flight)
            .saturating_sub(self.own_in_flight_at_view)
            .max(self.own_in_flight)
    }

    /// The load as a multiple of the batch size.
    pub(super) fn utilisation(&self) -> f64 {
        let batch = match self.spec.kind {
            UpstreamSpecKind::Engine { max_batch, .. } => max_batch.max(1),
            UpstreamSpecKind::Server { .. } => 1,
        };
        f64::from(self.load()) / f64::from(batch)
    }

    /// The expected wait in batches, including the cost of another data centre.
    pub(super) fn cost(
        &self,
        settings: &RouterSettings,
    ) -> f64 {
        let is_remote = self.spec.data_centre != settings.data_centre;
        self.utilisation() + if is_remote { settings.remote_cost } else { 0.0 }
    }
}
