use {
    super::account_load::AccountLoad,
    crate::{clock::Millis, decaying_sum::DecayingSum, ids::AccountId},
    std::collections::HashMap,
};

/// Accounts counted on their own in each class; bounds the memory and the time of a decision.
const MAX_ACCOUNTS: usize = 512;
/// The account under which the work of all further ones is counted.
const FURTHER_ACCOUNTS: AccountId = AccountId(u32::MAX - 1);
/// Half-life of the usual arrivals, several bursts long.
const USUAL_HALF_LIFE: Millis = Millis(10_000);
/// Steps in which the wait of a request is computed from the arrivals during that wait.
const WAIT_STEPS: usize = 4;

/// The load of one class of a service.
#[derive(Clone, Debug, Default)]
pub struct ClassLoad {
    /// The class as a whole.
    pub total: AccountLoad,
    usual: DecayingSum,
    accounts: HashMap<AccountId, AccountLoad>,
}

impl ClassLoad {
    /// The account under which the work of `account` is counted.
    pub fn counted_account(
        &mut self,
        account: AccountId,
        now: Millis,
    ) -> AccountId {
        if self.accounts.contains_key(&account) || self.accounts.len() < MAX_ACCOUNTS {
            return account;
        }
        self.accounts.retain(|_, load| !load.is_idle(now));
        if self.accounts.len() < MAX_ACCOUNTS {
            account
        } else {
            FURTHER_ACCOUNTS
        }
    }

    /// Adds queued work, or removes it if `work` is negative.
    pub fn add(
        &mut self,
        account: AccountId,
        work: f64,
        is_late: bool,
    ) {
        self.total.add(work, is_late);
        self.accounts.entry(account).or_default().add(work, is_late);
    }

    /// Records work that was admitted.
    pub fn note_arrival(
        &mut self,
        account: AccountId,
        work: f64,
        is_late: bool,
        now: Millis,
    ) {
        self.total.note_arrival(work, is_late, now);
        self.usual.add(work, now, USUAL_HALF_LIFE);
        let load = self.accounts.entry(account).or_default();
        load.note_arrival(work, is_late, now);
    }

    /// The work ahead of a request that can be on time, and its wait at `capacity` per millisecond.
    ///
    /// Other accounts are served in turn with its own: each counts with what it has queued and what
    /// will arrive, but with no more than the request's own account gets until then.
    pub fn on_time_wait(
        &self,
        account: AccountId,
        work: f64,
        ahead: f64,
        capacity: f64,
        now: Millis,
    ) -> (f64, f64) {
        let own = self.of(account).on_time;
        let others = self.others(account).map(|load| Competitor {
            queued: load.on_time,
            arrivals: load.on_time_arrivals(now),
        });
        fair_wait(own, work, ahead, capacity, &others.collect::<Vec<_>>())
    }

    /// The same for a request that can no longer be on time.
    pub fn late_wait(
        &self,
        account: AccountId,
        work: f64,
        ahead: f64,
        capacity: f64,
    ) -> (f64, f64) {
        let own = self.of(account).late;
        let others = self.others(account).map(|load| Competitor {
            queued: load.late,
            arrivals: 0.0,
        });
        let ahead = ahead + self.total.on_time;
        fair_wait(own, work, ahead, capacity, &others.collect::<Vec<_>>())
    }

    /// Admitted work per millisecond as usual, which a burst of a second changes little.
    pub fn usual_arrivals(
        &self,
        now: Millis,
    ) -> f64 {
        self.usual.get(now, USUAL_HALF_LIFE) * std::f64::consts::LN_2 / USUAL_HALF_LIFE.0 as f64
    }

    fn of(
        &self,
        account: AccountId,
    ) -> AccountLoad {
        self.accounts.get(&account).copied().unwrap_or_default()
    }

    fn others(
        &self,
        account: AccountId,
    ) -> impl Iterator<Item = &AccountLoad> {
        let others = self.accounts.iter().filter(move |&(&id, _)| id != account);
        others.map(|(_, load)| load)
    }
}

/// Another account of the class.
struct Competitor {
    queued: f64,
    arrivals: f64,
}

/// The work served before a request of `work`, and how long that takes.
fn fair_wait(
    own: f64,
    work: f64,
    ahead: f64,
    capacity: f64,
    others: &[Competitor],
) -> (f64, f64) {
    let own_part = own + work;
    let mut total = ahead + own;
    let mut wait = 0.0;
    for _ in 0..WAIT_STEPS {
        let others = others
            .iter()
            .map(|other| (other.queued + other.arrivals * wait).min(own_part));
        total = ahead + own + others.sum::<f64>();
        if total <= 0.0 {
            return (0.0, 0.0);
        }
        wait = total / capacity.max(f64::MIN_POSITIVE);
    }
    (total, wait)
}
