use {super::WaitReason, crate::clock::Millis};

/// How long was waited, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitTimes {
    by_reason: [Millis; WaitReason::ALL.len()],
}

impl WaitTimes {
    /// Adds time.
    pub(super) fn add(
        &mut self,
        reason: WaitReason,
        waited: Millis,
    ) {
        let sum = &mut self.by_reason[reason as usize];
        *sum += waited;
    }

    /// Adds all of another's times.
    pub(super) fn add_all(
        &mut self,
        other: &Self,
    ) {
        for reason in WaitReason::ALL {
            self.add(reason, other.of(reason));
        }
    }

    /// How long was waited for this reason.
    pub const fn of(
        &self,
        reason: WaitReason,
    ) -> Millis {
        self.by_reason[reason as usize]
    }

    /// The reason that took longest, with how long; the first of those that took as long.
    pub fn longest(&self) -> (WaitReason, Millis) {
        WaitReason::ALL
            .into_iter()
            .map(|reason| (reason, self.of(reason)))
            .fold((WaitReason::Turn, Millis::ZERO), |longest, next| {
                if next.1 > longest.1 { next } else { longest }
            })
    }
}
