use {
    crate::{clock::Millis, decaying_sum::DecayingSum, ids::AccountId},
    std::collections::BTreeMap,
};

/// Time in which a recorded load wait loses half its weight in an account's mean.
const WAIT_HALF_LIFE: Millis = Millis::from_secs(30);

/// Recent load waits of each client account.
#[derive(Clone, Debug, Default)]
pub(super) struct AccountWaits {
    waits: BTreeMap<AccountId, Waits>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Waits {
    total_ms: DecayingSum,
    count: DecayingSum,
}

impl AccountWaits {
    /// Records that a request of `account` has waited `waited` for a load.
    pub(super) fn record(
        &mut self,
        account: AccountId,
        waited: Millis,
        now: Millis,
    ) {
        let waits = self.waits.entry(account).or_default();
        waits.total_ms.add(waited.0 as f64, now, WAIT_HALF_LIFE);
        waits.count.add(1.0, now, WAIT_HALF_LIFE);
    }

    /// The mean recent wait of `account`, in milliseconds; zero without recent waits.
    pub(super) fn mean_ms(
        &self,
        account: AccountId,
        now: Millis,
    ) -> f64 {
        self.waits.get(&account).map_or(0.0, |waits| {
            // Counts one extra zero wait, so that a single wait does not dominate the mean.
            waits.total_ms.get(now, WAIT_HALF_LIFE) / (waits.count.get(now, WAIT_HALF_LIFE) + 1.0)
        })
    }
}
