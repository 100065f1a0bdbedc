use {
    crate::{ids::UpstreamId, scheduler::AdmissionPart},
    std::collections::HashMap,
};

/// The bytes of requests that each upstream holds, as far as a scheduler has assigned them.
///
/// The parts of a budget are three quarters for the elected scheduler, an eighth for all VMs in standalone mode, and a
/// sixteenth for each of two schedulers that take over before all VMs have told what runs. Together they are the budget.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpstreamBytes {
    /// Most bytes that one upstream may hold over all VMs; 0 for no limit.
    pub budget: u64,
    /// Upstreams that hold any.
    held: HashMap<UpstreamId, u64>,
}

impl UpstreamBytes {
    /// Creates a table without any requests; a `budget` of 0 sets no limit.
    pub(crate) fn new(budget: u64) -> Self {
        Self {
            budget,
            ..Self::default()
        }
    }

    /// Whether there is a limit.
    pub(crate) const fn is_limited(&self) -> bool {
        self.budget > 0
    }

    /// Whether a request of so many bytes can never be assigned.
    pub(crate) const fn is_too_large(
        &self,
        bytes: u32,
    ) -> bool {
        self.is_limited() && bytes as u64 > self.budget / 4 * 3
    }

    /// Whether a scheduler with this part of the limits may assign an upstream so many bytes more.
    pub(crate) fn has_room(
        &self,
        upstream: UpstreamId,
        part: AdmissionPart,
        bytes: u32,
    ) -> bool {
        if !self.is_limited() || bytes == 0 {
            return true;
        }
        let held = self.held.get(&upstream).copied().unwrap_or_default();
        held + u64::from(bytes) <= self.allowed(part)
    }

    /// Records that a request was assigned.
    pub(crate) fn add(
        &mut self,
        upstream: UpstreamId,
        bytes: u32,
    ) {
        if bytes > 0 {
            *self.held.entry(upstream).or_default() += u64::from(bytes);
        }
    }

    /// Records that a request has ended.
    pub(crate) fn remove(
        &mut self,
        upstream: UpstreamId,
        bytes: u32,
    ) {
        let Some(held) = self.held.get_mut(&upstream) else {
            return;
        };
        *held = held.saturating_sub(bytes.into());
        if *held == 0 {
            self.held.remove(&upstream);
        }
    }

    fn allowed(
        &self,
        part: AdmissionPart,
    ) -> u64 {
        match part {
            AdmissionPart::None => 0,
            AdmissionPart::Scheduler => self.budget / 4 * 3,
            AdmissionPart::ContendedScheduler => self.budget / 16,
            AdmissionPart::Standalone { .. } => part.share_of((self.budget / 8) as usize) as u64,
        }
    }
}
