use {super::RepeatSettings, crate::clock::Millis, std::collections::VecDeque};

/// Parts into which the window is divided.
const PARTS: u64 = 10;
/// The part of the allowance that is used, in percent: arrivals are counted here when they are assigned, and
/// upstreams see them a little later, in another window.
const USED_PERCENT: f64 = 70.0;
/// The part that is used in the first window after a takeover: the scheduler before may have used its own just now, and
/// another one before it.
const TAKEN_OVER_PERCENT: f64 = 20.0;

#[derive(Clone, Copy, Debug, Default)]
struct Part {
    begins: Millis,
    requests: u32,
    repeats: u32,
}

/// The repeats of one service over all VMs, in a sliding window.
///
/// When an upstream fails, every request to it is repeated, and a service that is short of capacity gets
/// the more to do. Its callers would notice that one failing upstream slows all down.
#[derive(Clone, Debug, Default)]
pub(super) struct RepeatBudget {
    parts: VecDeque<Part>,
    /// When this scheduler has taken over from another one.
    taken_over_at: Option<Millis>,
}

impl RepeatBudget {
    /// Notes the first arrival of a request.
    pub(super) fn note_request(
        &mut self,
        settings: &RepeatSettings,
        now: Millis,
    ) {
        self.part(settings, now).requests += 1;
    }

    /// A budget of a scheduler that has taken over from another one, of whose repeats it knows nothing.
    pub(super) fn taken_over(at: Option<Millis>) -> Self {
        Self {
            taken_over_at: at,
            ..Self::default()
        }
    }

    /// Takes one repeat from the budget if there is one.
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

    /// The part of the window that holds `now`; what has left the window is dropped.
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
