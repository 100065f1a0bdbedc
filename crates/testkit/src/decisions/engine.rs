use {
    jasmine_core::{clock::Millis, placement::Instance},
    std::collections::{BTreeMap, BTreeSet, VecDeque},
};

/// Adapters an engine holds.
pub const SLOTS: u32 = 8;
/// Requests it batches.
pub const MAX_BATCH: u32 = 16;
/// A step takes this long, in microseconds, and more for each request and each distinct adapter.
const STEP_US: u64 = 20_000;
const REQUEST_US: u64 = 400;
const ADAPTER_US: u64 = 1_500;

/// A request on an engine.
#[derive(Clone, Copy, Debug)]
pub struct Running {
    /// Its number.
    pub id: usize,
    /// The instance it runs on.
    pub instance: Instance,
    /// Tokens still to be made.
    pub left: u32,
}

/// A model engine: continuous batching that slows with the batch and its distinct adapters.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    /// What is loaded.
    pub loaded: BTreeSet<Instance>,
    /// Loads under way: how much time each still needs at full speed, in milliseconds.
    pub loading: BTreeMap<Instance, f64>,
    /// The batch.
    pub running: Vec<Running>,
    /// Requests before the batch.
    pub waiting: VecDeque<Running>,
    /// Changes with each restart.
    pub boot: u64,
    /// Steps made.
    pub steps: u64,
    /// Tokens made.
    pub tokens: u64,
    next_step_us: u64,
}

impl Engine {
    /// Requests on it.
    pub fn load(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Whether any work needs this instance.
    pub fn uses(
        &self,
        instance: Instance,
    ) -> bool {
        let mut work = self.running.iter().chain(&self.waiting);
        work.any(|running| running.instance == instance)
    }

    /// Runs until `now`; gives the requests that have made their first and their last token.
    pub fn advance(
        &mut self,
        now: Millis,
    ) -> (Vec<usize>, Vec<Running>) {
        let (mut first, mut ended) = (Vec::new(), Vec::new());
        while self.next_step_us <= now.0 * 1000 {
            while self.running.len() < MAX_BATCH as usize
                && let Some(next) = self.waiting.pop_front()
            {
                first.push(next.id);
                self.running.push(next);
            }
            if self.running.is_empty() {
                self.next_step_us = now.0 * 1000 + 1;
                break;
            }
            let distinct: BTreeSet<Instance> = self.running.iter().map(|r| r.instance).collect();
            let batch = self.running.len() as u64;
            self.next_step_us += STEP_US + REQUEST_US * batch + ADAPTER_US * distinct.len() as u64;
            self.steps += 1;
            self.tokens += batch;
            for running in &mut self.running {
                running.left -= 1;
            }
            ended.extend(self.running.iter().filter(|r| r.left == 0).copied());
            self.running.retain(|running| running.left > 0);
        }
        (first, ended)
    }

    /// Everything is lost; gives the requests that it had.
    pub fn restart(&mut self) -> Vec<Running> {
        self.boot += 1;
        self.loaded.clear();
        self.loading.clear();
        self.running
            .drain(..)
            .chain(self.waiting.drain(..))
            .collect()
    }
}

/// The weight store: so many loads a second, and full speed up to eight at a time.
#[derive(Clone, Debug)]
pub struct Store {
    tokens: f64,
    /// Loads begun.
    pub begun: u64,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            tokens: Self::BURST,
            begun: 0,
        }
    }
}

impl Store {
    const BURST: f64 = 4.0;
    const FULL_SPEED: f64 = 8.0;
    /// What a load takes at full speed, in milliseconds.
    pub const LOAD_MS: f64 = 250.0;

    /// Earns and tells how many of `wanted` loads may begin.
    pub fn grant(
        &mut self,
        wanted: u32,
    ) -> u32 {
        let granted = wanted.min(self.tokens as u32);
        self.tokens -= f64::from(granted);
        self.begun += u64::from(granted);
        granted
    }

    /// Earns what a step of time brings.
    pub fn earn(
        &mut self,
        rate: f64,
        step: Millis,
    ) {
        self.tokens = (self.tokens + rate * step.as_secs_f64()).min(Self::BURST);
    }

    /// Brings all loads forward; gives those that have ended.
    pub fn advance(
        engines: &mut [Engine],
        step: Millis,
    ) -> Vec<Instance> {
        let in_flight: usize = engines.iter().map(|engine| engine.loading.len()).sum();
        let speed = (Self::FULL_SPEED / in_flight.max(1) as f64).min(1.0);
        let mut ended = Vec::new();
        for engine in engines {
            for left in engine.loading.values_mut() {
                *left -= step.0 as f64 * speed;
            }
            let done: Vec<Instance> = engine
                .loading
                .iter()
                .filter(|(_, left)| **left <= 0.0)
                .map(|(&i, _)| i)
                .collect();
            for instance in done {
                engine.loading.remove(&instance);
                engine.loaded.insert(instance);
                ended.push(instance);
            }
        }
        ended
    }
}
