use {
    super::{CrashReport, crash::Crash},
    crate::{
        clock::Millis,
        ids::{PartId, UpstreamId},
    },
    std::collections::{HashMap, VecDeque},
};

/// How long a crash is evidence.
const RETENTION: Millis = Millis(600_000);
/// Most crashes that are kept; the oldest go first.
const MAX_CRASHES: usize = 256;

/// The latest crashes, and the parts that they accuse.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashLog {
    crashes: VecDeque<Crash>,
    /// How many crashes accuse a part; few parts are, so that answers to others cost nothing.
    accusations: HashMap<PartId, usize>,
}

impl CrashLog {
    pub(super) fn note(
        &mut self,
        upstream: UpstreamId,
        parts: &[PartId],
        at: Millis,
        now: Millis,
    ) {
        self.forget_old(now);
        if parts.is_empty() || now.since(at) >= RETENTION {
            return;
        }
        let mut known = (0..self.crashes.len()).rev();
        let index = known.find(|&index| self.crashes[index].is_same(upstream, at));
        let index = index.unwrap_or_else(|| {
            self.crashes.push_back(Crash::new(upstream, at));
            self.crashes.len() - 1
        });
        for part in self.crashes[index].accuse(parts) {
            *self.accusations.entry(part).or_default() += 1;
        }
        while self.crashes.len() > MAX_CRASHES {
            self.forget_first();
        }
    }

    /// Acquits parts of the crashes until `until`.
    pub(super) fn acquit(
        &mut self,
        parts: &[PartId],
        until: Millis,
    ) {
        let accused: Vec<PartId> = parts
            .iter()
            .copied()
            .filter(|part| self.accusations.contains_key(part))
            .collect();
        if accused.is_empty() {
            return;
        }
        for crash in self.crashes.iter_mut().filter(|crash| crash.at <= until) {
            for part in &accused {
                if crash.accused.remove(part) {
                    release(&mut self.accusations, *part);
                }
            }
        }
        self.crashes.retain(|crash| !crash.accused.is_empty());
    }

    pub(super) fn forget_old(
        &mut self,
        now: Millis,
    ) {
        while let Some(first) = self.crashes.front()
            && now.since(first.at) >= RETENTION
        {
            self.forget_first();
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter()
    }

    pub(super) fn reports(
        &self,
        now: Millis,
    ) -> Vec<CrashReport> {
        let reports = self.crashes.iter().map(|crash| CrashReport {
            upstream: crash.upstream,
            ago: now.since(crash.at),
            parts: crash.accused.iter().copied().collect(),
        });
        reports.collect()
    }

    fn forget_first(&mut self) {
        let accused = self.crashes.pop_front().map(|crash| crash.accused);
        for part in accused.unwrap_or_default() {
            release(&mut self.accusations, part);
        }
    }
}

fn release(
    accusations: &mut HashMap<PartId, usize>,
    part: PartId,
) {
    if let Some(count) = accusations.get_mut(&part) {
        *count -= 1;
        if *count == 0 {
            accusations.remove(&part);
        }
    }
}
