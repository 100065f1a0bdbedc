//! State of the scheduler; its events, admission checks, decisions and queries are in the
//! submodules.

use {
    super::{
        AttemptId, PlannedLoad, RateShare, RetryRecord, RetryTotals, SchedulerSettings, WaitTimes,
        account_rates::AccountRates, announced_versions::AnnouncedVersions, fleet::Fleet,
        loads::ModelLoads, members::Members, queued_adapters::QueuedAdapters,
        report_queue::ReportQueue, retry_budget::RetryBudget, running::TrackedRequest,
    },
    crate::{
        IdMap,
        adapter_demand::{AdapterDemand, LoadUsefulness},
        ask_shares::AskController,
        clock::Millis,
        ids::{RequestId, ServiceId},
        overload::{OverloadControl, ShedRecord, UrgencyQueue},
        quarantine::PartQuarantine,
        queue::QueueSettings,
        return_times::ReturnSchedule,
    },
    std::collections::{BTreeSet, HashMap, HashSet},
};

mod admission;
mod availability;
mod copies;
mod costs;
mod decisions;
mod events;
mod quarantine;
mod queries;
mod retries;
mod returns;
mod shedding;

/// How long after its deadline a request is dropped if its VM has not reported its end.
const ORPHAN_TIMEOUT: Millis = Millis(1_000);
/// Lower bound of the retry time in refusals.
const MIN_RETRY_AFTER: Millis = Millis(100);

/// The scheduler of one deployment, or the standby of one VM.
///
/// A standby decides with a part of the account rates and sends no orders to engines.
#[derive(Debug)]
pub struct Scheduler {
    settings: SchedulerSettings,
    /// Whether this scheduler may send orders to engines.
    can_order: bool,
    /// Adapters may be evicted from this time on.
    evictions_allowed_at: Millis,
    fleet: Fleet,
    versions: AnnouncedVersions,
    rates: AccountRates,
    /// Which share of the requests of other VMs' callers this scheduler wants to be asked about.
    asks: AskController,
    members: Members,
    retry_budgets: IdMap<ServiceId, RetryBudget>,
    /// Decisions about retries that were not logged yet; bounded.
    retry_records: Vec<RetryRecord>,
    retry_totals: RetryTotals,
    /// When this scheduler took over from another one, if it did.
    taken_over_at: Option<Millis>,
    /// The VMs that have told their attempts of before the takeover, by hashes of their names, and for which part of the
    /// window each has counted, from 0 to 1.
    told_history: HashMap<u64, f64>,
    /// The VMs that have told what they learned of costs, by hashes of their names.
    told_costs: HashSet<u64>,
    /// Since when attempts of this VM's own callers are counted.
    counting_since: Option<Millis>,
    quarantine: PartQuarantine,
    /// Whether evidence has come since the last review of the quarantine.
    is_evidence_new: bool,
    /// Whether another VM decides.
    is_following: bool,
    queue: UrgencyQueue,
    overload: OverloadControl,
    returns: ReturnSchedule,
    /// Refusals by urgency that were not logged yet; bounded.
    shed_records: Vec<ShedRecord>,
    entries: IdMap<RequestId, TrackedRequest>,
    by_attempt_id: IdMap<AttemptId, RequestId>,
    /// Queued requests by adapter.
    queued_adapters: QueuedAdapters,
    /// Queued work by service, in prompt tokens or calls.
    queued_work: IdMap<ServiceId, f64>,
    /// Queued requests that can still be on time, by the latest time to send them.
    on_time: BTreeSet<(Millis, RequestId)>,
    /// VMs that upstreams have asked for rest since the last decision.
    rested_vms: BTreeSet<u32>,
    /// Number of queued calls of plain services.
    queued_calls: usize,
    /// Number of queued requests that resume a stream.
    queued_resumptions: usize,
    /// Earliest time of the next check whether an upstream can still serve them.
    next_resumption_check_at: Millis,
    /// When the next evacuation takes effect.
    next_evacuation_at: Option<Millis>,
    model_loads: ModelLoads,
    /// Demand for adapters where copies are planned by it.
    demand: AdapterDemand,
    usefulness: LoadUsefulness,
    copies_planned_at: Millis,
    /// Loads ahead of demand that were not yet logged.
    planned_loads: Vec<PlannedLoad>,
    engines_checked_at: Millis,
    reports: ReportQueue,
    /// Incremented when all queued requests are to be evaluated again.
    evaluation_epoch: u64,
    /// Earliest time of the next increment of `evaluation_epoch`.
    next_epoch_at: Millis,
    /// Earliest time of the next dispatch pass over the queue.
    next_pass_at: Millis,
    next_request: u64,
    /// Last removal of requests whose VM has not reported their end.
    swept_at: Millis,
    /// How many queued requests passes have scanned so far, each one as often as it was.
    scanned: u64,
    /// Number of evaluations of queued requests so far.
    evaluations: u64,
    /// Total waiting time of requests that have left the queue, by reason.
    waits: WaitTimes,
}

impl Scheduler {
    /// Creates a standby with `share` of the account rates, which sends no orders.
    pub fn new(
        settings: SchedulerSettings,
        share: RateShare,
    ) -> Self {
        Self {
            settings,
            can_order: false,
            evictions_allowed_at: Millis::ZERO,
            fleet: Fleet::new(&settings),
            versions: AnnouncedVersions::default(),
            rates: AccountRates::new(share),
            asks: AskController::default(),
            members: Members::default(),
            retry_budgets: IdMap::default(),
            retry_records: Vec::new(),
            retry_totals: RetryTotals::default(),
            taken_over_at: None,
            told_history: HashMap::new(),
            told_costs: HashSet::new(),
            counting_since: None,
            quarantine: PartQuarantine::default(),
            is_evidence_new: false,
            is_following: false,
            queue: UrgencyQueue::new(QueueSettings {
                refuses_by_estimate: false,
                ..QueueSettings::default()
            }),
            overload: OverloadControl::default(),
            returns: ReturnSchedule::default(),
            shed_records: Vec::new(),
            entries: IdMap::default(),
            by_attempt_id: IdMap::default(),
            queued_adapters: QueuedAdapters::default(),
            queued_work: IdMap::default(),
            on_time: BTreeSet::new(),
            rested_vms: BTreeSet::new(),
            queued_calls: 0,
            queued_resumptions: 0,
            next_resumption_check_at: Millis::ZERO,
            next_evacuation_at: None,
            model_loads: ModelLoads::default(),
            demand: AdapterDemand::default(),
            usefulness: LoadUsefulness::default(),
            copies_planned_at: Millis::ZERO,
            planned_loads: Vec::new(),
            engines_checked_at: Millis::ZERO,
            reports: ReportQueue::default(),
            evaluation_epoch: 0,
            next_epoch_at: Millis::ZERO,
            next_pass_at: Millis::ZERO,
            next_request: 0,
            swept_at: Millis::ZERO,
            scanned: 0,
            evaluations: 0,
            waits: WaitTimes::default(),
        }
    }
}
