use {
    super::{
        Priority, Waiting,
        account_line::AccountLine,
        pool::{Pool, PoolState},
    },
    crate::clock::Millis,
    std::collections::BTreeMap,
};

/// Estimated wait, in percent of the time to the deadline, above which a waiting request is dropped.
const SURE_PERCENT: u64 = 150;

/// Estimates the wait of a new request; `None` while the service rate is unknown.
pub fn wait_of_new(
    line: &AccountLine,
    pool: Pool,
    state: &PoolState,
    priority: Priority,
    now: Millis,
) -> Option<Millis> {
    let before = line.backlog(pool).cost_before(priority);
    time_to_serve(line, pool, state, before, now)
}

/// Estimates the time until one request of the account is served.
pub fn wait_for_one(
    line: &AccountLine,
    pool: Pool,
    state: &PoolState,
    now: Millis,
) -> Option<Millis> {
    let backlog = line.backlog(pool);
    let mean = backlog.cost() / (backlog.len as u64).max(1);
    time_to_serve(line, pool, state, mean, now)
}

/// Finds an account's requests that are expected to miss their deadlines.
pub fn hopeless(
    line: &AccountLine,
    pools: &BTreeMap<Pool, PoolState>,
    now: Millis,
) -> Vec<Waiting> {
    let mut before: BTreeMap<Pool, u64> = BTreeMap::new();
    let mut hopeless = Vec::new();
    for waiting in line.in_order() {
        let pool = Pool::of(waiting.target);
        let cost = before.entry(pool).or_default();
        let left = waiting.deadline.since(now);
        let wait = pools
            .get(&pool)
            .and_then(|state| time_to_serve(line, pool, state, *cost, now));
        if wait.is_some_and(|wait| wait.0 * 100 > left.0 * SURE_PERCENT) {
            hopeless.push(waiting);
        } else {
            *cost += waiting.cost;
        }
    }
    hopeless
}

fn time_to_serve(
    line: &AccountLine,
    pool: Pool,
    state: &PoolState,
    cost: u64,
    now: Millis,
) -> Option<Millis> {
    if cost == 0 {
        return None;
    }
    let rate = state.rate.per_millisecond(now)?;
    let own = line.weight();
    let joining = if line.backlog(pool).len == 0 { own } else { 0 };
    let part = own as f64 / (state.active_weight + joining) as f64;
    let wait = cost as f64 / (rate * part).max(f64::MIN_POSITIVE);
    Some(Millis(wait as u64))
}
