use {
    super::speed::Speed,
    crate::{clock::Millis, ids::RequestId},
    std::collections::VecDeque,
};

/// A prompt that was sent and whose first event has not been seen.
#[derive(Clone, Copy, Debug)]
struct Unread {
    request: RequestId,
    tokens: f64,
}

/// The prompts that an engine has still to read, in the order in which they were sent.
#[derive(Clone, Debug, Default)]
pub(super) struct Backlog {
    unread: VecDeque<Unread>,
    /// Since when the engine has been at the first of them.
    since: Millis,
    speed: Speed,
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

    /// Notes that the first event of a request was seen.
    pub(super) fn read(
        &mut self,
        request: RequestId,
        now: Millis,
    ) {
        let first = self.unread.front().copied();
        if let Some(first) = first.filter(|first| first.request == request) {
            self.speed.note(first.tokens, now.since(self.since));
        }
        self.remove(request, now);
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
        let of_first = self.time_for(first.tokens);
        let rest: f64 = self.unread.iter().skip(1).map(|unread| unread.tokens).sum();
        (of_first - spent).max(0.0) + self.time_for(rest)
    }

    /// How long a prompt takes by itself, in milliseconds.
    pub(super) fn time_for(
        &self,
        tokens: f64,
    ) -> f64 {
        self.speed.time_for(tokens)
    }

    /// Tokens of prompts that the engine reads in a millisecond.
    pub(super) const fn tokens_per_ms(&self) -> f64 {
        self.speed.per_ms()
    }

    /// Whether nothing is unread.
    pub(super) fn is_empty(&self) -> bool {
        self.unread.is_empty()
    }
}
