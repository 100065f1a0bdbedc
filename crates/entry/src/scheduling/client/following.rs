//! Keeping in touch with the leader: who it is, whether it lives, and what it is told.

use {
    super::{LINK, Mode, SchedulerLink, Scheduling},
    crate::scheduling::{
        Leader,
        convert::{News, read_leader, write_leader, write_news, write_rested, write_running},
    },
    futures::future::join_all,
    jasmine_core::clock::Millis,
    jasmine_telemetry::log::Line,
    jasmine_wire::link::LinkError,
    std::{net::SocketAddr, rc::Rc},
    tokio::{task::spawn_local, time::sleep},
};

/// How often the scheduler is asked whether it lives.
const PING_EVERY: Millis = Millis(300);
/// VMs that a newcomer asks who leads.
const ASKED: usize = 3;
/// The pause after it didn't answer: doubled up to a time that grows with the VMs, as hundreds of them would leave one that
/// starts to lead no processor for that.
const RETRY_FIRST: Millis = Millis(150);
const RETRY_A_VM: Millis = Millis(4);
const RETRY_MAX: Millis = Millis(1_200);
/// News is gathered for this long: a message for each event would cost more than what it tells.
const GATHER: Millis = Millis(5);
/// So long for each VM, and at most, is news gathered for which nobody waits: of streams, whose engines have dozens of
/// places. From 62 VMs some 1,700 messages a second told the one that schedules little else.
const GATHER_A_VM: f64 = 0.25;
const GATHER_MOST: Millis = Millis(20);

impl Scheduling {
    /// Tells all VMs at once who leads: they would learn it from the store too, but only when they reach it. The
    /// leader before may have lost its entry and still give orders, for as long as nobody tells it.
    pub(super) fn announce(
        &self,
        leader: &Leader,
        before: Option<&Leader>,
    ) {
        let mut vms = self.vms();
        vms.extend(before.map(|before| (before.vm.clone(), before.address)));
        for (vm, address) in vms {
            if vm == self.me {
                continue;
            }
            let leader = leader.clone();
            spawn_local(async move { announce_to(&vm, address, &leader, &[]).await });
        }
    }

    /// Tells all VMs that this one leaves the lead, and waits until they know it.
    pub(super) async fn hand_on(
        &self,
        leader: &Leader,
        rested: &[(String, Millis)],
    ) {
        let others = self.vms().into_iter().filter(|(vm, _)| *vm != self.me);
        let told = others
            .map(|(vm, address)| async move { announce_to(&vm, address, leader, rested).await });
        join_all(told).await;
    }

    /// Asks some other VMs who leads, or led last; whether one of them knew.
    pub async fn ask_for_leader(&self) -> bool {
        let others = self.vms().into_iter().filter(|(vm, _)| *vm != self.me);
        let asked = others.take(ASKED).map(|(vm, address)| async move {
            let link = SchedulerLink::new(address, LINK);
            match call_ping(&link).await {
                Ok(leader) => leader,
                Err(e) => {
                    Line::new("leader_not_asked")
                        .with("vm", vm)
                        .with("reason", e)
                        .info();
                    None
                }
            }
        });
        let known = join_all(asked).await.into_iter().flatten();
        known.map(|leader| self.consider(leader)).count() > 0
    }

    pub(super) async fn follow_leader(self: Rc<Self>) {
        let mut changed = self.changed.subscribe();
        let mut pause = RETRY_FIRST;
        loop {
            changed.mark_unchanged();
            let leader = self.leader().filter(|leader| leader.vm != self.me);
            let Some(leader) = leader else {
                if changed.changed().await.is_err() {
                    return;
                }
                continue;
            };
            let link = Rc::new(SchedulerLink::new(leader.address, LINK));
            match self.hello(&link).await {
                // A leader that was frozen answers when it thaws. Whoever took the lead meanwhile, this VM maybe,
                // would give it up to follow one that leads no more, and nobody would lead.
                Ok(_) if self.leader().map(|known| known.fence) != Some(leader.fence) => continue,
                Ok(session) => {
                    Line::new("leader_followed")
                        .with("vm", &leader.vm)
                        .with("fence", leader.fence)
                        .info();
                    pause = RETRY_FIRST;
                    self.set_mode(Mode::Following(Rc::clone(&link), session));
                    self.watch_leader(&link, &leader).await;
                }
                Err(e) => {
                    Line::new("leader_unreachable")
                        .with("vm", &leader.vm)
                        .with("reason", e)
                        .info();
                }
            }
            tokio::select! {
                () = sleep(pause.to_std()) => pause = self.longer_pause(pause),
                _ = changed.changed() => pause = RETRY_FIRST,
            }
        }
    }

    fn longer_pause(
        &self,
        pause: Millis,
    ) -> Millis {
        let vms = self.vms.borrow().len() as u64;
        let most = Millis(RETRY_A_VM.0 * vms).clamp(RETRY_FIRST, RETRY_MAX);
        Millis(pause.0 * 2).min(most)
    }

    /// Asks the leader for signs of life until it gives none or another one leads.
    async fn watch_leader(
        &self,
        link: &SchedulerLink,
        leader: &Leader,
    ) {
        while self
            .leader()
            .is_some_and(|known| known.fence == leader.fence)
            && matches!(*self.mode.borrow(), Mode::Following(..))
        {
            sleep(PING_EVERY.to_std()).await;
            match call_ping(link).await {
                Ok(Some(other)) => self.consider(other),
                Ok(None) => return self.lose_leader("it leads no more"),
                Err(e) => return self.lose_leader(&e.to_string()),
            }
        }
        self.lose_leader("another leads");
    }

    /// Waits for more news, until some is urgent.
    async fn gather(&self) {
        let vms = self.vms.borrow().len() as f64;
        let pause = Millis((vms * GATHER_A_VM) as u64);
        let pause = pause.clamp(GATHER, GATHER_MOST);
        tokio::select! {
            () = sleep(pause.to_std()) => {}
            () = self.has_urgent_news.notified() => sleep(GATHER.to_std()).await,
        }
    }

    async fn hello(
        &self,
        link: &SchedulerLink,
    ) -> Result<u32, LinkError> {
        let running = self.running_now();
        let (me, incarnation) = (&self.me, self.incarnation);
        let running = &running;
        let (session, other) = link
            .call(Millis::ZERO, |client| async move {
                let mut req = client.hello_request();
                req.get().set_vm(me);
                req.get().set_incarnation(incarnation);
                let mut list = req.get().init_running(running.len() as u32);
                for (at, running) in running.iter().enumerate() {
                    write_running(list.reborrow().get(at as u32), running);
                }
                let res = req.send().promise.await?;
                let res = res.get()?;
                Ok((res.get_session(), read_leader(res.get_leader()?)?))
            })
            .await?;
        if let Some(other) = other {
            self.consider(other);
        }
        match session {
            0 => Err(LinkError::Failed("it does not lead".to_owned())),
            session => Ok(session),
        }
    }

    pub(super) async fn send_news(self: Rc<Self>) {
        loop {
            tokio::select! {
                () = self.has_urgent_news.notified() => sleep(GATHER.to_std()).await,
                () = self.has_news.notified() => self.gather().await,
            }
            let news = self.outbox.take();
            let mode = self.mode.borrow().clone();
            // Without a leader nobody counts; a later one is told what runs when it is met.
            if let Mode::Following(link, session) = mode
                && !news.is_empty()
            {
                match call_tell(&link, session, &news).await {
                    Ok(true) => {}
                    Ok(false) => self.lose_leader("session unknown"),
                    Err(e) => self.lose_leader(&e.to_string()),
                }
            }
        }
    }
}

/// Tells one VM who leads, or that the leader leaves.
async fn announce_to(
    vm: &str,
    address: SocketAddr,
    leader: &Leader,
    rested: &[(String, Millis)],
) {
    let link = SchedulerLink::new(address, LINK);
    if let Err(e) = call_announce(&link, leader, rested).await {
        Line::new("announce_failed")
            .with("vm", vm)
            .with("reason", e)
            .info();
    }
}

async fn call_announce(
    link: &SchedulerLink,
    leader: &Leader,
    rested: &[(String, Millis)],
) -> Result<Option<Leader>, LinkError> {
    link.call(Millis::ZERO, |client| async move {
        let mut req = client.announce_request();
        write_leader(req.get().init_leader(), Some(leader));
        write_rested(req.get().init_rested(rested.len() as u32), rested);
        let res = req.send().promise.await?;
        read_leader(res.get()?.get_leader()?)
    })
    .await
}

async fn call_ping(link: &SchedulerLink) -> Result<Option<Leader>, LinkError> {
    link.call(Millis::ZERO, |client| async move {
        let res = client.ping_request().send().promise.await?;
        read_leader(res.get()?.get_leader()?)
    })
    .await
}

async fn call_tell(
    link: &SchedulerLink,
    session: u32,
    news: &[(u64, News)],
) -> Result<bool, LinkError> {
    link.call(Millis::ZERO, |client| async move {
        let mut req = client.tell_request();
        req.get().set_session(session);
        let mut list = req.get().init_news(news.len() as u32);
        for (at, &(number, what)) in news.iter().enumerate() {
            write_news(list.reborrow().get(at as u32), number, what);
        }
        let res = req.send().promise.await?;
        Ok(res.get()?.get_known())
    })
    .await
}
