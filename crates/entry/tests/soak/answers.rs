//! Each whole request gets a complete answer or a refusal, unless a break excuses it.

use {
    super::{
        breaks::{Break, Failure, NOTE_DELAY},
        callers::{CallResult, Place, Record},
        cluster::Cluster,
        configuration::DEADLINE,
        fault::VMS,
        vm_log::{VmLog, field},
    },
    jasmine_platform_stand_in::{CRASH_TIME, EngineStandIn},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        time::Duration,
    },
};

const BAD_GATEWAY: u16 = 502;
/// Most violations that are reported of a cause.
const MAX_REPORTED: usize = 5;

/// How a request ended.
enum End {
    /// With a complete answer or a refusal.
    Answered,
    /// Otherwise, but this excuses it.
    Excused(&'static str),
    /// Otherwise, for this cause.
    Unexplained(String),
}

/// What the logs say about a request.
struct Trace<'a> {
    /// The lines of the VM that it was sent to.
    lines: &'a [String],
}

/// What VMs and upstreams have seen of requests.
struct Evidence<'a> {
    cluster: &'a Cluster,
    logs: &'a [VmLog],
    /// The requests that reached upstreams.
    arrived: HashSet<String>,
    /// Of each upstream, the requests of which its answer has failed.
    failed: HashMap<String, HashSet<(String, Failure)>>,
}

impl<'a> Trace<'a> {
    fn all(
        &self,
        event: &str,
    ) -> impl DoubleEndedIterator<Item = &'a str> {
        let lines = self.lines.iter().map(String::as_str);
        lines.filter(move |line| field(line, "event") == Some(event))
    }

    fn last(
        &self,
        event: &str,
    ) -> Option<&'a str> {
        self.all(event).next_back()
    }

    /// How its attempts failed, in their order.
    fn outcomes(&self) -> Vec<&'a str> {
        let outcomes = self.all("attempt_failed");
        outcomes.filter_map(|line| field(line, "outcome")).collect()
    }
}

pub fn check_answers(
    cluster: &Cluster,
    logs: &[VmLog],
    records: &[Record],
) -> Vec<String> {
    let evidence = Evidence {
        cluster,
        logs,
        arrived: cluster.arrived_ids(),
        failed: cluster.failed_answers(),
    };
    let mut excused: BTreeMap<&str, usize> = BTreeMap::new();
    let mut unexplained: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for record in records {
        match evidence.end_of(record) {
            End::Answered => {}
            End::Excused(cause) => *excused.entry(cause).or_default() += 1,
            End::Unexplained(cause) => {
                let text = describe(cluster, &cause, record, logs[record.vm].of(&record.id));
                unexplained.entry(cause).or_default().push(text);
            }
        }
    }
    println!("without an answer, excused: {excused:?}");
    let counts: BTreeMap<&str, usize> = unexplained
        .iter()
        .map(|(cause, of)| (cause.as_str(), of.len()))
        .collect();
    println!("without an answer, unexplained: {counts:?}");
    let panics = logs.iter().flat_map(|log| log.panics.iter().cloned());
    let unexplained = unexplained.into_values();
    let reported = unexplained.flat_map(|of| of.into_iter().take(MAX_REPORTED));
    let ended = cluster.own_ends.iter().cloned();
    panics.chain(ended).chain(reported).collect()
}

impl Evidence<'_> {
    fn end_of(
        &self,
        record: &Record,
    ) -> End {
        // A 502 says neither what came of the request nor that it didn't run.
        if let CallResult::Response(response) = &record.result
            && response.is_complete
            && response.status != BAD_GATEWAY
        {
            return End::Answered;
        }
        let breaks = &self.cluster.breaks;
        let overlap = |what| breaks.overlap(&what, record.sent, record.ended);
        let vm = record.vm;
        if overlap(Break::Process(vm)) {
            return End::Excused("the VM was killed, suspended, down or beyond its stop limit");
        }
        let connections = Break::CallerConnections(vm);
        if overlap(Break::CallerLink(vm))
            || breaks.overlap(&connections, record.connected, record.ended)
        {
            return End::Excused("the link of the callers was faulty");
        }
        let trace = Trace {
            lines: self.logs[vm].of(&record.id),
        };
        let is_read = self.arrived.contains(&record.id)
            || self.logs.iter().any(|log| !log.of(&record.id).is_empty());
        let is_closing = breaks.overlap(&Break::Closing(vm), record.ended, record.ended);
        match record.place {
            _ if is_read => self.end_of_read(record, &trace),
            Place::Behind {
                is_first_answered: false,
            } => End::Excused("the answer before it is incomplete"),
            Place::Reused(_) if is_closing => {
                End::Excused("a planned stop closed its connection unread")
            }
            place => End::Unexplained(format!("its connection was closed unread, {}", name(place))),
        }
    }

    /// How a request ended that a VM has read.
    fn end_of_read(
        &self,
        record: &Record,
        trace: &Trace<'_>,
    ) -> End {
        let lasted = record.ended.duration_since(record.sent);
        let is_expired = lasted + NOTE_DELAY >= self.time_limit(record, trace);
        if is_expired && record.has_response() {
            return End::Excused("its deadline passed");
        }
        let failed: Vec<&str> = trace.all("attempt_failed").collect();
        let (excuse, earlier) = match failed.split_last() {
            Some((last, earlier)) => (self.excuse(record, trace, last), earlier),
            None => (None, [].as_slice()),
        };
        let of_others = self.logs.iter().flat_map(|log| log.of(&record.id));
        let has_given_up_sound = earlier
            .iter()
            .any(|line| !self.has_failed_itself(record, trace, line))
            || of_others
                .filter(|line| field(line, "outcome") == Some("Silent"))
                .any(|line| !self.has_hung(record, line));
        match excuse {
            Some(excuse) if !has_given_up_sound => End::Excused(excuse),
            _ => End::Unexplained(cause(trace)),
        }
    }

    /// Why an attempt failed without the VM's doing; none if its upstream may have been sound.
    fn excuse(
        &self,
        record: &Record,
        trace: &Trace<'_>,
        failed: &str,
    ) -> Option<&'static str> {
        let upstream = field(failed, "upstream");
        let is_broken = upstream.is_some_and(|upstream| self.has_broken_off(record, upstream));
        let are_links_reset = self.cluster.breaks.overlap(
            &Break::UpstreamLinks(record.vm),
            record.sent,
            record.ended,
        );
        match field(failed, "outcome") {
            Some("Lost" | "Unreachable" | "Abandoned") if is_broken => {
                Some("its upstream broke off")
            }
            Some("Lost" | "Unreachable" | "Abandoned") if are_links_reset => {
                Some("the links of its VM were reset")
            }
            Some("Abandoned") if self.is_relay_broken(record, trace) => {
                Some("a VM broke off that relayed it")
            }
            Some("Abandoned") if self.is_withdrawn(record) => {
                Some("it was withdrawn, as its adapter is an older version")
            }
            _ => None,
        }
    }

    /// Whether the upstream of a failed attempt would have given no answer either way.
    fn has_failed_itself(
        &self,
        record: &Record,
        trace: &Trace<'_>,
        failed: &str,
    ) -> bool {
        has_answered(failed)
            || self.has_hung(record, failed)
            || self.excuse(record, trace, failed).is_some()
    }

    /// Whether the upstream of a failed attempt hung and would never have gone on.
    fn has_hung(
        &self,
        record: &Record,
        failed: &str,
    ) -> bool {
        let hung = (record.id.clone(), Failure::Hung);
        let of_upstream = field(failed, "upstream").and_then(|id| self.failed.get(id));
        of_upstream.is_some_and(|answers| answers.contains(&hung))
    }

    /// The time that a request has at the VM that has read it.
    fn time_limit(
        &self,
        record: &Record,
        trace: &Trace<'_>,
    ) -> Duration {
        let versions = trace.lines.iter().filter_map(|line| field(line, "config"));
        let version = versions
            .filter_map(|version| version.parse().ok())
            .next_back();
        let mut published = self.cluster.published.iter();
        let published = published.find(|published| Some(published.version) == version);
        published.map_or(DEADLINE, |published| published.time_limit(record.target))
    }

    /// Whether an upstream has broken off the answer to a request.
    fn has_broken_off(
        &self,
        record: &Record,
        upstream: &str,
    ) -> bool {
        let broken_off = (record.id.clone(), Failure::BrokenOff);
        let failed = self.failed.get(upstream);
        let link = Break::UpstreamLink(upstream.to_owned());
        let mut engines = self.cluster.crash_engines.iter();
        let engine = engines.find(|engine| engine.key() == format!("servers/{upstream}"));
        let mut crashes = engine.into_iter().flat_map(EngineStandIn::crashes);
        failed.is_some_and(|answers| answers.contains(&broken_off))
            || self
                .cluster
                .breaks
                .overlap(&link, record.sent, record.ended)
            || crashes.any(|crash| {
                crash.at <= record.ended && crash.at + CRASH_TIME + NOTE_DELAY >= record.sent
            })
    }

    /// Whether a request was withdrawn, here or by the VM that relayed it, as it would begin on an older adapter version.
    fn is_withdrawn(
        &self,
        record: &Record,
    ) -> bool {
        let mut lines = self.logs.iter().flat_map(|log| log.of(&record.id));
        lines.any(|line| {
            let event = field(line, "event");
            matches!(event, Some("older_version_withdrawn" | "relayed_withdrawn"))
        })
    }

    /// Whether another VM has broken off a request that it relayed. One that is killed leaves no line about it.
    fn is_relay_broken(
        &self,
        record: &Record,
        trace: &Trace<'_>,
    ) -> bool {
        let breaks = &self.cluster.breaks;
        let is_relayed = trace.last("request_relayed").is_some();
        let just_before = record.ended.checked_sub(NOTE_DELAY);
        let just_before = just_before.unwrap_or(record.ended);
        let mut others = (0..VMS).filter(|&vm| vm != record.vm);
        others.any(|vm| {
            let process = Break::Process(vm);
            let kept = [Break::Closing(vm), Break::UpstreamLinks(vm)];
            let overlaps = |what: &Break| breaks.overlap(what, record.sent, record.ended);
            let is_disturbed = overlaps(&process) || kept.iter().any(overlaps);
            breaks.begins(&process, just_before, record.ended) || is_relayed && is_disturbed
        })
    }
}

const fn name(place: Place) -> &'static str {
    match place {
        Place::First => "the first on it",
        Place::Reused(_) => "on an idle one",
        Place::Behind { .. } => "behind one that was answered",
    }
}

/// Whether the upstream of a failed attempt has answered that it failed or didn't run the request.
fn has_answered(failed: &str) -> bool {
    let outcome = field(failed, "outcome");
    matches!(
        outcome,
        Some("Failed" | "Shed" | "NotLoaded" | "OtherUpstream")
    )
}

/// The cause in the words of the VM's log.
fn cause(trace: &Trace<'_>) -> String {
    let incomplete = trace.last("answer_incomplete");
    let reason = incomplete.and_then(|line| field(line, "reason"));
    let given_up = trace.last("request_given_up");
    let kind = given_up.and_then(|line| field(line, "kind"));
    let outcomes = trace.outcomes();
    format!(
        "reason {}, outcomes {}, given up as {}",
        reason.unwrap_or("-"),
        outcomes.join(" "),
        kind.unwrap_or("-")
    )
}

fn describe(
    cluster: &Cluster,
    cause: &str,
    record: &Record,
    lines: &[String],
) -> String {
    let idle = match record.place {
        Place::Reused(idle) => idle,
        Place::First | Place::Behind { .. } => Duration::ZERO,
    };
    let result = match &record.result {
        CallResult::NoResponse => "no response".to_owned(),
        CallResult::Response(response) => format!(
            "status {}, {} events, complete {}",
            response.status,
            response.events().len(),
            response.is_complete
        ),
    };
    format!(
        "{} {} at VM {}, sent at {:?}, idle for {idle:?}, {result} after {:?}: {cause}\n    {}",
        record.id,
        record.target,
        record.vm,
        cluster.age_of(record.sent),
        record.ended.duration_since(record.sent),
        lines.join("\n    ")
    )
}
