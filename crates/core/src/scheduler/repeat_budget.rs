use {super::RepeatSettings, crate::clock::Millis, std::collections::VecDeque};

/// Parts into which the window is divided.
const PARTS: u64 = 10;
/// The part of the allowance that is used, in percent: arrivals are counted here when they are assigned, and
/// upstreams see them a little later, in another window.
const USED_PERCENT: f64 = 70.0;

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
        let has_left = f64::from(repeats + 1) <= allowed * USED_PERCENT / 100.0;
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
