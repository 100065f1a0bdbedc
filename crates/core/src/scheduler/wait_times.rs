use {super::WaitReason, crate::clock::Millis};

/// Total waiting time by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitTimes {
    by_reason: [Millis; WaitReason::ALL.len()],
}

impl WaitTimes {
    /// Adds waiting time for one reason.
    pub(super) fn add(
        &mut self,
        reason: WaitReason,
        waited: Millis,
    ) {
        let sum = &mut self.by_reason[reason as usize];
        *sum += waited;
    }

    /// Adds all times of `other`.
    pub(super) fn add_all(
        &mut self,
        other: &Self,
    ) {
        for reason in WaitReason::ALL {
            self.add(reason, other.of(reason));
        }
    }

    /// The waiting time for this reason.
    pub const fn of(
        &self,
        reason: WaitReason,
    ) -> Millis {
        self.by_reason[reason as usize]
    }

    /// The time over all reasons.
    pub(super) fn total(&self) -> Millis {
        self.by_reason
            .iter()
            .fold(Millis::ZERO, |sum, &time| sum + time)
    }

    /// The reason with the longest time, and that time; the first one on a tie.
    pub fn longest(&self) -> (WaitReason, Millis) {
        WaitReason::ALL
            .into_iter()
            .map(|reason| (reason, self.of(reason)))
            .fold((WaitReason::Turn, Millis::ZERO), |longest, next| {
                if next.1 > longest.1 { next } else { longest }
            })
    }
}
