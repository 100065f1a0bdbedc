use {
    super::read_time::{ReadLine, ReadTime},
    crate::{clock::Millis, ids::RequestId},
    std::collections::VecDeque,
};

/// Weight of one sample in the moving average of an engine's slowness.
const LEARNING: f64 = 0.15;
/// Bounds of one sample of slowness.
const SLOWNESS: (f64, f64) = (0.5, 6.0);
/// Half-life of an engine's measured slowness.
const SLOWNESS_HALF_LIFE: Millis = Millis(4_000);

/// A prompt that was sent and has no first event yet.
#[derive(Clone, Copy, Debug)]
struct Unread {
    request: RequestId,
    tokens: f64,
}

/// Prompts waiting for prefill on an engine, in the order in which they were sent.
#[derive(Clone, Debug)]
pub(super) struct Backlog {
    unread: VecDeque<Unread>,
    /// When prefill of the first prompt started.
    since: Millis,
    /// Prefill time model of the service.
    line: ReadLine,
    /// Prefill time of this engine relative to its service, as a moving average.
    slowness: f64,
    seen_at: Millis,
}

/// A measured prefill time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Reading {
    pub tokens: f64,
    pub took: Millis,
}

impl Default for Backlog {
    fn default() -> Self {
        Self {
            unread: VecDeque::new(),
            since: Millis::ZERO,
            line: ReadTime::default().line(),
            slowness: 1.0,
            seen_at: Millis::ZERO,
        }
    }
}

impl Backlog {
    /// Adds a prompt with `tokens` to prefill.
    pub(super) fn push(
        &mut self,
        request: RequestId,
        tokens: f64,
        now: Millis,
    ) {
        if self.unread.is_empty() {
            self.since = now;
        }
        self.unread.push_back(Unread { request, tokens });
    }

    /// Sets the prefill time model of the service.
    pub(super) const fn set_line(
        &mut self,
        line: ReadLine,
    ) {
        self.line = line;
    }

    /// Records a request's first event; returns its prefill time if its prompt was the first in
    /// line.
    pub(super) fn read(
        &mut self,
        request: RequestId,
        now: Millis,
    ) -> Option<Reading> {
        let first = self.unread.front().copied();
        let reading = first
            .filter(|first| first.request == request && first.tokens > 0.0)
            .map(|first| Reading {
                tokens: first.tokens,
                took: now.since(self.since),
            });
        if let Some(reading) = reading {
            self.note_slowness(reading, now);
        }
        self.remove(request, now);
        reading
    }

    fn note_slowness(
        &mut self,
        reading: Reading,
        now: Millis,
    ) {
        let expected = self.line.time_for(reading.tokens).max(1.0);
        let seen = (reading.took.0 as f64 / expected).clamp(SLOWNESS.0, SLOWNESS.1);
        self.slowness = self.slowness_at(now);
        self.slowness += (seen - self.slowness) * LEARNING;
        self.seen_at = now;
    }

    /// The slowness, decayed towards 1: an engine that is avoided for being slow would otherwise
    /// never be tried again.
    fn slowness_at(
        &self,
        now: Millis,
    ) -> f64 {
        let halvings = now.since(self.seen_at).0 as f64 / SLOWNESS_HALF_LIFE.0 as f64;
        1.0 + (self.slowness - 1.0) * (-halvings).exp2()
    }

    /// Removes a request that has ended or was sent elsewhere.
    pub(super) fn remove(
        &mut self,
        request: RequestId,
        now: Millis,
    ) {
        if let Some(at) = self
            .unread
            .iter()
            .position(|unread| unread.request == request)
        {
            self.unread.remove(at);
            if at == 0 {
                self.since = now;
            }
        }
    }

    /// Expected time until all prompts are prefilled, in milliseconds.
    pub(super) fn wait(
        &self,
        now: Millis,
    ) -> f64 {
        let Some(first) = self.unread.front() else {
            return 0.0;
        };
        let spent = now.since(self.since).0 as f64;
        let slowness = self.slowness_at(now);
        let time_for = |unread: &Unread| self.line.time_for(unread.tokens) * slowness;
        let rest: f64 = self.unread.iter().skip(1).map(time_for).sum();
        (time_for(first) - spent).max(0.0) + rest
    }

    /// Expected prefill time of a single prompt, in milliseconds.
    pub(super) fn time_for(
        &self,
        tokens: f64,
        now: Millis,
    ) -> f64 {
        self.line.time_for(tokens) * self.slowness_at(now)
    }

    /// Prefill throughput, in tokens per millisecond.
    pub(super) fn tokens_per_ms(&self) -> f64 {
        self.line.tokens_per_ms() / self.slowness
    }

    /// Number of prompts waiting for prefill.
    pub(super) fn len(&self) -> usize {
        self.unread.len()
    }

    /// Whether no prompt is waiting for prefill.
    pub(super) fn is_empty(&self) -> bool {
        self.unread.is_empty()
    }
}
