use {
    super::read_time::{ReadLine, ReadTime},
    crate::{clock::Millis, ids::RequestId},
    std::collections::VecDeque,
};

/// How much one prompt counts for how slow an engine is against others.
const LEARNING: f64 = 0.15;
/// Bounds of what one prompt may say of that.
const SLOWNESS: (f64, f64) = (0.5, 6.0);
/// How fast what was seen of one engine is forgotten.
const SLOWNESS_HALF_LIFE: Millis = Millis(4_000);

/// A prompt that was sent and whose first event has not been seen.
#[derive(Clone, Copy, Debug)]
struct Unread {
    request: RequestId,
    tokens: f64,
}

/// The prompts that an engine has still to read, in the order in which they were sent.
#[derive(Clone, Debug)]
pub(super) struct Backlog {
    unread: VecDeque<Unread>,
    /// Since when the engine has been at the first of them.
    since: Millis,
    /// How long engines of its service take to read prompts.
    line: ReadLine,
    /// How much longer this one takes, as a factor, by what was seen lately.
    slowness: f64,
    seen_at: Millis,
}

/// How long a prompt took to be read.
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
    /// Notes that a prompt was sent of which `tokens` have to be read.
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

    /// Takes what is known of all engines of its service.
    pub(super) const fn set_line(
        &mut self,
        line: ReadLine,
    ) {
        self.line = line;
    }

    /// Notes that the first event of a request was seen; returns how long its prompt took, if that can be told.
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

    /// What was seen of it counts for less the longer ago that was: an engine that is passed over for being slow would
    /// never be seen to have recovered.
    fn slowness_at(
        &self,
        now: Millis,
    ) -> f64 {
        let halvings = now.since(self.seen_at).0 as f64 / SLOWNESS_HALF_LIFE.0 as f64;
        1.0 + (self.slowness - 1.0) * (-halvings).exp2()
    }

    /// Forgets a request that has ended or gone elsewhere.
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

    /// How long the engine needs for all of it, in milliseconds.
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

    /// How long a prompt takes by itself, in milliseconds.
    pub(super) fn time_for(
        &self,
        tokens: f64,
        now: Millis,
    ) -> f64 {
        self.line.time_for(tokens) * self.slowness_at(now)
    }

    /// Tokens of prompts that the engine reads in a millisecond.
    pub(super) fn tokens_per_ms(&self) -> f64 {
        self.line.tokens_per_ms() / self.slowness
    }

    /// Prompts that are unread.
    pub(super) fn len(&self) -> usize {
        self.unread.len()
    }

    /// Whether nothing is unread.
    pub(super) fn is_empty(&self) -> bool {
        self.unread.is_empty()
    }
}
