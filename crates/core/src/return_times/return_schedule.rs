use {
    super::{ReturnBudget, ReturnCounts, ReturnPromise, ReturnRequest, Returning},
    crate::{clock::Millis, ids::ServiceId, rights::CallerTag},
    std::collections::{BTreeMap, BTreeSet, HashMap},
};

/// Length of a slot of the calendar.
const SLOT: Millis = Millis(50);
/// How far ahead return times are promised.
const HORIZON: Millis = Millis(5_000);
/// How long capacity is kept after the time that was promised.
const RELEASE_DELAY: Millis = Millis(200);
/// How much before its time a caller counts as coming at it: callers' timers and links differ.
const EARLY_TOLERANCE: Millis = Millis(100);
/// Time ahead over which promised capacity is kept from newcomers, as they may wait that long.
const KEPT_AHEAD: Millis = Millis(500);
/// Promises at a time, over all services.
const MAX_PROMISES: usize = 8_192;
/// Slots over which the work of one request extends at most.
const MAX_SLOTS_PER_REQUEST: u64 = 16;
/// Work below this part of a unit counts as none.
const MIN_WORK: f64 = 0.001;
/// Number of priorities.
const PRIORITIES: usize = 10;

/// Promised work in one slot, by priority.
type SlotWork = [f64; PRIORITIES];

/// Calendars of promised capacity, one for each service, with the callers it was promised to.
#[derive(Clone, Debug, Default)]
pub struct ReturnSchedule {
    slots: BTreeMap<(ServiceId, u64), SlotWork>,
    promises: HashMap<CallerTag, ReturnPromise>,
    by_due: BTreeSet<(Millis, CallerTag)>,
    counts: ReturnCounts,
}

impl ReturnSchedule {
    /// Promises the first time at which capacity is left; `None` if there is none in time.
    pub fn promise(
        &mut self,
        request: &ReturnRequest,
        budget: ReturnBudget,
        now: Millis,
    ) -> Option<Millis> {
        self.release(now);
        if self.promises.len() >= MAX_PROMISES {
            return None;
        }
        let latest = request.latest.min(now + HORIZON);
        let first = request.earliest.0.div_ceil(SLOT.0);
        let (slot, part) = (first..=latest.0 / SLOT.0).find_map(|slot| {
            let is_on_time = Millis(slot * SLOT.0) <= request.on_time_until;
            let per_ms = if is_on_time {
                budget.on_time.max(budget.late)
            } else {
                budget.late
            };
            let room = per_ms * SLOT.0 as f64;
            let used = self.used(request.service, slot);
            (room - used >= MIN_WORK).then(|| (slot, used / room))
        })?;
        let promise = ReturnPromise {
            caller: request.caller,
            service: request.service,
            priority: request.priority,
            due: Millis(slot * SLOT.0 + (part * SLOT.0 as f64) as u64),
            work: request.work,
        };
        let per_ms = budget.on_time.max(budget.late);
        self.insert(promise, per_ms);
        self.counts.promised += 1;
        Some(promise.due)
    }

    /// Takes over a promise of an earlier scheduler, as long as `per_ms` of capacity is enough.
    pub fn take_over(
        &mut self,
        promise: ReturnPromise,
        per_ms: f64,
        now: Millis,
    ) {
        let is_valid = promise.work.is_finite()
            && promise.work > 0.0
            && promise.due <= now + HORIZON
            && promise.due + RELEASE_DELAY > now;
        let slot = promise.due.0 / SLOT.0;
        let has_room = self.used(promise.service, slot) < per_ms * SLOT.0 as f64;
        if is_valid && has_room && self.promises.len() < MAX_PROMISES {
            self.insert(promise, per_ms);
        }
    }

    /// Whether a request comes at the time promised to its caller.
    pub fn check(
        &self,
        caller: CallerTag,
        now: Millis,
    ) -> Returning {
        match self.promises.get(&caller) {
            None => Returning::Newcomer,
            Some(promise) if promise.due + RELEASE_DELAY <= now => Returning::Newcomer,
            Some(promise) if now + EARLY_TOLERANCE < promise.due => {
                Returning::Early { due: promise.due }
            }
            Some(_) => Returning::Due,
        }
    }

    /// Ends the promise to a caller that has come and was admitted.
    pub fn complete(
        &mut self,
        caller: CallerTag,
    ) {
        if self.remove(caller) {
            self.counts.kept += 1;
        }
    }

    /// Promised work per millisecond that newcomers of a priority have to leave.
    pub fn kept(
        &self,
        service: ServiceId,
        priority: u8,
        now: Millis,
    ) -> f64 {
        let from = now.since(RELEASE_DELAY).0 / SLOT.0;
        let until = (now + KEPT_AHEAD).0 / SLOT.0;
        let most = usize::from(priority).min(PRIORITIES - 1);
        let slots = self.slots.range((service, from)..=(service, until));
        let work: f64 = slots
            .flat_map(|(_, work)| &work[..=most])
            .filter(|&&work| work > 0.0)
            .sum();
        work / ((until - from + 1) * SLOT.0) as f64
    }

    /// Releases what nobody came for.
    pub fn release(
        &mut self,
        now: Millis,
    ) {
        while let Some(&(due, caller)) = self.by_due.first()
            && due + RELEASE_DELAY <= now
        {
            if self.remove(caller) {
                self.counts.released += 1;
            }
        }
        let oldest = now.since(RELEASE_DELAY).0 / SLOT.0;
        self.slots.retain(|&(_, slot), _| slot >= oldest);
    }

    /// How many return times were promised, and what became of them.
    pub const fn counts(&self) -> ReturnCounts {
        self.counts
    }

    /// Promised work in a slot.
    fn used(
        &self,
        service: ServiceId,
        slot: u64,
    ) -> f64 {
        let work = self.slots.get(&(service, slot));
        work.map_or(0.0, |work| work.iter().sum())
    }

    /// Adds a promise; what exceeds the room of its slot takes that of the following ones.
    fn insert(
        &mut self,
        promise: ReturnPromise,
        per_ms: f64,
    ) {
        self.remove(promise.caller);
        let room = per_ms * SLOT.0 as f64;
        let first = promise.due.0 / SLOT.0;
        let priority = usize::from(promise.priority).min(PRIORITIES - 1);
        let mut left = promise.work;
        for slot in first..first + MAX_SLOTS_PER_REQUEST {
            let part = left.min((room - self.used(promise.service, slot)).max(0.0));
            let work = self.slots.entry((promise.service, slot)).or_default();
            work[priority] += part;
            left -= part;
            if left < MIN_WORK {
                break;
            }
        }
        self.by_due.insert((promise.due, promise.caller));
        self.promises.insert(promise.caller, promise);
    }

    /// Removes a promise and the work of its slot; returns whether there was one.
    fn remove(
        &mut self,
        caller: CallerTag,
    ) -> bool {
        let Some(promise) = self.promises.remove(&caller) else {
            return false;
        };
        self.by_due.remove(&(promise.due, caller));
        let slot = (promise.service, promise.due.0 / SLOT.0);
        let priority = usize::from(promise.priority).min(PRIORITIES - 1);
        if let Some(work) = self.slots.get_mut(&slot) {
            work[priority] = (work[priority] - promise.work).max(0.0);
        }
        true
    }
}
