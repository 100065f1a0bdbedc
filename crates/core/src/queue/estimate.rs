use {
    super::{
        Priority, QueuedRequest,
        account_queue::AccountQueue,
        pool::{Pool, PoolState},
    },
    crate::clock::Millis,
    std::collections::BTreeMap,
};

/// Estimated wait above which a request is dropped, in percent of the time to its deadline.
///
/// Above 100 because the estimate is rough.
const MAX_WAIT_PERCENT: u64 = 150;

/// Estimates the wait of a new request; `None` while the service rate is unknown.
pub fn new_request_wait(
    account_queue: &AccountQueue,
    pool: Pool,
    state: &PoolState,
    priority: Priority,
    now: Millis,
) -> Option<Millis> {
    let cost_ahead = account_queue.backlog(pool).cost_before(priority);
    time_to_serve(account_queue, pool, state, cost_ahead, now)
}

/// Estimates the time until one request of the account is served.
pub fn one_request_wait(
    account_queue: &AccountQueue,
    pool: Pool,
    state: &PoolState,
    now: Millis,
) -> Option<Millis> {
    let backlog = account_queue.backlog(pool);
    let mean = backlog.cost() / (backlog.len as u64).max(1);
    time_to_serve(account_queue, pool, state, mean, now)
}

/// Finds an account's requests that are expected to miss their deadlines.
pub fn late_requests(
    account_queue: &AccountQueue,
    pools: &BTreeMap<Pool, PoolState>,
    now: Millis,
) -> Vec<QueuedRequest> {
    let mut cost_ahead: BTreeMap<Pool, u64> = BTreeMap::new();
    let mut late_requests = Vec::new();
    for waiting in account_queue.in_order() {
        let pool = Pool::for_target(waiting.target);
        let cost = cost_ahead.entry(pool).or_default();
        let left = waiting.deadline.since(now);
        let wait = pools
            .get(&pool)
            .and_then(|state| time_to_serve(account_queue, pool, state, *cost, now));
        if wait.is_some_and(|wait| wait.0 * 100 > left.0 * MAX_WAIT_PERCENT) {
            late_requests.push(waiting);
        } else {
            *cost += waiting.cost;
        }
    }
    late_requests
}

fn time_to_serve(
    account_queue: &AccountQueue,
    pool: Pool,
    state: &PoolState,
    cost: u64,
    now: Millis,
) -> Option<Millis> {
    if cost == 0 {
        return None;
    }
    let rate = state.rate.per_millisecond(now)?;
    let own = account_queue.weight();
    let joining = if account_queue.backlog(pool).len == 0 {
        own
    } else {
        0
    };
    let part = own as f64 / (state.active_weight + joining) as f64;
    let wait = cost as f64 / (rate * part).max(f64::MIN_POSITIVE);
    Some(Millis(wait as u64))
}
