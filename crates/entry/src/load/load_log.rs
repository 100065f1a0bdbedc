use {
    super::{AskEnd, WorkPart},
    crate::{context::Context, scheduling::SchedulerNode},
    jasmine_core::clock::Millis,
    jasmine_telemetry::log::Line,
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// How often a VM's load is logged.
const LOG_INTERVAL: Millis = Millis(1_000);
/// A VM whose work has taken less time within that interval, and that was not late, logs nothing.
///
/// The work is that of the measured parts: on some systems the process's own clock shows elapsed time.
const MIN_LOGGED: Duration = Duration::from_millis(20);
/// Tasks that ran later than this are logged even so.
const MIN_LOGGED_DELAY: Millis = Millis(50);

/// The counts since the start that a line tells the differences of.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    process: Duration,
    thread: Duration,
    parts: [Duration; WorkPart::ALL.len()],
    assigned: u64,
    refused: u64,
    lost: u64,
    given_up: u64,
    repeated: u64,
    answered_here: u64,
}

impl Totals {
    fn read(scheduling: &SchedulerNode) -> Self {
        let meter = &scheduling.local_scheduler.work;
        let asks = &scheduling.asks;
        Self {
            process: meter.process_time(),
            thread: meter.thread_time(),
            parts: WorkPart::ALL.map(|part| meter.spent(part)),
            assigned: asks.ended(AskEnd::Assigned),
            refused: asks.ended(AskEnd::Refused),
            lost: asks.ended(AskEnd::Lost),
            given_up: asks.ended(AskEnd::GivenUp),
            repeated: asks.repeated(),
            answered_here: asks.answered_here(),
        }
    }

    /// The time of all measured parts.
    fn work(&self) -> Duration {
        self.parts.iter().sum()
    }
}

/// Logs what this VM's processor time went to, once a second while it is busy or late; never returns.
pub async fn log_load(cx: Rc<Context>) {
    let scheduling = &cx.scheduling;
    let mut before = Totals::read(scheduling);
    loop {
        sleep(LOG_INTERVAL.to_std()).await;
        let now = Totals::read(scheduling);
        let late = cx.end_delay_interval();
        let longest_ask = scheduling.asks.take_longest();
        let work = now.work().saturating_sub(before.work());
        if work >= MIN_LOGGED || late >= MIN_LOGGED_DELAY {
            log_line(&cx, &before, &now, late, longest_ask);
        }
        before = now;
    }
}

fn log_line(
    cx: &Context,
    before: &Totals,
    now: &Totals,
    late: Millis,
    longest_ask: Millis,
) {
    let scheduler = &cx.scheduling.local_scheduler;
    let ms = |now: Duration, before: Duration| now.saturating_sub(before).as_millis();
    let process = ms(now.process, before.process);
    let thread = ms(now.thread, before.thread);
    let mut line = Line::new("vm_load")
        .with("leads", cx.scheduling.is_leading())
        .with("cpu_ms", process)
        .with("logs_ms", process.saturating_sub(thread));
    for (at, part) in WorkPart::ALL.into_iter().enumerate() {
        let spent = ms(now.parts[at], before.parts[at]);
        line = line.with(&format!("{}_ms", part.as_str()), spent);
    }
    let (waiting, running) = scheduler.load();
    let ages = scheduler.waiting_ages();
    line.with("late_ms", late)
        .with("waiting", waiting)
        .with("running", running)
        .with("oldest_call_ms", ages.call)
        .with("oldest_generation_ms", ages.generation)
        .with(
            "asked",
            now.assigned + now.refused - before.assigned - before.refused,
        )
        .with("asks_refused", now.refused - before.refused)
        .with("asks_lost", now.lost - before.lost)
        .with("asks_given_up", now.given_up - before.given_up)
        .with("asked_again", now.repeated - before.repeated)
        .with("refused_here", now.answered_here - before.answered_here)
        .with("longest_ask_ms", longest_ask)
        .info();
}
