use {
    super::{Choice, LoadPlan, ServingOption},
    crate::{
        ids::{AdapterVersion, ModelId, UpstreamId},
        scheduler::WaitReason,
    },
};

/// The cheapest options found so far among the evaluated engines, with costs in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct BestOptions {
    /// Cheapest option, whether it sends, waits or loads.
    cheapest: Option<(f64, UpstreamId, ServingOption)>,
    /// The cheapest engine that has the adapter ready, without the delay by requests queued for it.
    ready: Option<(f64, UpstreamId, AdapterVersion)>,
    /// The cheapest engine with an older version that may still be used.
    stale: Option<(f64, UpstreamId, AdapterVersion)>,
}

impl BestOptions {
    /// Considers an option; `cost_without_queue` leaves out the requests already queued for the
    /// adapter.
    pub(super) fn consider(
        &mut self,
        engine: UpstreamId,
        option: ServingOption,
        cost: f64,
        cost_without_queue: f64,
    ) {
        if let ServingOption::Send(Some(adapter)) = option {
            keep_cheaper(&mut self.ready, (cost_without_queue, engine, adapter));
        }
        keep_cheaper(&mut self.cheapest, (cost, engine, option));
    }

    /// Considers an older version of the adapter that an engine still holds.
    pub(super) fn consider_stale(
        &mut self,
        engine: UpstreamId,
        adapter: AdapterVersion,
        cost: f64,
    ) {
        keep_cheaper(&mut self.stale, (cost, engine, adapter));
    }

    /// Whether the evaluated engines offer nothing better than waiting for an adapter slot.
    pub(super) const fn is_short_of_slots(&self) -> bool {
        matches!(
            self.cheapest,
            None | Some((.., ServingOption::Wait(WaitReason::AdapterSlot)))
        )
    }

    /// Turns the options into the decision for a request for `model`.
    pub(super) fn into_choice(
        self,
        model: ModelId,
    ) -> Choice {
        let (lowest, upstream, option) = self.cheapest.unwrap_or((
            f64::INFINITY,
            UpstreamId::default(),
            ServingOption::Wait(WaitReason::AdapterSlot),
        ));
        // This request is next in its queue: a new copy only helps those behind it.
        let ready = self
            .ready
            .filter(|&(cost_without_queue, ..)| cost_without_queue <= lowest);
        let available = ready.or(self.stale);
        let wait_for = |wait_reason| Choice {
            send: available.map(|(_, upstream, adapter)| (upstream, Some(adapter))),
            wait_reason,
            ..Choice::default()
        };
        match option {
            ServingOption::Send(adapter) => Choice {
                send: Some((upstream, adapter)),
                ..Choice::default()
            },
            ServingOption::Wait(WaitReason::Order) => Choice {
                needs_report: Some(upstream),
                ..wait_for(WaitReason::Order)
            },
            ServingOption::Wait(wait_reason) => wait_for(wait_reason),
            ServingOption::Load { adapter, evict } => Choice {
                load: Some(LoadPlan {
                    upstream,
                    model,
                    adapter,
                    evict,
                }),
                ..wait_for(WaitReason::Load)
            },
        }
    }
}

fn keep_cheaper<T>(
    lowest: &mut Option<(f64, UpstreamId, T)>,
    candidate: (f64, UpstreamId, T),
) {
    if lowest.as_ref().is_none_or(|lowest| candidate.0 < lowest.0) {
        *lowest = Some(candidate);
    }
}
