use {
    jasmine_core::{clock::Millis, placement::Instance},
    std::collections::{BTreeMap, BTreeSet, VecDeque},
};

/// Adapter slots of an engine.
pub const SLOTS: u32 = 8;
/// Maximum number of requests in a batch.
pub const MAX_BATCH: u32 = 16;
/// Duration of a decode step: a base, plus a part per request and per distinct adapter.
const BASE_STEP_US: u64 = 20_000;
const STEP_PER_REQUEST_US: u64 = 400;
const STEP_PER_ADAPTER_US: u64 = 1_500;

/// A request queued or running on an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineRequest {
    /// Index of the request.
    pub id: usize,
    /// Adapter instance that serves it.
    pub instance: Instance,
    /// Tokens still to be generated.
    pub remaining_tokens: u32,
}

/// A simulated engine with continuous batching and a step time that depends on the batch.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    /// Loaded adapter instances.
    pub loaded: BTreeSet<Instance>,
    /// Loads in progress with their remaining time at full speed, in milliseconds.
    pub loading: BTreeMap<Instance, f64>,
    /// Requests in the current batch.
    pub running: Vec<EngineRequest>,
    /// Requests queued for the batch.
    pub waiting: VecDeque<EngineRequest>,
    /// Boot counter, incremented by each restart.
    pub boot: u64,
    /// Number of steps run.
    pub steps: u64,
    /// Number of tokens generated.
    pub tokens: u64,
    next_step_us: u64,
}

impl Engine {
    /// Number of running and queued requests.
    pub fn request_count(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Whether a running or queued request uses this instance.
    pub fn has_request_on(
        &self,
        instance: Instance,
    ) -> bool {
        let mut work = self.running.iter().chain(&self.waiting);
        work.any(|running| running.instance == instance)
    }

    /// Runs all steps up to `now`; returns the requests that entered the batch and those that finished.
    pub fn advance(
        &mut self,
        now: Millis,
    ) -> (Vec<usize>, Vec<EngineRequest>) {
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
            self.next_step_us += BASE_STEP_US
                + STEP_PER_REQUEST_US * batch
                + STEP_PER_ADAPTER_US * distinct.len() as u64;
            self.steps += 1;
            self.tokens += batch;
            for running in &mut self.running {
                running.remaining_tokens -= 1;
            }
            ended.extend(
                self.running
                    .iter()
                    .filter(|r| r.remaining_tokens == 0)
                    .copied(),
            );
            self.running.retain(|running| running.remaining_tokens > 0);
        }
        (first, ended)
    }

    /// Drops all adapters and requests; returns the lost requests.
    pub fn restart(&mut self) -> Vec<EngineRequest> {
        self.boot += 1;
        self.loaded.clear();
        self.loading.clear();
        self.running
            .drain(..)
            .chain(self.waiting.drain(..))
            .collect()
    }
}

/// A simulated weight store with a rate limit on loads and a shared bandwidth.
#[derive(Clone, Debug)]
pub struct Store {
    tokens: f64,
    /// Number of loads granted.
    pub granted_loads: u64,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            tokens: Self::LOAD_BURST,
            granted_loads: 0,
        }
    }
}

impl Store {
    const LOAD_BURST: f64 = 4.0;
    /// Concurrent loads that the bandwidth serves at full speed.
    const FULL_SPEED_LOADS: f64 = 8.0;
    /// Duration of a load at full speed, in milliseconds.
    pub const LOAD_MS: f64 = 250.0;

    /// Takes tokens for up to `wanted` loads; returns how many may start.
    pub fn grant(
        &mut self,
        wanted: u32,
    ) -> u32 {
        let granted = wanted.min(self.tokens as u32);
        self.tokens -= f64::from(granted);
        self.granted_loads += u64::from(granted);
        granted
    }

    /// Refills the token bucket at `rate` loads per second.
    pub fn refill(
        &mut self,
        rate: f64,
        step: Millis,
    ) {
        self.tokens = (self.tokens + rate * step.as_secs_f64()).min(Self::LOAD_BURST);
    }

    /// Advances all loads by `step`; returns the completed ones.
    pub fn advance(
        engines: &mut [Engine],
        step: Millis,
    ) -> Vec<Instance> {
        let in_flight: usize = engines.iter().map(|engine| engine.loading.len()).sum();
        let speed = (Self::FULL_SPEED_LOADS / in_flight.max(1) as f64).min(1.0);
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
