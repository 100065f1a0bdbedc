use {
    super::{
        EngineFacts, LoadSettings,
        backlog::Backlog,
        place::{DEMAND_HALF_LIFE, Place, PlaceState},
        prefix_cache::PrefixCache,
    },
    crate::{
        clock::Millis,
        ids::{AdapterId, AdapterVersion, ModelId},
    },
    std::collections::{HashMap, VecDeque},
};

/// Requests that an engine is left below its number of slots, so that what other callers send at the same
/// time finds a slot too.
const SPARE_SLOTS: u32 = 2;
/// How long after a doubt an engine's report is asked for: reports are some hundred milliseconds old, and
/// an earlier one would still tell what was before.
const REPORT_LAG: Millis = Millis(350);
/// An order, or a question for a report, and its answer take about this long.
const ORDER_TIME: Millis = Millis(5);
/// Times in a row that this may happen before the engine is asked what it holds.
const LATE_LOADS: u32 = 3;

/// What an engine of one service can hold.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineLimits {
    /// Requests at a time.
    pub slots: u32,
    /// Tokens of running requests.
    pub kv_tokens: u64,
    /// Adapters at a time, those on their way included.
    pub adapter_slots: usize,
    /// Megabytes for weights and adapters together.
    pub weights_mb: f64,
    /// Loads of base models from the weight store a second, over all engines.
    pub loads_per_s: f64,
    /// Each base model with its megabytes and those of one of its adapters.
    pub models: Vec<(ModelId, f64, f64)>,
}

/// How far the scheduler's book on an engine can be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Knowledge {
    /// It holds what the book says.
    Sure,
    /// An order may or may not have been carried out; ask for a report from then on.
    Doubted {
        /// When.
        ask_at: Millis,
    },
    /// A report was asked for.
    Asked {
        /// When to ask again.
        again_at: Millis,
    },
}

/// The scheduler's book on one engine.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub limits: EngineLimits,
    pub knowledge: Knowledge,
    pub seq: u64,
    /// Base models that it can run.
    pub models: Vec<ModelId>,
    /// A base model that was ordered.
    pub loading: Option<ModelId>,
    pub places: Vec<Place>,
    /// Requests assigned to each adapter that haven't ended, whether or not the book has a place for it.
    users: HashMap<AdapterVersion, u32>,
    /// An adapter that waits for its runs to end before it goes; until then the engine takes no order.
    pub going: Option<AdapterVersion>,
    /// Whether an order is out and not answered.
    pub has_order: bool,
    /// When its last order was sent or answered, whichever was later.
    pub ordered_at: Millis,
    /// From when on it may be ordered: until then it may still get what another scheduler has sent.
    pub orders_from: Millis,
    /// Whether it gets no more orders from this scheduler, which is about to hand it over.
    pub rests: bool,
    /// Whether the order that is out is the second try of one that had no answer.
    pub has_repeated: bool,
    /// The adapter that gets the place of one that was ordered to go.
    pub reserved: Option<(ModelId, AdapterVersion)>,
    /// Adapters that it dropped lately, the latest last.
    dropped: VecDeque<AdapterVersion>,
    pub backlog: Backlog,
    pub prefixes: PrefixCache,
    /// Tokens of the requests assigned to it.
    pub kv_used: u64,
    late_loads: u32,
}

impl Engine {
    pub(super) fn new(limits: EngineLimits) -> Self {
        Self {
            limits,
            knowledge: Knowledge::Doubted {
                ask_at: Millis::ZERO,
            },
            seq: 0,
            models: Vec::new(),
            loading: None,
            places: Vec::new(),
            users: HashMap::new(),
            going: None,
            has_order: false,
            ordered_at: Millis::ZERO,
            orders_from: Millis::ZERO,
            rests: false,
            has_repeated: false,
            reserved: None,
            dropped: VecDeque::new(),
            backlog: Backlog::default(),
            prefixes: PrefixCache::default(),
            kv_used: 0,
            late_loads: 0,
        }
    }

    /// Forgets what a restart has ended.
    pub(super) fn restart(&mut self) {
        let backlog = std::mem::take(&mut self.backlog);
        let mut fresh = Self::new(self.limits.clone());
        fresh.backlog = backlog;
        fresh.kv_used = self.kv_used;
        fresh.users = std::mem::take(&mut self.users);
        fresh.ordered_at = self.ordered_at;
        fresh.orders_from = self.orders_from;
        fresh.rests = self.rests;
        *self = fresh;
    }

    /// Takes over what the engine says, in place of what the book says.
    ///
    /// Requests that were assigned go on counting, whatever it holds.
    pub(super) fn adopt(
        &mut self,
        facts: &EngineFacts,
        load: &LoadSettings,
        now: Millis,
    ) {
        let before = std::mem::take(&mut self.places);
        let old = |adapter: AdapterVersion| before.iter().find(|place| place.adapter == adapter);
        let take = |model, adapter, state| match old(adapter) {
            Some(place) => Place { state, ..*place },
            None => Place::new(model, adapter, state),
        };
        let present = facts
            .adapters
            .iter()
            .map(|&(model, adapter)| take(model, adapter, PlaceState::Present));
        let coming = PlaceState::Coming {
            ready_at: now + load.cold,
            is_cold: true,
        };
        let on_the_way = facts.coming.iter().map(|&(model, adapter)| {
            let state = old(adapter).map_or(coming, |place| match place.state {
                PlaceState::Coming { .. } => place.state,
                _ => coming,
            });
            take(model, adapter, state)
        });
        self.places = present.chain(on_the_way).collect();
        if let Some(place) = self.going.and_then(|going| self.place_mut(going)) {
            place.state = PlaceState::Going;
        } else {
            self.going = None;
        }
        for place in before {
            if self.place(place.adapter).is_none() && place.is_present(now) {
                self.drop_place(place.adapter, load.kept_warm);
            }
        }
        self.seq = facts.seq.unwrap_or(self.seq);
        self.models.clone_from(&facts.models);
        if self
            .loading
            .is_some_and(|model| facts.models.contains(&model))
        {
            self.loading = None;
        }
        self.late_loads = 0;
    }

    /// Takes a report's word as the truth from here on, unless something is still going on there.
    pub(super) fn trust(
        &mut self,
        now: Millis,
    ) {
        self.reserved = None;
        if self.going.is_some() {
            self.doubt(now);
        } else {
            self.knowledge = Knowledge::Sure;
        }
    }

    /// Stops trusting the book until a report has come.
    pub(super) fn doubt(
        &mut self,
        now: Millis,
    ) {
        self.reserved = None;
        self.knowledge = Knowledge::Doubted {
            ask_at: now + REPORT_LAG,
        };
    }

    /// Whether a report is to be asked for now; then notes that it was.
    fn wants_report(
        &mut self,
        now: Millis,
    ) -> bool {
        let due = self.report_due().is_some_and(|at| now >= at);
        if due {
            self.knowledge = Knowledge::Asked {
                again_at: now + REPORT_LAG,
            };
        }
        due
    }

    /// Notes that its report is asked for, if that is wanted now; returns until when the answer is waited for.
    pub(super) fn ask_report(
        &mut self,
        now: Millis,
    ) -> Option<Millis> {
        let wants = !self.has_order && self.wants_report(now);
        wants.then(|| self.report_due()).flatten()
    }

    /// When a report is wanted.
    pub(super) fn report_due(&self) -> Option<Millis> {
        match self.knowledge {
            Knowledge::Sure => None,
            Knowledge::Doubted { ask_at } => Some(ask_at.max(self.orders_from)),
            Knowledge::Asked { again_at } => Some(again_at),
        }
    }

    /// Whether an order may be given now.
    pub(super) fn takes_orders(
        &self,
        now: Millis,
    ) -> bool {
        !self.rests
            && !self.has_order
            && now >= self.orders_from
            && self.knowledge == Knowledge::Sure
    }

    /// How long until an order may be given, as far as that can be told; none where this scheduler gives it no more.
    pub(super) fn order_wait(
        &self,
        now: Millis,
    ) -> Option<Millis> {
        let answer = match self.knowledge {
            _ if self.has_order => ORDER_TIME,
            Knowledge::Sure => Millis::ZERO,
            Knowledge::Doubted { ask_at } => ask_at.since(now) + ORDER_TIME,
            Knowledge::Asked { .. } => ORDER_TIME,
        };
        (!self.rests).then(|| answer.max(self.orders_from.since(now)))
    }

    /// Notes that an order is sent.
    pub(super) const fn note_order(
        &mut self,
        now: Millis,
    ) {
        self.has_order = true;
        self.ordered_at = now;
    }

    /// Whether a report tells of a time before the last order. Reports are some hundred milliseconds old; long after the
    /// last order one that counts fewer orders than the book is right, and the book is wrong: an engine that says of an
    /// order that it holds already may or may not count it. Taken for an old one, it left its engine without orders for
    /// good.
    pub(super) fn is_outdated(
        &self,
        facts: &EngineFacts,
        now: Millis,
    ) -> bool {
        let counts_less = facts.seq.is_some_and(|seq| seq < self.seq);
        counts_less && now.since(self.ordered_at) < REPORT_LAG
    }

    /// Whether one more request fits, beside what was assigned.
    pub(super) fn has_room(
        &self,
        running: u32,
        tokens: u64,
        memory_percent: u64,
    ) -> bool {
        let memory = self.limits.kv_tokens * memory_percent / 100;
        running + SPARE_SLOTS < self.limits.slots
            && (self.kv_used == 0 || self.kv_used + tokens <= memory)
    }

    pub(super) fn place(
        &self,
        adapter: AdapterVersion,
    ) -> Option<&Place> {
        self.places.iter().find(|place| place.adapter == adapter)
    }

    pub(super) fn place_mut(
        &mut self,
        adapter: AdapterVersion,
    ) -> Option<&mut Place> {
        self.places
            .iter_mut()
            .find(|place| place.adapter == adapter)
    }

    /// Any version of the adapter that takes a place.
    pub(super) fn place_of(
        &self,
        adapter: AdapterId,
    ) -> Option<&Place> {
        self.places
            .iter()
            .find(|place| place.adapter.adapter == adapter)
    }

    /// Whether an adapter can be loaded without another one going.
    pub(super) fn has_free_place(
        &self,
        model: ModelId,
    ) -> bool {
        self.places.len() < self.limits.adapter_slots && self.has_memory_for_one_more(model)
    }

    /// Adapters on their way.
    pub(super) fn coming(
        &self,
        now: Millis,
    ) -> usize {
        let is_coming = |place: &&Place| matches!(place.state, PlaceState::Coming { ready_at, .. } if now < ready_at);
        self.places.iter().filter(is_coming).count()
    }

    /// Adapters on their way from the adapter store.
    pub(super) fn coming_cold(
        &self,
        now: Millis,
    ) -> usize {
        let is_cold = |place: &&Place| matches!(place.state, PlaceState::Coming { ready_at, is_cold: true } if now < ready_at);
        self.places.iter().filter(is_cold).count()
    }

    /// Whether it held the adapter lately, so that it loads quickly.
    pub(super) fn keeps_warm(
        &self,
        adapter: AdapterVersion,
    ) -> bool {
        self.dropped.contains(&adapter)
    }

    /// Whether it has any version of an adapter or can load one quickly.
    pub(super) fn may_have(
        &self,
        adapter: AdapterId,
    ) -> bool {
        let is_kept = self
            .dropped
            .iter()
            .any(|dropped| dropped.adapter == adapter);
        is_kept || self.place_of(adapter).is_some()
    }

    /// Requests that use an adapter.
    pub(super) fn users_of(
        &self,
        adapter: AdapterVersion,
    ) -> u32 {
        self.users.get(&adapter).copied().unwrap_or_default()
    }

    /// Whether a request is just finding out whether the adapter is there by now.
    pub(super) fn is_being_tried(
        &self,
        adapter: AdapterVersion,
    ) -> bool {
        let is_unproven = self.place(adapter).is_some_and(Place::is_unproven);
        is_unproven && self.users_of(adapter) > 0
    }

    /// Notes a use of an adapter.
    pub(super) fn use_adapter(
        &mut self,
        adapter: AdapterVersion,
        now: Millis,
    ) {
        *self.users.entry(adapter).or_default() += 1;
        if let Some(place) = self.place_mut(adapter) {
            place.demand.add(1.0, now, DEMAND_HALF_LIFE);
        }
    }

    /// Notes the end of a use.
    pub(super) fn leave_adapter(
        &mut self,
        adapter: AdapterVersion,
    ) {
        if let Some(users) = self.users.get_mut(&adapter) {
            *users -= 1;
            if *users == 0 {
                self.users.remove(&adapter);
            }
        }
    }

    /// Takes an adapter off the book and remembers that the engine held it.
    pub(super) fn drop_place(
        &mut self,
        adapter: AdapterVersion,
        kept_warm: usize,
    ) {
        self.places.retain(|place| place.adapter != adapter);
        self.dropped.retain(|&dropped| dropped != adapter);
        self.dropped.push_back(adapter);
        while self.dropped.len() > kept_warm {
            self.dropped.pop_front();
        }
    }

    /// Notes that a load takes longer than expected; the engine is asked what it holds when that repeats.
    pub(super) fn note_late(
        &mut self,
        adapter: AdapterVersion,
        now: Millis,
    ) {
        self.late_loads += 1;
        if self.late_loads >= LATE_LOADS {
            self.late_loads = 0;
            self.knowledge = Knowledge::Doubted { ask_at: now };
        }
        if let Some(place) = self.place_mut(adapter) {
            place.note_late(now);
        }
    }

    /// Notes that an adapter has proved to be there.
    pub(super) fn note_ready(
        &mut self,
        adapter: AdapterVersion,
    ) {
        self.late_loads = 0;
        if let Some(place) = self.place_mut(adapter)
            && matches!(place.state, PlaceState::Coming { .. })
        {
            place.state = PlaceState::Present;
            place.lates = 0;
        }
    }

    /// Since when an adapter is on its way from the adapter store, if the engine has accepted the order to load it: one
    /// that left it unanswered may carry it out seconds later, which says nothing about the store.
    pub(super) fn cold_since(
        &self,
        adapter: AdapterVersion,
    ) -> Option<Millis> {
        let place = self.place(adapter)?;
        let is_cold = matches!(place.state, PlaceState::Coming { is_cold: true, .. });
        place.accepted_at.filter(|_| is_cold)
    }

    fn has_memory_for_one_more(
        &self,
        model: ModelId,
    ) -> bool {
        let size = |id: ModelId| self.limits.models.iter().find(|&&(of, ..)| of == id);
        let weights: f64 = self
            .models
            .iter()
            .filter_map(|&id| size(id))
            .map(|&(_, mb, _)| mb)
            .sum();
        let adapters: f64 = self
            .places
            .iter()
            .filter_map(|place| size(place.model))
            .map(|&(_, _, mb)| mb)
            .sum();
        let one_more = size(model).map_or(0.0, |&(_, _, mb)| mb);
        weights + adapters + one_more <= self.limits.weights_mb
    }
}
