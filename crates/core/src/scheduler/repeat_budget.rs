use {super::RepeatSettings, crate::clock::Millis, std::collections::VecDeque};

/// Number of buckets in the sliding window.
const PARTS: u64 = 10;
/// Share of the budget to use, in percent: upstreams count an arrival later, possibly in another
/// window.
const USED_PERCENT: f64 = 70.0;
/// The same in the first window after a takeover, as earlier schedulers may have used their
/// budgets.
const TAKEN_OVER_PERCENT: f64 = 20.0;

#[derive(Clone, Copy, Debug, Default)]
struct Part {
    begins: Millis,
    requests: u32,
    repeats: u32,
}

/// Retry budget of one service over all VMs, in a sliding window.
///
/// Without it, retries of failed requests would overload the upstreams that still work.
#[derive(Clone, Debug, Default)]
pub(super) struct RepeatBudget {
    parts: VecDeque<Part>,
    /// When this scheduler took over from a previous one.
    taken_over_at: Option<Millis>,
}

impl RepeatBudget {
    /// Records the first attempt of a request.
    pub(super) fn note_request(
        &mut self,
        settings: &RepeatSettings,
        now: Millis,
    ) {
        self.part(settings, now).requests += 1;
    }

    /// The budget after a takeover, when earlier retries are unknown.
    pub(super) fn taken_over(at: Option<Millis>) -> Self {
        Self {
            taken_over_at: at,
            ..Self::default()
        }
    }

    /// Takes one retry from the budget; returns whether one was left.
    pub(super) fn take(
        &mut self,
        settings: &RepeatSettings,
        now: Millis,
    ) -> bool {
        self.part(settings, now);
        let requests: u32 = self.parts.iter().map(|part| part.requests).sum();
        let repeats: u32 = self.parts.iter().map(|part| part.repeats).sum();
        let allowed = settings.ratio * f64::from(requests) + settings.slack;
        let is_new = self
            .taken_over_at
            .is_some_and(|at| now.since(at) < settings.window);
        let percent = if is_new {
            TAKEN_OVER_PERCENT
        } else {
            USED_PERCENT
        };
        let has_left = f64::from(repeats + 1) <= allowed * percent / 100.0;
        if has_left {
            self.part(settings, now).repeats += 1;
        }
        has_left
    }

    /// The bucket for `now`; drops those outside the window.
    fn part(
        &mut self,
        settings: &RepeatSettings,
        now: Millis,
    ) -> &mut Part {
        let length = (settings.window.0 / PARTS).max(1);
        let begins = Millis(now.0 / length * length);
        self.parts
            .retain(|part| now.since(part.begins) < settings.window);
        if self.parts.back().is_none_or(|part| part.begins < begins) {
            self.parts.push_back(Part {
                begins,
                ..Part::default()
            });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}
