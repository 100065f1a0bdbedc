use {
    super::{Lane, LanePart, class_turns::ClassTurns},
    crate::{
        IdMap,
        clock::Millis,
        error::{ErrorKind, Refusal},
        ids::{RequestId, ServiceId},
        queue::{Enqueued, FairQueue, Pools, QueueSettings, QueueTarget, QueuedRequest},
    },
    std::collections::BTreeMap,
};

/// The waiting requests of a scheduler: one fair queue for services without classes, and one for
/// each lane of the others.
#[derive(Clone, Debug)]
pub struct UrgencyQueue {
    settings: QueueSettings,
    unranked: FairQueue,
    lanes: BTreeMap<Lane, FairQueue>,
    lane_of: IdMap<RequestId, Lane>,
    turns: IdMap<ServiceId, ClassTurns>,
}

impl UrgencyQueue {
    /// Creates an empty queue.
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            unranked: FairQueue::new(settings),
            lanes: BTreeMap::new(),
            lane_of: IdMap::default(),
            turns: IdMap::default(),
        }
    }

    /// Enqueues a request, in a lane if its service has classes.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::QueueFull`] when a queue limit is reached, [`ErrorKind::CannotMeetDeadline`]
    /// when it would miss its deadline at the observed service rate.
    pub fn push(
        &mut self,
        waiting: QueuedRequest,
        lane: Option<Lane>,
        now: Millis,
    ) -> Result<Enqueued, Refusal> {
        let Some(lane) = lane else {
            return self.unranked.push(waiting, now);
        };
        if self.lane_of.len() >= self.settings.max_queued {
            return Err(Refusal::new(ErrorKind::QueueFull));
        }
        let enqueued = self.lane_mut(lane).push(waiting, now)?;
        self.lane_of.insert(waiting.request, lane);
        Ok(enqueued)
    }

    /// Begins a new scan by [`Self::pop_next`].
    pub fn rewind(&mut self) {
        self.unranked.rewind();
        for queue in self.lanes.values_mut() {
            queue.rewind();
        }
    }

    /// Removes and returns the next request that can run.
    ///
    /// `can_run` is called for the first request of each target of these pools, in order, until it returns true; once a
    /// scan for each.
    /// A lane that was passed over often enough goes first in its service.
    pub fn pop_next<F>(
        &mut self,
        now: Millis,
        pools: Pools,
        mut can_run: F,
    ) -> Option<QueuedRequest>
    where
        F: FnMut(&QueuedRequest) -> bool,
    {
        if let Some(waiting) = self.unranked.pop_next(now, pools, &mut can_run) {
            return Some(waiting);
        }
        if self.lane_of.is_empty() {
            return None;
        }
        let mut order: Vec<Lane> = self.turns.values().flat_map(ClassTurns::due).collect();
        let ranked = self.lanes.iter().filter(|(_, queue)| !queue.is_empty());
        order.extend(ranked.map(|(&lane, _)| lane));
        order.into_iter().find_map(|lane| {
            let waiting = self
                .lanes
                .get_mut(&lane)?
                .pop_next(now, pools, &mut can_run)?;
            self.lane_of.remove(&waiting.request);
            self.note_served(lane);
            Some(waiting)
        })
    }

    /// Moves a request behind those that can be on time: into the late lane of its class or, without
    /// classes, as if it arrived `delay` after `now`.
    pub fn postpone(
        &mut self,
        request: RequestId,
        delay: Millis,
        now: Millis,
    ) {
        let Some(&lane) = self.lane_of.get(&request) else {
            self.unranked.postpone(request, delay, now);
            return;
        };
        if lane.part == LanePart::Late {
            return;
        }
        let Some(waiting) = self.lane_mut(lane).cancel(request, now) else {
            return;
        };
        let behind = Lane {
            part: LanePart::Late,
            ..lane
        };
        // If the late lane is full for its account, it keeps its place.
        let is_moved = self.lane_mut(behind).push(waiting, now).is_ok();
        if is_moved {
            self.lane_of.insert(request, behind);
        } else if self.lane_mut(lane).push(waiting, now).is_err() {
            self.lane_of.remove(&request);
        }
    }

    /// Changes what a request needs to run, to another target of the same pool.
    pub fn retarget(
        &mut self,
        request: RequestId,
        target: QueueTarget,
    ) {
        match self.lane_of.get(&request) {
            Some(&lane) => self.lane_mut(lane).retarget(request, target),
            None => self.unranked.retarget(request, target),
        }
    }

    /// Removes a request whose caller has disconnected.
    pub fn cancel(
        &mut self,
        request: RequestId,
        now: Millis,
    ) -> Option<QueuedRequest> {
        match self.lane_of.remove(&request) {
            Some(lane) => self.lane_mut(lane).cancel(request, now),
            None => self.unranked.cancel(request, now),
        }
    }

    /// Removes the requests that have missed their deadlines.
    pub fn expire(
        &mut self,
        now: Millis,
    ) -> Vec<QueuedRequest> {
        let mut expired = self.unranked.expire(now);
        for queue in self.lanes.values_mut().filter(|queue| !queue.is_empty()) {
            expired.extend(queue.expire(now));
        }
        for waiting in &expired {
            self.lane_of.remove(&waiting.request);
        }
        expired
    }

    /// The earliest deadline of the waiting requests.
    pub fn next_deadline(&self) -> Option<Millis> {
        let lanes = self.lanes.values().filter_map(FairQueue::next_deadline);
        lanes.chain(self.unranked.next_deadline()).min()
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.unranked.len() + self.lane_of.len()
    }

    /// Whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.unranked.is_empty() && self.lane_of.is_empty()
    }

    /// Number of waiting requests in each lane.
    pub fn lane_lens(&self) -> impl Iterator<Item = (Lane, usize)> + '_ {
        self.lanes.iter().map(|(&lane, queue)| (lane, queue.len()))
    }

    fn lane_mut(
        &mut self,
        lane: Lane,
    ) -> &mut FairQueue {
        let settings = self.settings;
        self.lanes
            .entry(lane)
            .or_insert_with(|| FairQueue::new(settings))
    }

    fn note_served(
        &mut self,
        served: Lane,
    ) {
        let waiting = self
            .lanes
            .iter()
            .filter(|(lane, queue)| lane.service == served.service && !queue.is_empty());
        let waiting = waiting.map(|(&lane, _)| lane);
        let turns = self.turns.entry(served.service).or_default();
        turns.note_served(served, waiting);
    }
}
