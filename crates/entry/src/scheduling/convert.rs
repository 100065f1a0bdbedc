//! Converts scheduling types to and from the Cap'n Proto messages between entry VMs.

use {
    super::{
        AskShareSpec, Assignment, CrashSpec, GenerationSpec, JobSpec, Leader, NewestSpec,
        PromiseSpec, RunningSpec, StatedSpec, ToldShareSpecs, Verdict,
    },
    crate::clock::Clock,
    capnp::{struct_list, text, text_list},
    jasmine_core::{
        ask_shares::AskKind,
        clock::Millis,
        error::{ErrorKind, Refusal},
        ids::{Fence, InvalidPartId, PartId},
        ingress::{PromptPart, PromptSize},
        load_reports::{HeardLoad, LoadReport, Pace},
        quarantine::{
            AttemptEvidence, PartSet, PromptEvidence, PromptReport, RequestEvidence, SoundReport,
        },
        scheduler::{
            AttemptCounts, Outcome, PastAttempts, SpentTokens, UpstreamSignals, WaitReason,
        },
    },
    jasmine_wire::scheduler_capnp::{
        EndKind, Evidence, account_use, ask_share, attempts, crash, job, leadership, load_report,
        news, promise, quarantined, rested, running_job, scheduler::ping_results, signals, sound,
        stated, verdict,
    },
    std::collections::BTreeMap,
};

/// Return times read from one VM at most.
const MAX_PROMISES: usize = 1_024;

/// A forwarded request's progress, as reported to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum JobUpdate {
    /// The first event of its answer was received.
    FirstEvent,
    /// It has ended, which shows something about its prompt.
    Ended(Outcome, AttemptEvidence),
}

/// A [`JobUpdate`] of one attempt, with what its upstream stated if a response has begun.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct AttemptUpdate {
    /// The attempt, by its number on the forwarding VM.
    pub number: u64,
    pub update: JobUpdate,
    pub signals: Option<UpstreamSignals>,
}

pub(super) fn write_job(
    mut to: job::Builder<'_>,
    spec: &JobSpec,
) {
    to.set_number(spec.number);
    to.set_account(spec.account.as_deref().unwrap_or_default());
    to.set_caller(spec.caller);
    to.set_cost(spec.cost);
    to.set_service(&spec.service);
    to.set_route(&spec.route);
    to.set_priority(spec.priority);
    to.set_route_priority(spec.route_priority);
    to.set_objective_ms(spec.objective.0 as u32);
    to.set_gap_objective_ms(spec.gap_objective.map_or(0, |gap| gap.0 as u32));
    to.set_deadline_ms(spec.deadline.0 as u32);
    to.set_attempt(spec.attempt);
    to.set_data_centre(&spec.data_centre);
    let mut excluded_upstreams = to
        .reborrow()
        .init_avoid(spec.excluded_upstreams.len() as u32);
    for (at, id) in spec.excluded_upstreams.iter().enumerate() {
        excluded_upstreams.set(at as u32, id);
    }
    let mut allowed_upstreams = to
        .reborrow()
        .init_allowed_upstreams(spec.allowed_upstreams.len() as u32);
    for (at, id) in spec.allowed_upstreams.iter().enumerate() {
        allowed_upstreams.set(at as u32, id);
    }
    let mut allowed = to
        .reborrow()
        .init_allowed_data_centres(spec.allowed_data_centres.len() as u32);
    for (at, name) in spec.allowed_data_centres.iter().enumerate() {
        allowed.set(at as u32, name);
    }
    to.set_build(spec.build.as_deref().unwrap_or_default());
    to.set_body_bytes(spec.body_bytes);
    to.set_has_begun(spec.has_begun);
    to.set_is_successor(spec.is_hedge);
    let Some(generation) = &spec.generation else {
        return;
    };
    to.set_model(&generation.model);
    to.set_adapter(generation.adapter.as_deref().unwrap_or_default());
    if let Some(newest) = generation.newest {
        to.set_version(newest.version);
        to.set_older_ms(newest.older_for.0 as u32);
    }
    to.set_prompt_tokens(generation.size.prompt);
    to.set_output_tokens(generation.size.output);
    to.set_length_hint(generation.length_hint.unwrap_or_default());
    let mut parts = to.init_parts(generation.parts.len() as u32);
    for (at, part) in generation.parts.iter().enumerate() {
        let mut to = parts.reborrow().get(at as u32);
        to.set_id(part.id);
        to.set_tokens(part.tokens);
    }
}

pub(super) fn read_job(from: job::Reader<'_>) -> Result<JobSpec, capnp::Error> {
    let model = from.get_model()?.to_str()?;
    let generation = match model {
        "" => None,
        model => Some(GenerationSpec {
            model: model.to_owned(),
            adapter: non_empty(from.get_adapter()?.to_str()?),
            newest: non_zero(from.get_version()).map(|version| NewestSpec {
                version,
                older_for: Millis(from.get_older_ms().into()),
            }),
            size: PromptSize {
                prompt: from.get_prompt_tokens(),
                output: from.get_output_tokens(),
            },
            length_hint: non_zero(from.get_length_hint()),
            parts: from
                .get_parts()?
                .iter()
                .map(|part| PromptPart {
                    id: part.get_id(),
                    tokens: part.get_tokens(),
                })
                .collect(),
        }),
    };
    Ok(JobSpec {
        number: from.get_number(),
        account: non_empty(from.get_account()?.to_str()?),
        caller: from.get_caller(),
        cost: from.get_cost(),
        service: from.get_service()?.to_string()?,
        route: from.get_route()?.to_string()?,
        generation,
        priority: from.get_priority(),
        route_priority: from.get_route_priority(),
        objective: Millis(from.get_objective_ms().into()),
        gap_objective: non_zero(from.get_gap_objective_ms()).map(|ms| Millis(ms.into())),
        deadline: Millis(from.get_deadline_ms().into()),
        attempt: from.get_attempt(),
        excluded_upstreams: read_texts(from.get_avoid()?)?,
        allowed_upstreams: read_texts(from.get_allowed_upstreams()?)?,
        data_centre: from.get_data_centre()?.to_string()?,
        allowed_data_centres: read_texts(from.get_allowed_data_centres()?)?,
        build: non_empty(from.get_build()?.to_str()?),
        body_bytes: from.get_body_bytes(),
        has_begun: from.get_has_begun(),
        is_hedge: from.get_is_successor(),
    })
}

pub(super) fn write_running(
    mut to: running_job::Builder<'_>,
    spec: &RunningSpec,
) {
    to.set_upstream(&spec.upstream);
    to.set_version(spec.version.unwrap_or_default());
    to.set_has_begun(spec.has_begun);
    write_job(to.init_job(), &spec.job);
}

pub(super) fn read_running(from: running_job::Reader<'_>) -> Result<RunningSpec, capnp::Error> {
    Ok(RunningSpec {
        job: read_job(from.get_job()?)?,
        upstream: from.get_upstream()?.to_string()?,
        version: non_zero(from.get_version()),
        has_begun: from.get_has_begun(),
    })
}

pub(super) fn write_verdict(
    mut to: verdict::Builder<'_>,
    verdict: &Verdict,
) {
    match verdict {
        Verdict::Assigned(assignment) => {
            to.set_waited_for(assignment.waited_for.as_str());
            to.set_upstream(&assignment.upstream);
            to.set_address(assignment.address.to_string());
            to.set_version(assignment.version.unwrap_or_default());
            to.set_build(assignment.build.as_deref().unwrap_or_default());
        }
        Verdict::Refused {
            refusal,
            waited_for,
        } => {
            to.set_waited_for(waited_for.as_str());
            to.set_refusal(refusal.kind.answer().code);
            let delay = refusal.retry_after.map_or(0, |delay| delay.0.max(1));
            to.set_retry_after_ms(delay as u32);
        }
    }
}

pub(super) fn read_verdict(from: verdict::Reader<'_>) -> Result<Verdict, capnp::Error> {
    let word = from.get_waited_for()?.to_str()?;
    let waited_for = WaitReason::from_name(word)
        .ok_or_else(|| capnp::Error::failed(format!("unknown wait reason: {word:?}")))?;
    let upstream = from.get_upstream()?.to_str()?;
    if !upstream.is_empty() {
        let address = from.get_address()?.to_str()?;
        return Ok(Verdict::Assigned(Assignment {
            upstream: upstream.to_owned(),
            address: address.parse().map_err(|_e| {
                capnp::Error::failed(format!("invalid socket address: {address:?}"))
            })?,
            version: non_zero(from.get_version()),
            build: non_empty(from.get_build()?.to_str()?),
            waited_for,
        }));
    }
    let code = from.get_refusal()?.to_str()?;
    let kind = ErrorKind::from_code(code)
        .ok_or_else(|| capnp::Error::failed(format!("unknown refusal code: {code:?}")))?;
    let delay = non_zero(from.get_retry_after_ms());
    Ok(Verdict::Refused {
        refusal: Refusal {
            kind,
            retry_after: delay.map(|ms| Millis(ms.into())),
        },
        waited_for,
    })
}

pub(super) fn write_update(
    mut to: news::Builder<'_>,
    update: &AttemptUpdate,
) {
    to.set_number(update.number);
    if let Some(signals) = &update.signals {
        write_signals(to.reborrow().init_signals(), signals);
    }
    if let JobUpdate::Ended(_, evidence) = update.update {
        write_evidence(to.reborrow(), evidence);
    }
    let (kind, took) = match update.update {
        JobUpdate::FirstEvent => (EndKind::FirstEvent, Millis::ZERO),
        JobUpdate::Ended(Outcome::Answered { took }, _) => (EndKind::Answered, took),
        JobUpdate::Ended(Outcome::Failed, _) => (EndKind::Failed, Millis::ZERO),
        JobUpdate::Ended(Outcome::Shed, _) => (EndKind::Shed, Millis::ZERO),
        JobUpdate::Ended(Outcome::NotLoaded, _) => (EndKind::NotLoaded, Millis::ZERO),
        JobUpdate::Ended(Outcome::OtherUpstream, _) => (EndKind::OtherUpstream, Millis::ZERO),
        JobUpdate::Ended(Outcome::Unreachable, _) => (EndKind::Unreachable, Millis::ZERO),
        JobUpdate::Ended(Outcome::Lost, _) => (EndKind::Lost, Millis::ZERO),
        JobUpdate::Ended(Outcome::Silent, _) => (EndKind::Silent, Millis::ZERO),
        JobUpdate::Ended(Outcome::Abandoned, _) => (EndKind::Abandoned, Millis::ZERO),
    };
    to.set_kind(kind);
    to.set_took_ms(took.0 as u32);
}

fn write_evidence(
    mut to: news::Builder<'_>,
    evidence: AttemptEvidence,
) {
    let begun_ago = match evidence.prompt {
        PromptEvidence::None => {
            to.set_evidence(Evidence::None);
            None
        }
        PromptEvidence::Open { has_broken } => {
            to.set_is_open(true);
            to.set_has_broken(has_broken);
            None
        }
        PromptEvidence::Crash => {
            to.set_evidence(Evidence::Crash);
            None
        }
        PromptEvidence::Sound { begun_ago } => {
            to.set_evidence(Evidence::Sound);
            Some(begun_ago)
        }
    };
    let answered_ago = match evidence.request {
        RequestEvidence::None => {
            to.set_request_evidence(Evidence::None);
            None
        }
        RequestEvidence::UpstreamEnded => {
            to.set_request_evidence(Evidence::Crash);
            None
        }
        RequestEvidence::UpstreamGone => {
            to.set_request_evidence(Evidence::Gone);
            None
        }
        RequestEvidence::Answered { begun_ago } => {
            to.set_request_evidence(Evidence::Sound);
            Some(begun_ago)
        }
    };
    if let Some(Millis(ago)) = begun_ago.or(answered_ago) {
        to.set_begun_ago_ms(u32::try_from(ago).unwrap_or(u32::MAX));
    }
}

fn read_evidence(from: news::Reader<'_>) -> Result<AttemptEvidence, capnp::Error> {
    let begun_ago = Millis(from.get_begun_ago_ms().into());
    Ok(AttemptEvidence {
        prompt: match from.get_evidence()? {
            Evidence::None if from.get_is_open() => PromptEvidence::Open {
                has_broken: from.get_has_broken(),
            },
            Evidence::None => PromptEvidence::None,
            Evidence::Crash | Evidence::Gone => PromptEvidence::Crash,
            Evidence::Sound => PromptEvidence::Sound { begun_ago },
        },
        request: match from.get_request_evidence()? {
            Evidence::None => RequestEvidence::None,
            Evidence::Crash => RequestEvidence::UpstreamEnded,
            Evidence::Gone => RequestEvidence::UpstreamGone,
            Evidence::Sound => RequestEvidence::Answered { begun_ago },
        },
    })
}

pub(super) fn read_update(from: news::Reader<'_>) -> Result<AttemptUpdate, capnp::Error> {
    let took = Millis(from.get_took_ms().into());
    let evidence = read_evidence(from)?;
    let update = match from.get_kind()? {
        EndKind::FirstEvent => JobUpdate::FirstEvent,
        EndKind::Answered => JobUpdate::Ended(Outcome::Answered { took }, evidence),
        EndKind::Failed => JobUpdate::Ended(Outcome::Failed, evidence),
        EndKind::Shed => JobUpdate::Ended(Outcome::Shed, evidence),
        EndKind::NotLoaded => JobUpdate::Ended(Outcome::NotLoaded, evidence),
        EndKind::OtherUpstream => JobUpdate::Ended(Outcome::OtherUpstream, evidence),
        EndKind::Unreachable => JobUpdate::Ended(Outcome::Unreachable, evidence),
        EndKind::Lost => JobUpdate::Ended(Outcome::Lost, evidence),
        EndKind::Silent => JobUpdate::Ended(Outcome::Silent, evidence),
        EndKind::Abandoned => JobUpdate::Ended(Outcome::Abandoned, evidence),
    };
    let signals = if from.has_signals() {
        Some(read_signals(from.get_signals()?)?)
    } else {
        None
    };
    Ok(AttemptUpdate {
        number: from.get_number(),
        update,
        signals,
    })
}

fn write_signals(
    mut to: signals::Builder<'_>,
    signals: &UpstreamSignals,
) {
    to.set_has_request_limit(signals.request_limit.is_some());
    to.set_request_limit(signals.request_limit.unwrap_or_default());
    to.set_is_leaving(signals.is_leaving);
    to.set_is_brittle(signals.max_rejections.is_some());
    to.set_max_rejections(signals.max_rejections.unwrap_or_default());
    to.set_rest_ms(
        signals
            .rest
            .map_or(0, |rest| u32::try_from(rest.0).unwrap_or(u32::MAX)),
    );
    if let Some(load) = &signals.load {
        write_load(to.init_load(), load);
    }
}

fn write_load(
    mut to: load_report::Builder<'_>,
    load: &HeardLoad,
) {
    let LoadReport {
        running,
        waiting,
        slots,
        pace,
    } = load.report;
    let age = Clock.now().since(load.heard_at);
    to.set_running(running);
    to.set_waiting(waiting);
    to.set_slots(slots.unwrap_or_default());
    to.set_pace_percent(pace.map_or(0, Pace::percent));
    to.set_ago_ms(u32::try_from(age.0).unwrap_or(u32::MAX));
}

fn read_load(from: load_report::Reader<'_>) -> HeardLoad {
    HeardLoad {
        report: LoadReport {
            running: from.get_running(),
            waiting: from.get_waiting(),
            slots: non_zero(from.get_slots()),
            pace: Pace::from_percent(from.get_pace_percent().into()),
        },
        heard_at: Clock.now().since(Millis(from.get_ago_ms().into())),
    }
}

fn read_signals(from: signals::Reader<'_>) -> Result<UpstreamSignals, capnp::Error> {
    let limit = from.get_request_limit();
    let load = from.has_load().then(|| from.get_load()).transpose()?;
    Ok(UpstreamSignals {
        request_limit: from.get_has_request_limit().then_some(limit),
        rest: non_zero(from.get_rest_ms()).map(|ms| Millis(ms.into())),
        is_leaving: from.get_is_leaving(),
        max_rejections: from.get_is_brittle().then(|| from.get_max_rejections()),
        load: load.map(read_load),
    })
}

pub(super) fn write_stated(
    mut to: struct_list::Builder<'_, stated::Owned>,
    upstreams: &[StatedSpec],
) {
    for (at, spec) in upstreams.iter().enumerate() {
        let mut one = to.reborrow().get(at as u32);
        one.set_upstream(&spec.upstream);
        one.set_started_unix_ms(spec.started_unix_ms.unwrap_or_default());
        write_signals(one.reborrow().init_signals(), &spec.signals);
        if let Some((base, weight)) = spec.base_pace {
            one.set_base_pace(base as f32);
            one.set_base_pace_weight(weight as f32);
        }
        let mut sent_ago = one.init_sent_ago_ms(spec.sent_ago.len() as u32);
        for (at, ago) in spec.sent_ago.iter().enumerate() {
            sent_ago.set(at as u32, u16::try_from(ago.0).unwrap_or(u16::MAX));
        }
    }
}

pub(super) fn read_stated(
    from: struct_list::Reader<'_, stated::Owned>
) -> Result<Vec<StatedSpec>, capnp::Error> {
    from.iter()
        .map(|one| {
            let sent_ago = one.get_sent_ago_ms()?.iter();
            Ok(StatedSpec {
                upstream: one.get_upstream()?.to_string()?,
                started_unix_ms: Some(one.get_started_unix_ms()).filter(|&ms| ms != 0),
                signals: read_signals(one.get_signals()?)?,
                sent_ago: sent_ago.map(|ms| Millis(ms.into())).collect(),
                base_pace: read_base_pace(one),
            })
        })
        .collect()
}

fn read_base_pace(from: stated::Reader<'_>) -> Option<(f64, f64)> {
    let base = f64::from(from.get_base_pace());
    let weight = f64::from(from.get_base_pace_weight());
    (base.is_finite() && base > 0.0 && weight.is_finite() && weight > 0.0).then_some((base, weight))
}

pub(super) fn write_crashes(
    mut to: struct_list::Builder<'_, crash::Owned>,
    crashes: &[CrashSpec],
) {
    for (at, spec) in crashes.iter().enumerate() {
        let mut one = to.reborrow().get(at as u32);
        one.set_upstream(&spec.upstream);
        one.set_ago_ms(u32::try_from(spec.ago.0).unwrap_or(u32::MAX));
        let prompts = spec.prompts.iter().enumerate();
        let parts = prompts.flat_map(|(number, prompt)| {
            let parts = prompt.parts.iter();
            parts.map(move |&part| (part, prompt.sent_ago, number))
        });
        let requests = spec.requests.iter();
        let requests = requests.map(|&(request, sent_ago)| (request, sent_ago, 0));
        let accused: Vec<(PartId, Millis, usize)> = parts.chain(requests).collect();
        let mut list = one.init_accused(accused.len() as u32);
        for (at, (part, sent_ago, prompt)) in accused.into_iter().enumerate() {
            let mut to = list.reborrow().get(at as u32);
            to.set_part(part.to_string());
            to.set_sent_ago_ms(u32::try_from(sent_ago.0).unwrap_or(u32::MAX));
            to.set_prompt(u16::try_from(prompt).unwrap_or(u16::MAX));
        }
    }
}

pub(super) fn read_crashes(
    from: struct_list::Reader<'_, crash::Owned>
) -> Result<Vec<CrashSpec>, capnp::Error> {
    from.iter().map(read_crash).collect()
}

fn read_crash(from: crash::Reader<'_>) -> Result<CrashSpec, capnp::Error> {
    let mut prompts: BTreeMap<u16, PromptReport> = BTreeMap::new();
    let mut requests = Vec::new();
    for accused in from.get_accused()? {
        let part = read_part(accused.get_part()?)?;
        let sent_ago = Millis(accused.get_sent_ago_ms().into());
        if part.is_request() {
            requests.push((part, sent_ago));
            continue;
        }
        let prompt = prompts.entry(accused.get_prompt());
        let prompt = prompt.or_insert_with(|| PromptReport {
            parts: Vec::new(),
            sent_ago,
        });
        prompt.parts.push(part);
        prompt.sent_ago = prompt.sent_ago.min(sent_ago);
    }
    Ok(CrashSpec {
        upstream: from.get_upstream()?.to_string()?,
        ago: Millis(from.get_ago_ms().into()),
        prompts: prompts.into_values().collect(),
        requests,
    })
}

pub(super) fn write_sound(
    mut to: struct_list::Builder<'_, sound::Owned>,
    parts: &[SoundReport],
) {
    for (at, report) in parts.iter().enumerate() {
        let mut one = to.reborrow().get(at as u32);
        one.set_part(report.part.to_string());
        one.set_ago_ms(u32::try_from(report.ago.0).unwrap_or(u32::MAX));
    }
}

pub(super) fn read_sound(
    from: struct_list::Reader<'_, sound::Owned>
) -> Result<Vec<SoundReport>, capnp::Error> {
    let parts = from.iter().map(|one| {
        Ok(SoundReport {
            part: read_part(one.get_part()?)?,
            ago: Millis(one.get_ago_ms().into()),
        })
    });
    parts.collect()
}

pub(super) fn write_ask_shares(
    mut to: struct_list::Builder<'_, ask_share::Owned>,
    shares: &[AskShareSpec],
) {
    for (at, spec) in shares.iter().enumerate() {
        let mut one = to.reborrow().get(at as u32);
        one.set_account(&spec.account);
        one.set_is_call(spec.kind == AskKind::Call);
        one.set_share(u16::try_from(spec.share).unwrap_or(u16::MAX));
        one.set_retry_after_ms(u32::try_from(spec.retry_after.0).unwrap_or(u32::MAX));
    }
}

/// Reads what a ping's answer tells of the requests that the leader wants to be asked about.
pub(super) fn read_ask_shares(
    from: ping_results::Reader<'_>
) -> Result<ToldShareSpecs, capnp::Error> {
    let mut shares = Vec::new();
    for share in from.get_ask_shares()? {
        shares.push(AskShareSpec {
            account: share.get_account()?.to_string()?,
            kind: if share.get_is_call() {
                AskKind::Call
            } else {
                AskKind::Generation
            },
            share: share.get_share().into(),
            retry_after: Millis(share.get_retry_after_ms().into()),
        });
    }
    Ok(ToldShareSpecs {
        revision: from.get_ask_revision(),
        choice: from.get_choice(),
        shares,
    })
}

pub(super) fn write_quarantine(
    mut to: struct_list::Builder<'_, quarantined::Owned>,
    sets: &[PartSet],
) {
    for (at, parts) in sets.iter().enumerate() {
        let one = to.reborrow().get(at as u32);
        let mut list = one.init_parts(parts.len() as u32);
        for (at, part) in parts.iter().enumerate() {
            list.set(at as u32, part.to_string());
        }
    }
}

pub(super) fn read_quarantine(
    from: struct_list::Reader<'_, quarantined::Owned>
) -> Result<Vec<PartSet>, capnp::Error> {
    from.iter()
        .map(|one| {
            let parts = one.get_parts()?.iter();
            parts.map(|part| read_part(part?)).collect()
        })
        .collect()
}

fn read_part(from: text::Reader<'_>) -> Result<PartId, capnp::Error> {
    let part: Result<PartId, InvalidPartId> = from.to_str()?.parse();
    part.map_err(|e| capnp::Error::failed(e.to_string()))
}

pub(super) fn write_leader(
    mut to: leadership::Builder<'_>,
    leader: Option<&Leader>,
) {
    if let Some(leader) = leader {
        to.set_vm(&leader.vm);
        to.set_address(leader.address.to_string());
        to.set_fence(leader.fence.0);
        to.set_leaving(leader.is_leaving);
    }
}

pub(super) fn read_leader(from: leadership::Reader<'_>) -> Result<Option<Leader>, capnp::Error> {
    if from.get_fence() == 0 {
        return Ok(None);
    }
    let address = from.get_address()?.to_str()?;
    Ok(Some(Leader {
        vm: from.get_vm()?.to_string()?,
        address: address
            .parse()
            .map_err(|_e| capnp::Error::failed(format!("invalid socket address: {address:?}")))?,
        fence: Fence(from.get_fence()),
        is_leaving: from.get_leaving(),
    }))
}

pub(super) fn write_idle_times(
    mut to: struct_list::Builder<'_, rested::Owned>,
    engines: &[(String, Millis)],
) {
    for (at, (upstream, since)) in engines.iter().enumerate() {
        let mut one = to.reborrow().get(at as u32);
        one.set_upstream(upstream);
        one.set_for_ms(u32::try_from(since.0).unwrap_or(u32::MAX));
    }
}

pub(super) fn read_idle_times(
    from: struct_list::Reader<'_, rested::Owned>
) -> Result<Vec<(String, Millis)>, capnp::Error> {
    from.iter()
        .map(|one| {
            let upstream = one.get_upstream()?.to_string()?;
            Ok((upstream, Millis(one.get_for_ms().into())))
        })
        .collect()
}

fn read_texts(from: text_list::Reader<'_>) -> Result<Vec<String>, capnp::Error> {
    from.iter().map(|text| Ok(text?.to_string()?)).collect()
}

pub(super) fn write_attempts(
    mut to: struct_list::Builder<'_, attempts::Owned>,
    services: &[(String, PastAttempts)],
) {
    for (at, (service, past)) in services.iter().enumerate() {
        let mut one = to.reborrow().get(at as u32);
        one.set_service(service);
        one.set_ago_ms(u32::try_from(past.ago.0).unwrap_or(u32::MAX));
        one.set_requests(past.counts.requests);
        one.set_retries(past.counts.retries);
    }
}

pub(super) fn read_attempts(
    from: struct_list::Reader<'_, attempts::Owned>
) -> Result<Vec<(String, PastAttempts)>, capnp::Error> {
    from.iter()
        .map(|one| {
            let counts = AttemptCounts {
                requests: one.get_requests(),
                retries: one.get_retries(),
            };
            let past = PastAttempts {
                ago: Millis(one.get_ago_ms().into()),
                counts,
            };
            Ok((one.get_service()?.to_string()?, past))
        })
        .collect()
}

pub(super) fn write_account_uses(
    mut to: struct_list::Builder<'_, account_use::Owned>,
    accounts: &[(String, Vec<SpentTokens>)],
) {
    for (at, (account, spent)) in accounts.iter().enumerate() {
        let mut one = to.reborrow().get(at as u32);
        one.set_account(account);
        let mut list = one.init_spent(spent.len() as u32);
        for (at, spent) in spent.iter().enumerate() {
            let mut to = list.reborrow().get(at as u32);
            to.set_ago_ms(u16::try_from(spent.ago.0).unwrap_or(u16::MAX));
            to.set_tokens(u32::try_from(spent.tokens).unwrap_or(u32::MAX));
        }
    }
}

pub(super) fn read_account_uses(
    from: struct_list::Reader<'_, account_use::Owned>
) -> Result<Vec<(String, Vec<SpentTokens>)>, capnp::Error> {
    from.iter()
        .map(|one| {
            let spent = one.get_spent()?.iter();
            let spent = spent.map(|spent| SpentTokens {
                ago: Millis(spent.get_ago_ms().into()),
                tokens: spent.get_tokens().into(),
            });
            Ok((one.get_account()?.to_string()?, spent.collect()))
        })
        .collect()
}

pub(super) fn write_promises(
    mut to: struct_list::Builder<'_, promise::Owned>,
    promises: &[PromiseSpec],
) {
    for (at, promise) in promises.iter().enumerate() {
        let mut one = to.reborrow().get(at as u32);
        one.set_caller(promise.caller);
        one.set_service(&promise.service);
        one.set_priority(promise.priority);
        one.set_due_in_ms(u32::try_from(promise.due_in.0).unwrap_or(u32::MAX));
        one.set_work(promise.work);
    }
}

/// Reads return times; the scheduler checks each against its calendar.
pub(super) fn read_promises(
    from: struct_list::Reader<'_, promise::Owned>
) -> Result<Vec<PromiseSpec>, capnp::Error> {
    from.iter()
        .take(MAX_PROMISES)
        .map(|one| {
            Ok(PromiseSpec {
                caller: one.get_caller(),
                service: one.get_service()?.to_string()?,
                priority: one.get_priority(),
                due_in: Millis(one.get_due_in_ms().into()),
                work: one.get_work(),
            })
        })
        .collect()
}

fn non_empty(text: &str) -> Option<String> {
    (!text.is_empty()).then(|| text.to_owned())
}

fn non_zero(number: u32) -> Option<u32> {
    (number != 0).then_some(number)
}
