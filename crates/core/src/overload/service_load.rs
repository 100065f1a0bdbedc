use {
    super::{
        Admission, Arrival, LanePart, QueueClass, QueuedWork, WaitEstimate, class_load::ClassLoad,
        measured_capacity::MeasuredCapacity,
    },
    crate::{clock::Millis, return_times::ReturnBudget},
    std::collections::BTreeMap,
};

/// Part of the capacity that counts as free for a class; the rest is for less urgent classes, of
/// which one that gets nothing is served 1 in 20.
const RANKED_SHARE: f64 = 0.95;
/// Part of the capacity that a class gets however much arrives in more urgent ones.
const MIN_SHARE: f64 = 0.05;
/// Part of its time that a request may be expected to wait: estimates are rough, and a request that
/// is refused after waiting can hardly go elsewhere.
const ON_TIME_MARGIN: f64 = 0.65;
const LATE_MARGIN: f64 = 0.5;
/// Part of the capacity that is promised to refused callers at most.
const MAX_PROMISED_SHARE: f64 = 0.5;
/// Expected wait of a request that would never be served at the present arrivals.
const MAX_WAIT: Millis = Millis(60_000);

/// The queued work and the arrivals of one service, by class and account.
#[derive(Clone, Debug, Default)]
pub struct ServiceLoad {
    classes: BTreeMap<QueueClass, ClassLoad>,
    capacity: MeasuredCapacity,
    /// Queued work that waits for capacity.
    competing: f64,
}

impl ServiceLoad {
    /// Decides about a request on its arrival.
    pub fn admit(
        &mut self,
        arrival: &Arrival,
        nominal: f64,
        now: Millis,
    ) -> Admission {
        self.capacity.update(nominal, self.competing, now);
        let on_time = self.on_time_estimate(arrival, now);
        let is_in = |wait: Millis, left: Millis, margin: f64| {
            left > Millis::ZERO && wait.0 as f64 <= left.0 as f64 * margin
        };
        if is_in(on_time.wait, arrival.on_time_left, ON_TIME_MARGIN) {
            return Admission::OnTime(on_time);
        }
        let late = self.late_estimate(arrival, self.late_share(arrival.class, now), now);
        if is_in(late.wait, arrival.time_left, LATE_MARGIN) {
            return Admission::Late(late);
        }
        Admission::Refused(late)
    }

    /// The expected wait of a request that can be on time.
    fn on_time_estimate(
        &self,
        arrival: &Arrival,
        now: Millis,
    ) -> WaitEstimate {
        let (ahead, arrivals) = self.more_urgent(arrival, now);
        let capacity = self.capacity.per_ms();
        let left = (capacity * RANKED_SHARE - arrivals).max(capacity * MIN_SHARE);
        let wait = match self.classes.get(&arrival.class) {
            Some(class) => class.on_time_wait(arrival.account, arrival.work, ahead, left, now),
            None => (ahead, ahead / left),
        };
        let own = self.classes.get(&arrival.class);
        let own = own.map_or(0.0, |class| class.total.on_time);
        let kept = (own + arrival.work) / (capacity * MIN_SHARE);
        self.estimate(arrival, (wait.0, wait.1.min(kept)), now)
    }

    /// The expected wait of an admitted request that is late; its lane gets a part in any case.
    pub fn demoted_estimate(
        &self,
        arrival: &Arrival,
        now: Millis,
    ) -> WaitEstimate {
        self.late_estimate(arrival, MIN_SHARE, now)
    }

    /// Part of the capacity that is kept for a newly arrived late request of a class.
    ///
    /// None if the class gets its part already with requests that are on time: those are worth more.
    fn late_share(
        &self,
        class: QueueClass,
        now: Millis,
    ) -> f64 {
        let known = self.classes.get(&class);
        let arrivals = known.map_or(0.0, |class| class.total.on_time_arrivals(now));
        if arrivals > self.capacity.per_ms() * MIN_SHARE {
            0.0
        } else {
            MIN_SHARE
        }
    }

    /// The expected wait of a request behind those of its class that can be on time, where `share`
    /// of the capacity is kept for late requests of its class.
    fn late_estimate(
        &self,
        arrival: &Arrival,
        share: f64,
        now: Millis,
    ) -> WaitEstimate {
        let (ahead, arrivals) = self.more_urgent(arrival, now);
        let capacity = self.capacity.per_ms();
        let own = self.classes.get(&arrival.class);
        let arrivals = arrivals + own.map_or(0.0, |class| class.total.on_time_arrivals(now));
        let left = (capacity * RANKED_SHARE - arrivals).max(0.0);
        let wait = own.map_or_else(
            || (ahead, ahead / left.max(f64::MIN_POSITIVE)),
            |class| class.late_wait(arrival.account, arrival.work, ahead, left),
        );
        let own = own.map_or(0.0, |class| class.total.late);
        let kept = (own + arrival.work) / (capacity * share).max(f64::MIN_POSITIVE);
        self.estimate(arrival, (wait.0, wait.1.min(kept)), now)
    }

    /// The capacity that may be promised to refused callers of a class.
    pub fn return_budget(
        &self,
        class: QueueClass,
        now: Millis,
    ) -> ReturnBudget {
        let capacity = self.capacity.per_ms();
        let most = capacity * MAX_PROMISED_SHARE;
        let usual = |(_, load): (&QueueClass, &ClassLoad)| load.usual_arrivals(now);
        let more_urgent: f64 = self.classes.range(..class).map(usual).sum();
        let own: f64 = self.classes.range(class..=class).map(usual).sum();
        let left = capacity * RANKED_SHARE - more_urgent;
        ReturnBudget {
            on_time: left.clamp(0.0, most),
            late: (left - own).clamp(0.0, most),
        }
    }

    /// Records a request that was queued.
    pub fn note_queued(
        &mut self,
        queued: &mut QueuedWork,
        nominal: f64,
        now: Millis,
    ) {
        let class = self.classes.entry(queued.class).or_default();
        queued.account = class.counted_account(queued.account, now);
        // Returned requests use capacity that was kept for them.
        if queued.part != LanePart::Returned {
            class.note_arrival(queued.account, queued.work, queued.is_late(), now);
        }
        self.change(queued, 1.0);
        self.capacity.update(nominal, self.competing, now);
    }

    /// Records whether a queued request competes for capacity.
    pub fn note_competing(
        &mut self,
        queued: &mut QueuedWork,
        competes: bool,
        nominal: f64,
        now: Millis,
    ) {
        if queued.competes == competes {
            return;
        }
        self.change(queued, -1.0);
        queued.competes = competes;
        self.change(queued, 1.0);
        self.capacity.update(nominal, self.competing, now);
    }

    /// Records that a queued request can no longer be on time.
    pub fn note_late(
        &mut self,
        queued: &mut QueuedWork,
    ) {
        self.change(queued, -1.0);
        queued.part = LanePart::Late;
        self.change(queued, 1.0);
    }

    /// Records that a request left the queue, to run or not.
    pub fn note_removed(
        &mut self,
        queued: &QueuedWork,
        has_run: bool,
        nominal: f64,
        now: Millis,
    ) {
        if has_run {
            self.capacity.note_served(queued.work, now);
        }
        self.change(queued, -1.0);
        self.capacity.update(nominal, self.competing, now);
    }

    /// Adds the work of a request to the totals, or removes it, by `sign`.
    fn change(
        &mut self,
        queued: &QueuedWork,
        sign: f64,
    ) {
        if !queued.competes {
            return;
        }
        let work = queued.work * sign;
        self.competing = (self.competing + work).max(0.0);
        let class = self.classes.entry(queued.class).or_default();
        class.add(queued.account, work, queued.is_late());
    }

    /// Queued work of more urgent classes, and the capacity that their arrivals and promised return
    /// times take.
    fn more_urgent(
        &self,
        arrival: &Arrival,
        now: Millis,
    ) -> (f64, f64) {
        let more = self.classes.range(..arrival.class);
        more.fold((0.0, arrival.kept), |(queued, arrivals), (_, load)| {
            let load = &load.total;
            (
                queued + load.on_time + load.late,
                arrivals + load.arrivals(now),
            )
        })
    }

    fn estimate(
        &self,
        arrival: &Arrival,
        (work_ahead, wait): (f64, f64),
        now: Millis,
    ) -> WaitEstimate {
        let capacity = self.capacity.per_ms();
        // Without any upstream nothing is known about the wait; the checks of availability decide.
        let wait = match wait {
            _ if capacity <= 0.0 || work_ahead <= 0.0 => Millis::ZERO,
            wait if wait >= MAX_WAIT.0 as f64 => MAX_WAIT,
            wait => Millis(wait as u64),
        };
        WaitEstimate {
            class: arrival.class,
            wait,
            work_ahead,
            capacity,
            capacity_age: self.capacity.age(now),
        }
    }
}
