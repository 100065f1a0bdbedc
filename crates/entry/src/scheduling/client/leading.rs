//! Tracks the leader: taking and giving up leadership, and standalone mode without a leader.

use {
    super::{Mode, SchedulerNode},
    crate::scheduling::{EvidenceSpec, Handover, Leader},
    jasmine_core::{
        clock::Millis,
        ids::Fence,
        scheduler::{AdmissionShare, EnginesToPause, LOCAL_VM, RateShare},
    },
    jasmine_telemetry::log::Line,
    xxhash_rust::xxh3::xxh3_64,
};

impl SchedulerNode {
    /// How long the leader hasn't answered, if no other leader is known.
    pub fn leader_silent_for(&self) -> Option<Millis> {
        let since = self.leader_silent_since.get()?;
        Some(self.clock.now().since(since))
    }

    /// How long this VM has scheduled without a leader; `None` while it leads or follows.
    pub fn standalone_for(&self) -> Option<Millis> {
        let since = self.standalone_since.get()?;
        Some(self.clock.now().since(since))
    }

    /// Restricts orders to the time of a valid leader lease, for engines that don't check fencing tokens.
    pub fn require_valid_lease(&self) {
        self.lease_valid_until.set(Some(Millis::ZERO));
    }

    /// Sets the time until which the leader lease is guaranteed to be valid.
    pub fn set_lease_valid_until(
        &self,
        until: Millis,
    ) {
        if self.lease_valid_until.get().is_some() {
            self.lease_valid_until.set(Some(until));
        }
        self.leader_lease_until.set(until);
        self.update_admission_share();
    }

    /// The fencing token for an order; `None` unless this VM leads and, where required, its lease is valid.
    pub fn fence_for_order(&self) -> Option<Fence> {
        let now = self.clock.now();
        let is_lease_valid = self.lease_valid_until.get().is_none_or(|until| now < until);
        self.fence().filter(|_| is_lease_valid)
    }

    /// This VM's fencing token while it leads.
    pub fn fence(&self) -> Option<Fence> {
        match *self.mode.borrow() {
            Mode::Leading(fence) => Some(fence),
            Mode::Standalone | Mode::Following(..) => None,
        }
    }

    /// The latest leader known to this VM.
    pub fn leader(&self) -> Option<Leader> {
        self.leader.borrow().clone()
    }

    /// Makes this VM the leader, under a fencing token issued by the store.
    pub fn become_leader(
        &self,
        fence: Fence,
        share: RateShare,
    ) {
        let leader = Leader {
            vm: self.me.clone(),
            address: self.address,
            fence,
            is_leaving: false,
        };
        Line::new("lead_taken").with("fence", fence).info();
        let previous = self.leader.replace(Some(leader.clone()));
        self.local_scheduler.set_role(true, share);
        self.local_scheduler.add_stored_evidence();
        self.apply_handover(previous.as_ref().map(|previous| previous.fence));
        let history = self.local_scheduler.history();
        self.local_scheduler
            .add_history(&self.me, LOCAL_VM, &history);
        self.took_over_at.set(match share {
            RateShare::Fresh => None,
            RateShare::TakenOver | RateShare::Part(_) => Some(self.clock.now()),
        });
        for running in self.running_specs() {
            self.local_scheduler.adopt(LOCAL_VM, &running);
        }
        self.set_mode(Mode::Leading(fence));
        self.announce(&leader, previous.as_ref());
    }

    /// Counts the idle times announced by the previous leader towards the engines' order gap.
    fn apply_handover(
        &self,
        previous: Option<Fence>,
    ) {
        let handover = self.handover.take();
        let now = self.clock.now();
        let idle_times = handover
            .as_ref()
            .map(|last| last.idle_times_at(previous, now));
        for (upstream, idle_time) in idle_times.unwrap_or_default() {
            self.local_scheduler.set_idle_time(upstream, idle_time);
        }
    }

    /// Stores the time since each engine's last order, as announced by a leader that is stopping.
    pub fn set_handover(
        &self,
        fence: Fence,
        idle_times: Vec<(String, Millis)>,
    ) {
        let at = self.clock.now();
        self.handover.replace(Some(Handover {
            fence,
            at,
            idle_times,
        }));
    }

    /// Gives up leadership, because another VM has a higher token or the lease ended.
    pub fn step_down(
        &self,
        reason: &str,
    ) {
        if self.is_leading() {
            Line::new("lead_lost").with("reason", reason).warn();
            self.become_standalone();
        }
    }

    /// Processes an announced leader; one with a lower fencing token than the known one is ignored.
    pub fn observe_leader(
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
            self.step_down("another VM leads");
        }
        self.notify_leader_change();
    }

    /// Announces that this leader is stopping, so that another VM can take over at once; gives no more orders.
    pub async fn announce_leaving(&self) {
        let Some(leader) = self.leader().filter(|_| self.is_leading()) else {
            return;
        };
        let leader = Leader {
            is_leaving: true,
            ..leader
        };
        self.leader.replace(Some(leader.clone()));
        self.local_scheduler.pause_orders(EnginesToPause::All);
        self.broadcast_leaving(&leader, &self.local_scheduler.idle_times())
            .await;
    }

    /// Switches to standalone mode until a leader answers.
    pub(super) fn drop_leader(
        &self,
        reason: &str,
    ) {
        if matches!(*self.mode.borrow(), Mode::Following(..)) {
            Line::new("leader_lost").with("reason", reason).warn();
            self.leader_silent_since.set(Some(self.clock.now()));
            self.become_standalone();
        }
    }

    /// Records what `vm` has stored of crashes and of sound parts so long ago, and adds it if this VM decides.
    pub fn note_stored_evidence(
        &self,
        vm: &str,
        evidence: EvidenceSpec,
        age: Millis,
    ) {
        if !self.is_following() {
            self.local_scheduler.add_crash_evidence(vm, &evidence, age);
        }
        self.local_scheduler.note_stored_evidence(vm, evidence, age);
    }

    fn become_standalone(&self) {
        self.local_scheduler.set_role(false, self.rights_share());
        self.local_scheduler.begin_standalone();
        self.local_scheduler.forget_other_vms(LOCAL_VM);
        self.set_mode(Mode::Standalone);
    }

    /// Tells the local scheduler which part of the upstreams' limits over all VMs it may use.
    pub(super) fn update_admission_share(&self) {
        let share = if self.is_leading() {
            AdmissionShare::Scheduler {
                took_over_at: self.took_over_at.get(),
                lease_until: self.leader_lease_until.get(),
            }
        } else {
            let hash = |name: &String| xxh3_64(name.as_bytes());
            AdmissionShare::Standalone {
                me: hash(&self.me),
                vms: self.vms.borrow().keys().map(hash).collect(),
            }
        };
        self.local_scheduler.set_admission_share(share);
    }

    pub(super) fn rights_share(&self) -> RateShare {
        self.share_count.set(self.vms.borrow().len().max(1) as u64);
        RateShare::Part(self.share_count.get())
    }
}
