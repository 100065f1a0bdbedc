//! The machine's state. What it is told, what it answers, whom it takes in and what it decides are files of their own.

use {
    super::{
        RightsShare, SchedulerSettings, Ticket, WaitTimes, fleet::Fleet, loads::ModelLoads,
        repeat_budget::RepeatBudget, report_line::ReportLine, rights::AccountRates, running::Entry,
        version_book::VersionBook,
    },
    crate::{
        clock::Millis,
        ids::{AdapterId, RequestId, ServiceId},
        queue::{FairQueue, QueueSettings},
    },
    std::collections::{BTreeSet, HashMap},
};

mod admission;
mod commands;
mod decisions;
mod queries;

/// How long after its deadline a request is forgotten whose VM never told its end.
const FORGET_AFTER: Millis = Millis(1_000);
/// The shortest time after which a refused caller is told to come back.
const LEAST_RETRY: Millis = Millis(100);

/// The scheduler of one deployment, or the stand-by of one VM.
#[derive(Debug)]
pub struct Scheduler {
    settings: SchedulerSettings,
    may_order: bool,
    /// From when on adapters may be dropped.
    evicts_from: Millis,
    fleet: Fleet,
    versions: VersionBook,
    rates: AccountRates,
    repeats: HashMap<ServiceId, RepeatBudget>,
    /// When this scheduler has taken over from another one.
    taken_over_at: Option<Millis>,
    queue: FairQueue,
    entries: HashMap<RequestId, Entry>,
    by_ticket: HashMap<Ticket, RequestId>,
    /// Waiting requests by adapter.
    wanted: HashMap<AdapterId, u32>,
    /// Work that waits, by service: tokens of prompts, or calls.
    waiting: HashMap<ServiceId, f64>,
    /// Waiting requests that can still be on time, with until when.
    timely: BTreeSet<(Millis, RequestId)>,
    model_loads: ModelLoads,
    engines_looked_at: Millis,
    reports: ReportLine,
    /// Changes whenever all waiting requests are to be looked at again.
    look_epoch: u64,
    /// From when on that may happen again.
    next_epoch: Millis,
    /// From when on waiting requests are passed over again.
    next_pass: Millis,
    next_request: u64,
    swept_at: Millis,
    /// How often a waiting request was looked at.
    looked: u64,
    /// How long requests that don't wait any more did, by reason.
    waits: WaitTimes,
}

impl Scheduler {
    /// A stand-by with a share of the rights, which gives no orders.
    pub fn new(
        settings: SchedulerSettings,
        share: RightsShare,
    ) -> Self {
        Self {
            settings,
            may_order: false,
            evicts_from: Millis::ZERO,
            fleet: Fleet::default(),
            versions: VersionBook::default(),
            rates: AccountRates::new(share),
            repeats: HashMap::new(),
            taken_over_at: None,
            queue: FairQueue::new(QueueSettings {
                judges_by_rate: false,
                ..QueueSettings::default()
            }),
            entries: HashMap::new(),
            by_ticket: HashMap::new(),
            wanted: HashMap::new(),
            waiting: HashMap::new(),
            timely: BTreeSet::new(),
            model_loads: ModelLoads::default(),
            engines_looked_at: Millis::ZERO,
            reports: ReportLine::default(),
            look_epoch: 0,
            next_epoch: Millis::ZERO,
            next_pass: Millis::ZERO,
            next_request: 0,
            swept_at: Millis::ZERO,
            looked: 0,
            waits: WaitTimes::default(),
        }
    }
}
