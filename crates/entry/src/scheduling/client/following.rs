//! Follows the leader: discovery, session, health checks and request updates.

use {
    super::{LINK_OPTIONS, Mode, SchedulerLink, SchedulerNode},
    crate::scheduling::{
        Leader, ToldShareSpecs,
        convert::{
            AttemptUpdate, read_ask_shares, read_leader, read_quarantine, write_account_uses,
            write_attempts, write_crashes, write_idle_times, write_leader, write_promises,
            write_quarantine, write_running, write_sound, write_stated, write_update,
        },
        cost_spec::write_costs,
    },
    futures::future::join_all,
    jasmine_core::{
        clock::Millis,
        quarantine::{EvidenceBudget, PartSet},
    },
    jasmine_telemetry::log::Line,
    jasmine_wire::link::LinkError,
    std::{net::SocketAddr, rc::Rc},
    tokio::{task::spawn_local, time::sleep},
};

/// Interval of health checks of the leader.
const PING_INTERVAL: Millis = Millis(300);
/// Most VMs that are asked for the current leader.
const MAX_LEADER_QUERIES: usize = 3;
/// Backoff after a failed connection to the leader: doubles up to a maximum that grows with the number of VMs, so that
/// their retries don't overload a new leader.
const MIN_RETRY_DELAY: Millis = Millis(150);
const RETRY_DELAY_PER_VM: Millis = Millis(4);
const MAX_RETRY_DELAY: Millis = Millis(1_200);
/// Shortest time for which request updates are batched.
///
/// A message for each update would cost the leader more than its content.
const MIN_BATCH_DELAY: Millis = Millis(5);
/// Updates that are not urgent are batched longer the more VMs there are, to bound the leader's message rate.
///
/// Without it, 62 VMs sent it some 1,700 messages a second that held little else.
const BATCH_DELAY_MS_PER_VM: f64 = 0.25;
const MAX_BATCH_DELAY: Millis = Millis(20);

impl SchedulerNode {
    /// Announces a new leader to all VMs and to the previous leader.
    ///
    /// VMs that can't reach the store, and a previous leader that still gives orders, learn it this way.
    pub(super) fn announce(
        &self,
        leader: &Leader,
        previous: Option<&Leader>,
    ) {
        let mut vms = self.vms();
        vms.extend(previous.map(|previous| (previous.vm.clone(), previous.address)));
        for (vm, address) in vms {
            if vm == self.me {
                continue;
            }
            let leader = leader.clone();
            spawn_local(async move { announce_to(&vm, address, &leader, &[]).await });
        }
    }

    /// Announces to all VMs that this leader is stopping, and waits for their answers.
    pub(super) async fn broadcast_leaving(
        &self,
        leader: &Leader,
        idle: &[(String, Millis)],
    ) {
        let others = self.vms().into_iter().filter(|(vm, _)| *vm != self.me);
        let announcements = others
            .map(|(vm, address)| async move { announce_to(&vm, address, leader, idle).await });
        join_all(announcements).await;
    }

    /// Asks some other VMs for the current or last leader; returns whether one of them knew it.
    pub async fn ask_for_leader(&self) -> bool {
        let others = self.vms().into_iter().filter(|(vm, _)| *vm != self.me);
        let queries = others
            .take(MAX_LEADER_QUERIES)
            .map(|(vm, address)| async move {
                let link = SchedulerLink::new(address, LINK_OPTIONS);
                match call_ping(&link, PingState::default()).await {
                    Ok(reply) => reply.leader,
                    Err(e) => {
                        Line::new("leader_not_asked")
                            .with("vm", vm)
                            .with("reason", e)
                            .info();
                        None
                    }
                }
            });
        let known = join_all(queries).await.into_iter().flatten();
        known.map(|leader| self.observe_leader(leader)).count() > 0
    }

    pub(super) async fn follow_leader(self: Rc<Self>) {
        let mut changed = self.leader_changed.subscribe();
        let mut pause = MIN_RETRY_DELAY;
        loop {
            changed.mark_unchanged();
            let leader = self.leader().filter(|leader| leader.vm != self.me);
            let Some(leader) = leader else {
                if changed.changed().await.is_err() {
                    return;
                }
                continue;
            };
            let link = Rc::new(SchedulerLink::new(leader.address, LINK_OPTIONS));
            match self.hello(&link).await {
                // A late answer of a suspended leader: another VM, maybe this one, has been elected since.
                Ok(_) if self.leader().map(|known| known.fence) != Some(leader.fence) => continue,
                Ok(session) => {
                    Line::new("leader_followed")
                        .with("vm", &leader.vm)
                        .with("fence", leader.fence)
                        .info();
                    pause = MIN_RETRY_DELAY;
                    self.local_scheduler.begin_following();
                    self.local_scheduler.forget_told_shares();
                    self.set_mode(Mode::Following(Rc::clone(&link), session));
                    self.ping_leader(&link, &leader).await;
                }
                Err(e) => {
                    Line::new("leader_unreachable")
                        .with("vm", &leader.vm)
                        .with("reason", e)
                        .info();
                }
            }
            tokio::select! {
                () = sleep(pause.to_std()) => pause = self.next_retry_delay(pause),
                _ = changed.changed() => pause = MIN_RETRY_DELAY,
            }
        }
    }

    fn next_retry_delay(
        &self,
        pause: Millis,
    ) -> Millis {
        let vms = self.vms.borrow().len() as u64;
        let max_delay = Millis(RETRY_DELAY_PER_VM.0 * vms).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        Millis(pause.0 * 2).min(max_delay)
    }

    /// Pings the leader until it fails to answer or another leader is known.
    async fn ping_leader(
        &self,
        link: &SchedulerLink,
        leader: &Leader,
    ) {
        while self
            .leader()
            .is_some_and(|known| known.fence == leader.fence)
            && matches!(*self.mode.borrow(), Mode::Following(..))
        {
            sleep(PING_INTERVAL.to_std()).await;
            let known = PingState {
                quarantine_hash: self.local_scheduler.quarantine_hash(),
                ask_revision: self.local_scheduler.ask_revision(),
            };
            let reply = match call_ping(link, known).await {
                Ok(reply) => reply,
                Err(e) => return self.drop_leader(&e.to_string()),
            };
            if let Some(sets) = reply.quarantine {
                self.local_scheduler.replace_quarantine(&sets);
            }
            self.local_scheduler
                .note_told_shares(reply.ask_shares.as_ref());
            match reply.leader {
                Some(other) => self.observe_leader(other),
                None => return self.drop_leader("it no longer leads"),
            }
        }
        self.drop_leader("another VM leads");
    }

    /// Waits for more updates; an urgent one shortens the wait.
    async fn wait_for_batch(&self) {
        let vms = self.vms.borrow().len() as f64;
        let pause = Millis((vms * BATCH_DELAY_MS_PER_VM) as u64);
        let pause = pause.clamp(MIN_BATCH_DELAY, MAX_BATCH_DELAY);
        tokio::select! {
            () = sleep(pause.to_std()) => {}
            () = self.urgent_update_queued.notified() => sleep(MIN_BATCH_DELAY.to_std()).await,
        }
    }

    async fn hello(
        &self,
        link: &SchedulerLink,
    ) -> Result<u32, LinkError> {
        let running = self.running_specs();
        let (me, incarnation) = (&self.me, self.incarnation);
        let running = &running;
        let mut history = self.local_scheduler.history();
        // All VMs tell a new leader at once, and again whenever they have lost it.
        let max = EvidenceBudget::max_record(self.vms.borrow().len() as u64);
        history.evidence = history.evidence.bounded(max);
        let history = &history;
        let (session, other) = link
            .call(Millis::ZERO, |client| async move {
                let mut req = client.hello_request();
                req.get().set_vm(me);
                req.get().set_incarnation(incarnation);
                let mut list = req.get().init_running(running.len() as u32);
                for (at, running) in running.iter().enumerate() {
                    write_running(list.reborrow().get(at as u32), running);
                }
                let attempts = req.get().init_attempts(history.attempts.len() as u32);
                write_attempts(attempts, &history.attempts);
                req.get().set_counted_for_ms(history.counted_for.0 as u32);
                let stated = req.get().init_stated(history.stated.len() as u32);
                write_stated(stated, &history.stated);
                let evidence = &history.evidence;
                let crashes = req.get().init_crashes(evidence.crashes.len() as u32);
                write_crashes(crashes, &evidence.crashes);
                let sound = req.get().init_sound(evidence.sound.len() as u32);
                write_sound(sound, &evidence.sound);
                let quarantine = req.get().init_quarantine(history.quarantine.len() as u32);
                write_quarantine(quarantine, &history.quarantine);
                let accounts = req.get().init_accounts(history.accounts.len() as u32);
                write_account_uses(accounts, &history.accounts);
                write_costs(
                    req.get().init_costs(history.costs.len() as u32),
                    &history.costs,
                );
                let counted_for = history.rates_counted_for.0 as u32;
                req.get().set_rates_counted_for_ms(counted_for);
                let promises = req.get().init_promises(history.promises.len() as u32);
                write_promises(promises, &history.promises);
                let res = req.send().promise.await?;
                let res = res.get()?;
                Ok((res.get_session(), read_leader(res.get_leader()?)?))
            })
            .await?;
        if let Some(other) = other {
            self.observe_leader(other);
        }
        match session {
            0 => Err(LinkError::Failed("it does not lead".to_owned())),
            session => Ok(session),
        }
    }

    pub(super) async fn send_updates(self: Rc<Self>) {
        loop {
            tokio::select! {
                () = self.urgent_update_queued.notified() => sleep(MIN_BATCH_DELAY.to_std()).await,
                () = self.update_queued.notified() => self.wait_for_batch().await,
            }
            let updates = self.outbox.take();
            let mode = self.mode.borrow().clone();
            // Without a leader updates are dropped: `hello` sends the running requests to the next one.
            if let Mode::Following(link, session) = mode
                && !updates.is_empty()
            {
                match call_tell(&link, session, &updates).await {
                    Ok(true) => {}
                    Ok(false) => self.drop_leader("session unknown"),
                    Err(e) => self.drop_leader(&e.to_string()),
                }
            }
        }
    }
}

/// Announces a new or a stopping leader to one VM.
async fn announce_to(
    vm: &str,
    address: SocketAddr,
    leader: &Leader,
    idle_times: &[(String, Millis)],
) {
    let link = SchedulerLink::new(address, LINK_OPTIONS);
    if let Err(e) = call_announce(&link, leader, idle_times).await {
        Line::new("announce_failed")
            .with("vm", vm)
            .with("reason", e)
            .info();
    }
}

async fn call_announce(
    link: &SchedulerLink,
    leader: &Leader,
    idle_times: &[(String, Millis)],
) -> Result<Option<Leader>, LinkError> {
    link.call(Millis::ZERO, |client| async move {
        let mut req = client.announce_request();
        write_leader(req.get().init_leader(), Some(leader));
        write_idle_times(req.get().init_rested(idle_times.len() as u32), idle_times);
        let res = req.send().promise.await?;
        read_leader(res.get()?.get_leader()?)
    })
    .await
}

/// What the asking VM knows of what the leader tells with its answers to pings.
#[derive(Clone, Copy, Debug, Default)]
struct PingState {
    /// A hash of the parts of prompts that it refuses.
    quarantine_hash: u64,
    /// The revision of the shares of requests that the leader wants to be asked about.
    ask_revision: u64,
}

/// The answer to a ping.
struct PingReply {
    /// The leader that the VM knows.
    leader: Option<Leader>,
    /// The parts of prompts that it refuses as the leader, if these are others than the asking VM knows.
    quarantine: Option<Vec<PartSet>>,
    /// Which requests the leader wants to be asked about, if the asking VM knows otherwise.
    ask_shares: Option<ToldShareSpecs>,
}

async fn call_ping(
    link: &SchedulerLink,
    known: PingState,
) -> Result<PingReply, LinkError> {
    link.call(Millis::ZERO, |client| async move {
        let mut req = client.ping_request();
        req.get().set_quarantine_hash(known.quarantine_hash);
        req.get().set_ask_revision(known.ask_revision);
        let res = req.send().promise.await?;
        let res = res.get()?;
        let quarantine = res.get_quarantine_differs();
        let ask_shares = res.get_ask_revision() != known.ask_revision;
        Ok(PingReply {
            leader: read_leader(res.get_leader()?)?,
            quarantine: quarantine
                .then(|| read_quarantine(res.get_quarantine()?))
                .transpose()?,
            ask_shares: ask_shares.then(|| read_ask_shares(res)).transpose()?,
        })
    })
    .await
}

async fn call_tell(
    link: &SchedulerLink,
    session: u32,
    updates: &[AttemptUpdate],
) -> Result<bool, LinkError> {
    link.call(Millis::ZERO, |client| async move {
        let mut req = client.tell_request();
        req.get().set_session(session);
        let mut list = req.get().init_news(updates.len() as u32);
        for (at, update) in updates.iter().enumerate() {
            write_update(list.reborrow().get(at as u32), update);
        }
        let res = req.send().promise.await?;
        Ok(res.get()?.get_known())
    })
    .await
}
