//! Each request gets a complete answer or a refusal, unless each of its upstreams failed by itself or its time is over.
//!
//! What upstreams did is known from the stand-ins alone: logs of other versions have other lines.

use {
    super::{
        super::{
            callers::{CallResult, Record},
            vm_log::VmLog,
        },
        Site,
        cause_table::CauseTable,
        conduct::Conduct,
        outage::NOTE_DELAY,
        routes::Route,
    },
    std::{
        collections::{BTreeMap, HashMap},
        time::{Duration, Instant},
    },
};

/// How long an answer takes without its silence, at most.
const ANSWER_TIME: Duration = Duration::from_secs(1);
const BAD_GATEWAY: u16 = 502;
const GATEWAY_TIMEOUT: u16 = 504;

/// A request that reached an upstream.
#[derive(Clone, Copy, Debug)]
struct Reached {
    at: Instant,
    conduct: Conduct,
    /// Whether the conduct changed just then.
    is_unsure: bool,
}

/// How a request ended.
enum End {
    /// With a complete answer or a refusal, of this status.
    Answered(u16),
    Excused(&'static str),
    /// Without an excuse, for this cause.
    Unexplained(String),
}

pub fn check_answers(
    site: &Site,
    logs: &[VmLog],
    records: &[Record],
) -> Vec<String> {
    let reached = reached_upstreams(site);
    let mut statuses: BTreeMap<(&str, u16), usize> = BTreeMap::new();
    let mut table = CauseTable::default();
    for record in records {
        let reached = reached.get(&record.id).map_or(&[][..], Vec::as_slice);
        let is_read = !reached.is_empty() || logs.iter().any(|log| !log.of(&record.id).is_empty());
        match end_of(site, record, reached, is_read) {
            End::Answered(status) => {
                let name = Route::of(record.target).name;
                *statuses.entry((name, status)).or_default() += 1;
            }
            End::Excused(cause) => table.excuse(cause),
            End::Unexplained(cause) => {
                table.accuse(cause, describe(site, logs, record));
            }
        }
    }
    println!("answers: {statuses:?}");
    print!("requests without an answer:\n{table}");
    table.reported()
}

/// The upstreams that each request reached, in their order.
fn reached_upstreams(site: &Site) -> HashMap<String, Vec<Reached>> {
    let mut reached: HashMap<String, Vec<Reached>> = HashMap::new();
    for upstream in &site.upstreams {
        for arrival in upstream.arrivals() {
            let one = Reached {
                at: arrival.at,
                conduct: upstream.conduct_at(arrival.at),
                is_unsure: upstream.is_unsure_at(arrival.at),
            };
            reached.entry(arrival.request_id).or_default().push(one);
        }
    }
    for of_request in reached.values_mut() {
        of_request.sort_by_key(|one| one.at);
    }
    reached
}

fn end_of(
    site: &Site,
    record: &Record,
    reached: &[Reached],
    is_read: bool,
) -> End {
    let limit = Route::of(record.target).time_limit();
    let is_expired = record.ended.duration_since(record.sent) + NOTE_DELAY >= limit;
    let form = match &record.result {
        CallResult::NoResponse => "no response".to_owned(),
        CallResult::Response(response) if response.is_complete => {
            let status = response.status;
            let is_lost = match status {
                BAD_GATEWAY => true,
                GATEWAY_TIMEOUT => !is_expired,
                // A sound upstream would have answered in time.
                500..=599 => reached.iter().any(|one| one.is_in_time(record, limit)),
                _ => false,
            };
            if !is_lost {
                return End::Answered(status);
            }
            format!("status {status}")
        }
        CallResult::Response(_) => "closed".to_owned(),
    };
    let outages = &site.vms[record.vm].outages;
    let outage = outages
        .iter()
        .find_map(|outage| outage.excuse(record.ended, is_read));
    let has_response = matches!(record.result, CallResult::Response(_));
    match outage {
        Some(excuse) => End::Excused(excuse),
        None if is_expired && has_response && is_late(record, reached, limit) => {
            End::Excused("its time was over, though its upstreams were sound and quick")
        }
        None if is_expired && has_response => End::Excused("its time was over"),
        None if have_failed(reached) => End::Excused("each of its upstreams failed by itself"),
        None => {
            let route = Route::of(record.target).name;
            let conducts: Vec<String> = reached.iter().map(|one| one.conduct.to_string()).collect();
            let resumed = record.resumes.as_ref().map_or("", |_| ", taken up");
            let unread = if is_read { "" } else { ", unread" };
            let conducts = conducts.join(" > ");
            End::Unexplained(format!("{form}, {route}{resumed}{unread}, [{conducts}]"))
        }
    }
}

/// Whether only sound upstreams were reached, none of them silent, that would have answered in time.
fn is_late(
    record: &Record,
    reached: &[Reached],
    limit: Duration,
) -> bool {
    let mut reached = reached.iter();
    let is_quick = |one: &Reached| one.conduct == Conduct::Sound && one.is_in_time(record, limit);
    reached.len() > 0 && reached.all(is_quick)
}

/// Whether no upstream of a request was sound, and one broke off; one that hangs has its time until the deadline.
fn have_failed(reached: &[Reached]) -> bool {
    let no_sound = reached
        .iter()
        .all(|one| one.conduct.silence().is_none() || one.is_unsure);
    let breaks_off = reached
        .iter()
        .any(|one| one.conduct.breaks_off() || one.is_unsure);
    let last_hangs = reached
        .last()
        .is_some_and(|one| one.conduct == Conduct::Hangs && !one.is_unsure);
    no_sound && breaks_off && !last_hangs
}

impl Reached {
    /// Whether its upstream would have answered a request within its time.
    fn is_in_time(
        self,
        record: &Record,
        limit: Duration,
    ) -> bool {
        let silence = self.conduct.silence();
        let answered = silence.map(|silence| self.at + silence + ANSWER_TIME);
        !self.is_unsure && answered.is_some_and(|at| at < record.sent + limit)
    }
}

fn describe(
    site: &Site,
    logs: &[VmLog],
    record: &Record,
) -> String {
    let result = match &record.result {
        CallResult::NoResponse => "no response".to_owned(),
        CallResult::Response(response) => format!(
            "status {}, {} events, complete {}",
            response.status,
            response.events().len(),
            response.is_complete
        ),
    };
    let lines: Vec<&str> = logs
        .iter()
        .flat_map(|log| log.of(&record.id))
        .map(String::as_str)
        .collect();
    format!(
        "{} at VM {}, sent at {:?}, {:?}, resumes {:?}, {result} after {:?}\n    {}",
        record.id,
        record.vm,
        record.sent.saturating_duration_since(site.began),
        record.place,
        record.resumes,
        record.ended.duration_since(record.sent),
        lines.join("\n    ")
    )
}
