use {
    super::{AttemptCounts, AttemptId},
    crate::{ids::ServiceId, rights::CallerTag},
};

/// Which part of a retry budget a decision draws on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RetryDecider {
    /// That of the elected scheduler.
    Leader,
    /// That of an elected scheduler that doesn't know all attempts of before its takeover.
    Successor,
    /// That of VMs that decide alone.
    Alone,
}

impl RetryDecider {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::Leader, Self::Successor, Self::Alone];

    /// Its name in the log and in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Leader => "leader",
            Self::Successor => "successor",
            Self::Alone => "alone",
        }
    }
}

/// A decision about a retry, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryRecord {
    /// Identifies the attempt on the forwarding VM.
    pub attempt_id: AttemptId,
    /// Identifies the request over all attempts of its caller.
    pub caller: CallerTag,
    /// Its service.
    pub service: ServiceId,
    /// The number of the attempt, from 2.
    pub attempt: u32,
    /// The part of the budget.
    pub decider: RetryDecider,
    /// What was counted before it.
    pub counts: AttemptCounts,
    /// How many retries the window allows.
    pub allowed: f64,
    /// Whether it may be sent.
    pub is_granted: bool,
}

/// Decisions about retries since the start, by the part of the budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryTotals {
    granted: [u64; 3],
    refused: [u64; 3],
}

impl RetryTotals {
    pub(super) const fn note(
        &mut self,
        record: &RetryRecord,
    ) {
        let counts = if record.is_granted {
            &mut self.granted
        } else {
            &mut self.refused
        };
        counts[record.decider as usize] += 1;
    }

    /// How many were granted, and how many refused.
    pub const fn of(
        &self,
        decider: RetryDecider,
    ) -> (u64, u64) {
        let number = decider as usize;
        (self.granted[number], self.refused[number])
    }
}
