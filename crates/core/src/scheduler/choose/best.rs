use {
    super::{Choice, LoadPlan, Way},
    crate::{
        ids::{AdapterVersion, ModelId, UpstreamId},
        scheduler::WaitReason,
    },
};

/// The best that was found so far among the engines that were looked at; costs in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Best {
    /// The way that costs least.
    way: Option<(f64, UpstreamId, Way)>,
    /// Where the adapter is ready, whatever waits for it.
    ready: Option<(f64, UpstreamId, AdapterVersion)>,
    /// Where an older version may still be used.
    stale: Option<(f64, UpstreamId, AdapterVersion)>,
}

impl Best {
    /// Weighs a way; `alone` is what it would cost if nobody else waited for the adapter.
    pub(super) fn weigh(
        &mut self,
        engine: UpstreamId,
        way: Way,
        cost: f64,
        alone: f64,
    ) {
        if let Way::Send(Some(adapter)) = way {
            keep_less(&mut self.ready, (alone, engine, adapter));
        }
        keep_less(&mut self.way, (cost, engine, way));
    }

    /// Weighs an older version that is still on an engine.
    pub(super) fn weigh_stale(
        &mut self,
        engine: UpstreamId,
        adapter: AdapterVersion,
        cost: f64,
    ) {
        keep_less(&mut self.stale, (cost, engine, adapter));
    }

    /// Whether all that could be done is to wait for one of these engines' places.
    pub(super) const fn lacks_place(&self) -> bool {
        matches!(self.way, None | Some((.., Way::Wait(WaitReason::Place))))
    }

    /// What is to be done for a request of a model.
    pub(super) fn choice(
        self,
        model: ModelId,
    ) -> Choice {
        let (least, upstream, way) = self.way.unwrap_or((
            f64::INFINITY,
            UpstreamId::default(),
            Way::Wait(WaitReason::Place),
        ));
        // A further copy is for those behind this request, which has nobody ahead of it.
        let ready = self.ready.filter(|&(alone, ..)| alone <= least);
        let now = ready.or(self.stale);
        let later = |waits_for| Choice {
            send: now.map(|(_, upstream, adapter)| (upstream, Some(adapter))),
            waits_for,
            ..Choice::default()
        };
        match way {
            Way::Send(adapter) => Choice {
                send: Some((upstream, adapter)),
                ..Choice::default()
            },
            Way::Wait(WaitReason::Order) => Choice {
                unsure: Some(upstream),
                ..later(WaitReason::Order)
            },
            Way::Wait(waits_for) => later(waits_for),
            Way::Load { adapter, evict } => Choice {
                load: Some(LoadPlan {
                    upstream,
                    model,
                    adapter,
                    evict,
                }),
                ..later(WaitReason::Load)
            },
        }
    }
}

fn keep_less<T>(
    least: &mut Option<(f64, UpstreamId, T)>,
    other: (f64, UpstreamId, T),
) {
    if least.as_ref().is_none_or(|least| other.0 < least.0) {
        *least = Some(other);
    }
}
