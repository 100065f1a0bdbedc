//! Engines that break answers off or crash by themselves, under prompts with adapters that few of them hold.

use {
    super::scheduler_world::{World, attempt_id, engine, generation, upstream},
    jasmine_core::{
        clock::Millis,
        ids::{AdapterId, PartId, UpstreamId},
        ingress::{PromptPart, shared_parts},
        quarantine::{AttemptEvidence, PartSet, PromptEvidence, RequestEvidence},
        scheduler::{EngineStatus, Order, Outcome, Work},
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{BTreeMap, BTreeSet},
        ops::Range,
    },
};

const STEP: u64 = 10;
/// Time from the arrival of a prompt to the head of its answer.
const BEGIN_TIME: Millis = Millis(20);
/// Time that a load of an adapter takes.
const LOAD_TIME: Millis = Millis(300);
/// Time for which a crashed engine is gone.
const RESTART_TIME: Millis = Millis(1_500);
/// Time from the head of an answer to the crash of its engine, or to its break.
const CRASH_TIME: Millis = Millis(30);

/// What is wrong with engines.
#[derive(Clone, Debug)]
pub struct Faults {
    /// Engines whose answers are broken off, and when.
    pub broken: BTreeSet<u32>,
    pub broken_at: Range<Millis>,
    /// Share of their answers.
    pub broken_share: f64,
    /// When the first engine crashes by itself, with the first answer that it begins then.
    pub crashes: Vec<Millis>,
    /// The adapter that crashes each engine which answers with it.
    pub crashing_adapter: Option<u32>,
}

/// A run of engines with faults.
#[derive(Clone, Debug)]
pub struct Site {
    pub engines: u32,
    /// Adapters of each engine at the start, which no other has.
    pub adapters_each: u32,
    /// Time between two prompts for the same adapter.
    pub interval: Millis,
    /// When the prompts begin; answers before the faults show adapters to be sound.
    pub prompts_from: Millis,
    pub faults: Faults,
    pub time: Millis,
}

/// What a run has shown.
#[derive(Clone, Debug, Default)]
pub struct Measured {
    /// All that was ever refused.
    pub refused: BTreeSet<PartSet>,
    /// Engines that the crashing adapter crashed, in order.
    pub crashed: Vec<UpstreamId>,
    pub broken: usize,
    pub answered: usize,
}

struct Flight {
    number: u64,
    adapter: u32,
    sent: Option<Sent>,
}

#[derive(Clone, Copy)]
struct Sent {
    upstream: UpstreamId,
    at: Millis,
    ends_at: Millis,
    has_begun: bool,
    breaks: bool,
}

/// The quarantine's name of an adapter.
pub const fn adapter_part(adapter: u32) -> PartId {
    PartId::Adapter(0xada0 + adapter as u64)
}

pub struct FaultyWorld {
    site: Site,
    world: World,
    rng: ChaCha8Rng,
    held: Vec<Vec<u32>>,
    seqs: Vec<u64>,
    starts: Vec<u64>,
    down_until: Vec<Option<Millis>>,
    loads: Vec<(Millis, UpstreamId, u32)>,
    next: BTreeMap<u32, Millis>,
    flights: Vec<Flight>,
    next_part: u64,
    measured: Measured,
}

impl FaultyWorld {
    pub fn run(
        site: &Site,
        seed: u64,
    ) -> Measured {
        let mut world = World::leading(0);
        let held: Vec<Vec<u32>> = (0..site.engines)
            .map(|id| (id * site.adapters_each..(id + 1) * site.adapters_each).collect())
            .collect();
        for (id, adapters) in (0..).zip(&held) {
            world.add_engine(UpstreamId(id), adapters);
        }
        let began = world.now;
        let adapters = 0..site.engines * site.adapters_each;
        let count = site.engines as usize;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let first = adapters.map(|adapter| {
            let delay = Millis(rng.random_range(0..=site.interval.0));
            (adapter, began + site.prompts_from + delay)
        });
        let next = first.collect();
        let mut run = Self {
            site: site.clone(),
            world,
            rng,
            held,
            seqs: vec![0; count],
            starts: vec![1; count],
            down_until: vec![None; count],
            loads: Vec::new(),
            next,
            flights: Vec::new(),
            next_part: 1,
            measured: Measured::default(),
        };
        while run.world.now < began + site.time {
            run.step(began);
        }
        run.measured
    }

    fn step(
        &mut self,
        began: Millis,
    ) {
        self.world.advance(STEP);
        let now = self.world.now;
        self.carry_out_orders();
        self.restart();
        self.answer_report_requests();
        self.crash_if_due(began);
        let due: Vec<u32> = self
            .next
            .iter()
            .filter(|&(_, &at)| at <= now)
            .map(|(&adapter, _)| adapter)
            .collect();
        for adapter in due {
            let wait = self.rng.random_range(1..=self.site.interval.0 * 2);
            self.next.insert(adapter, now + Millis(wait));
            self.place(adapter);
        }
        self.move_flights(began);
        self.measured
            .refused
            .extend(self.world.scheduler.quarantined());
    }

    fn place(
        &mut self,
        adapter: u32,
    ) {
        self.next_part += 1;
        let now = self.world.now;
        let mut job = generation(adapter, now);
        if let Work::Generation(generation) = &mut job.work {
            generation.size.prompt = 50;
            generation.size.output = 5;
            let own = 0x1_0000 + self.next_part;
            generation.parts = vec![PromptPart {
                id: own,
                tokens: 10,
            }];
            generation.shared_parts = shared_parts(&generation.parts).collect();
            generation.shared_parts.push(adapter_part(adapter));
        }
        let number = self.world.place(job);
        self.flights.push(Flight {
            number,
            adapter,
            sent: None,
        });
    }

    fn move_flights(
        &mut self,
        began: Millis,
    ) {
        let mut index = 0;
        while let Some(flight) = self.flights.get(index) {
            let (number, adapter, sent) = (flight.number, flight.adapter, flight.sent);
            let now = self.world.now;
            match sent {
                None => match self.world.decision(number) {
                    None => index += 1,
                    Some(_) => self.send(index, began),
                },
                Some(sent) if !sent.has_begun && now >= sent.at + BEGIN_TIME => {
                    self.flights[index].sent = Some(Sent {
                        has_begun: true,
                        ..sent
                    });
                    self.world.first_event(number);
                }
                Some(sent) if now < sent.ends_at => index += 1,
                Some(sent) if self.site.faults.crashing_adapter == Some(adapter) => {
                    self.measured.crashed.push(sent.upstream);
                    self.crash(sent.upstream);
                    index = 0;
                }
                Some(sent) => {
                    self.flights.remove(index);
                    if sent.breaks {
                        self.measured.broken += 1;
                        self.end(number, PromptEvidence::Crash, Outcome::Lost);
                        continue;
                    }
                    self.measured.answered += 1;
                    let begun_ago = now.since(sent.at + BEGIN_TIME);
                    let took = now.since(sent.at);
                    let sound = PromptEvidence::Sound { begun_ago };
                    self.end(number, sound, Outcome::Answered { took });
                }
            }
        }
    }

    fn send(
        &mut self,
        index: usize,
        began: Millis,
    ) {
        let (number, adapter) = (self.flights[index].number, self.flights[index].adapter);
        let Some(upstream) = self.world.sent_to(number) else {
            self.flights.remove(index);
            return;
        };
        if self.down_until[upstream.0 as usize].is_some() {
            self.flights.remove(index);
            self.world.end(number, Outcome::Unreachable);
            return;
        }
        let now = self.world.now;
        let faults = &self.site.faults;
        let is_faulty = faults.broken.contains(&upstream.0)
            && (began + faults.broken_at.start..began + faults.broken_at.end).contains(&now);
        let breaks = is_faulty && self.rng.random_bool(faults.broken_share);
        let time = if breaks || faults.crashing_adapter == Some(adapter) {
            CRASH_TIME
        } else {
            Millis(self.rng.random_range(20..400))
        };
        self.flights[index].sent = Some(Sent {
            upstream,
            at: now,
            ends_at: now + BEGIN_TIME + time,
            has_begun: false,
            breaks,
        });
    }

    fn end(
        &mut self,
        number: u64,
        prompt: PromptEvidence,
        outcome: Outcome,
    ) {
        let now = self.world.now;
        let evidence = AttemptEvidence {
            prompt,
            request: RequestEvidence::None,
        };
        let scheduler = &mut self.world.scheduler;
        scheduler.note_evidence(attempt_id(number), evidence, now);
        self.world.end(number, outcome);
    }

    fn crash(
        &mut self,
        upstream: UpstreamId,
    ) {
        let now = self.world.now;
        self.down_until[upstream.0 as usize] = Some(now + RESTART_TIME);
        let flights = std::mem::take(&mut self.flights);
        for flight in flights {
            match flight.sent {
                Some(sent) if sent.upstream == upstream => {
                    let prompt = if sent.has_begun {
                        PromptEvidence::Crash
                    } else {
                        PromptEvidence::None
                    };
                    self.end(flight.number, prompt, Outcome::Lost);
                }
                _ => self.flights.push(flight),
            }
        }
    }

    /// Crashes the first engine if it is to crash by itself and has begun an answer.
    fn crash_if_due(
        &mut self,
        began: Millis,
    ) {
        let crashes = &mut self.site.faults.crashes;
        let is_due = crashes
            .first()
            .is_some_and(|&at| began + at <= self.world.now);
        let on_first = |sent: &Sent| sent.upstream == UpstreamId(0) && sent.has_begun;
        let mut sent = self
            .flights
            .iter()
            .filter_map(|flight| flight.sent.as_ref());
        if is_due && sent.any(on_first) {
            crashes.remove(0);
            self.crash(UpstreamId(0));
        }
    }

    fn restart(&mut self) {
        let now = self.world.now;
        for id in 0..self.site.engines {
            let index = id as usize;
            if self.down_until[index].is_none_or(|until| now < until) {
                continue;
            }
            self.down_until[index] = None;
            self.starts[index] += 1;
            let mut status = upstream(Some(engine(None, &self.held[index])));
            status.started_unix_ms = Some(self.starts[index]);
            self.world.set(UpstreamId(id), &status);
            self.report(UpstreamId(id));
        }
    }

    /// Reports the adapters that an engine holds now.
    fn report(
        &mut self,
        upstream: UpstreamId,
    ) {
        let index = upstream.0 as usize;
        let status = EngineStatus {
            started_unix_ms: Some(self.starts[index]),
            ..engine(Some(self.seqs[index]), &self.held[index])
        };
        self.world.report(upstream, &status);
    }

    fn answer_report_requests(&mut self) {
        for upstream in std::mem::take(&mut self.world.reports_asked) {
            if self.down_until[upstream.0 as usize].is_none() {
                self.report(upstream);
            }
        }
    }

    fn carry_out_orders(&mut self) {
        let now = self.world.now;
        for (upstream, order) in std::mem::take(&mut self.world.orders) {
            let index = upstream.0 as usize;
            self.seqs[index] += 1;
            match order {
                Order::Load { adapter, .. } => {
                    let AdapterId(adapter) = adapter.adapter;
                    self.loads.push((now + LOAD_TIME, upstream, adapter));
                }
                Order::Unload { adapter, .. } => {
                    let AdapterId(adapter) = adapter.adapter;
                    self.held[index].retain(|&held| held != adapter);
                }
                Order::LoadModel(_) => {}
            }
        }
        let loads = std::mem::take(&mut self.loads);
        for (at, upstream, adapter) in loads {
            if now < at {
                self.loads.push((at, upstream, adapter));
                continue;
            }
            self.held[upstream.0 as usize].push(adapter);
            if self.down_until[upstream.0 as usize].is_none() {
                self.report(upstream);
            }
        }
    }
}
