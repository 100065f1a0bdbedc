use {crate::clock::Millis, std::collections::VecDeque};

/// The requests sent to one upstream in a sliding window.
#[derive(Clone, Debug)]
pub(super) struct AdmissionLog {
    window: Millis,
    sent: VecDeque<Millis>,
}

impl AdmissionLog {
    /// Creates a log that keeps the requests of the last `window`.
    pub(super) const fn new(window: Millis) -> Self {
        Self {
            window,
            sent: VecDeque::new(),
        }
    }

    /// Records a request.
    pub(super) fn note(
        &mut self,
        now: Millis,
    ) {
        while self.sent.front().is_some_and(|&at| now >= at + self.window) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }

    /// Adds a request that another scheduler sent at `at`.
    pub(super) fn add_earlier(
        &mut self,
        at: Millis,
    ) {
        let position = self.sent.partition_point(|&sent| sent <= at);
        self.sent.insert(position, at);
    }

    /// How long ago the requests of the window were sent.
    pub(super) fn ages(
        &self,
        now: Millis,
    ) -> Vec<Millis> {
        let ages = self.sent.iter().map(|&at| now.since(at));
        ages.filter(|&age| age < self.window).collect()
    }

    /// How long until fewer than `allowed` requests are in the last `window`, which is at most the
    /// window of the log; `None` if none is allowed.
    pub(super) fn wait(
        &self,
        allowed: usize,
        window: Millis,
        now: Millis,
    ) -> Option<Millis> {
        let oldest_excess = self.sent.len().checked_sub(allowed);
        match oldest_excess {
            _ if allowed == 0 => None,
            None => Some(Millis::ZERO),
            Some(at) => Some((self.sent[at] + window).since(now)),
        }
    }
}
