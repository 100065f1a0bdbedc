//! Who leads, as far as this VM knows: taking the lead, giving it up, and deciding alone while there is nobody.

use {
    super::{Mode, OWN, Scheduling},
    crate::scheduling::{HandedOn, Leader},
    jasmine_core::{
        clock::Millis,
        ids::Fence,
        scheduler::{Rest, RightsShare},
    },
    jasmine_telemetry::log::Line,
};

impl Scheduling {
    /// For how long the leader hasn't answered, while nobody else is known to lead.
    pub fn silent_for(&self) -> Option<Millis> {
        let since = self.silent_since.get()?;
        Some(self.clock.now().since(since))
    }

    /// For how long this VM has decided alone; none while it leads or follows.
    pub fn alone_for(&self) -> Option<Millis> {
        let since = self.alone_since.get()?;
        Some(self.clock.now().since(since))
    }

    /// Engines check no fencing tokens: orders are given only while the lease of the lead surely lasts.
    pub fn order_only_under_lease(&self) {
        self.lead_until.set(Some(Millis::ZERO));
    }

    /// Notes until when the lease of the lead lasts at the least.
    pub fn lead_lasts_until(
        &self,
        until: Millis,
    ) {
        if self.lead_until.get().is_some() {
            self.lead_until.set(Some(until));
        }
    }

    /// The fencing token for an order that is sent now; none where another VM may lead by now.
    pub fn fence_for_order(&self) -> Option<Fence> {
        let now = self.clock.now();
        let is_sure = self.lead_until.get().is_none_or(|until| now < until);
        self.fence().filter(|_| is_sure)
    }

    /// The fencing token of this VM's lead.
    pub fn fence(&self) -> Option<Fence> {
        match *self.mode.borrow() {
            Mode::Leading(fence) => Some(fence),
            Mode::Alone | Mode::Following(..) => None,
        }
    }

    /// The leader that this VM knows of.
    pub fn leader(&self) -> Option<Leader> {
        self.leader.borrow().clone()
    }

    /// Takes the lead, with a token that the store gave.
    pub fn lead(
        &self,
        fence: Fence,
        share: RightsShare,
    ) {
        let leader = Leader {
            vm: self.me.clone(),
            address: self.address,
            fence,
            is_leaving: false,
        };
        Line::new("lead_taken").with("fence", fence).info();
        let before = self.leader.replace(Some(leader.clone()));
        self.desk.set_role(true, share);
        self.take_handed_on(before.as_ref().map(|before| before.fence));
        for running in self.running_now() {
            self.desk.adopt(OWN, &running);
        }
        self.set_mode(Mode::Leading(fence));
        self.announce(&leader, before.as_ref());
    }

    /// Engines that the leader before has told to have rested may be ordered so much earlier.
    fn take_handed_on(
        &self,
        before: Option<Fence>,
    ) {
        let handed_on = self.handed_on.take();
        let now = self.clock.now();
        let rested = handed_on.as_ref().map(|last| last.rested_by(before, now));
        for (upstream, rested) in rested.unwrap_or_default() {
            self.desk.note_rested(upstream, rested);
        }
    }

    /// Takes the last word of a leader that leaves.
    pub fn note_handed_on(
        &self,
        fence: Fence,
        rested: Vec<(String, Millis)>,
    ) {
        let at = self.clock.now();
        self.handed_on.replace(Some(HandedOn { fence, at, rested }));
    }

    /// Stops deciding for others; another one has a higher token, or the lead was given back.
    pub fn step_down(
        &self,
        reason: &str,
    ) {
        if self.is_leading() {
            Line::new("lead_lost").with("reason", reason).warn();
            self.stand_alone();
        }
    }

    /// Takes word of a leader; one with an older token is not listened to.
    pub fn consider(
        &self,
        leader: Leader,
    ) {
        let known = self.leader();
        match known {
            Some(known) if known.fence > leader.fence => return,
            Some(known) if known.fence == leader.fence => {
                if leader.is_leaving && !known.is_leaving {
                    self.leader.replace(Some(leader));
                }
                return;
            }
            _ => {}
        }
        Line::new("leader_seen")
            .with("vm", &leader.vm)
            .with("fence", leader.fence)
            .info();
        let is_other = leader.vm != self.me;
        self.leader.replace(Some(leader));
        if is_other {
            self.step_down("another leads");
        }
        self.bump();
    }

    /// Tells the others that this VM is about to stop, so that one of them takes the lead without waiting for it. From
    /// here on it gives no more orders.
    pub async fn say_leaving(&self) {
        let Some(leader) = self.leader().filter(|_| self.is_leading()) else {
            return;
        };
        let leader = Leader {
            is_leaving: true,
            ..leader
        };
        self.leader.replace(Some(leader.clone()));
        self.desk.rest(Rest::All);
        self.hand_on(&leader, &self.desk.rested()).await;
    }

    /// The leader doesn't answer: decide alone until it does, or another one is found.
    pub(super) fn lose_leader(
        &self,
        reason: &str,
    ) {
        if matches!(*self.mode.borrow(), Mode::Following(..)) {
            Line::new("leader_lost").with("reason", reason).warn();
            self.silent_since.set(Some(self.clock.now()));
            self.stand_alone();
        }
    }

    fn stand_alone(&self) {
        self.desk.set_role(false, self.part());
        self.desk.forget_others(OWN);
        self.set_mode(Mode::Alone);
    }

    pub(super) fn part(&self) -> RightsShare {
        self.parts.set(self.vms.borrow().len().max(1) as u64);
        RightsShare::Part(self.parts.get())
    }
}
