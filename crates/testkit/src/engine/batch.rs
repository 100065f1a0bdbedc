use {
    super::{
        record::EndReason,
        state::{Engine, State},
    },
    crate::server::unix_ms,
    std::{
        collections::BTreeSet,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Poll interval of an idle engine.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How long an ended stream remains readable.
const ENDED_STREAM_RETENTION: Duration = Duration::from_secs(30);

/// Runs the batch loop of the engine.
pub(super) async fn run(engine: Arc<Engine>) {
    let mut last_report_at = None;
    let mut rx = engine.tick.subscribe();
    loop {
        let lag = Duration::from_millis(engine.cfg.load_lag_ms);
        if last_report_at.is_none_or(|at: Instant| at.elapsed() >= lag) {
            let mut state = engine.lock();
            state.refresh_load_report(&engine.cfg);
            expire_streams(&engine, &mut state);
            last_report_at = Some(Instant::now());
        }
        rx.mark_unchanged();
        let begun = begin_step(&engine);
        match begun {
            Some(step) => {
                time::sleep(step).await;
                end_step(&mut engine.lock());
                engine.tick.send_replace(());
            }
            None => drop(time::timeout(IDLE_POLL_INTERVAL, rx.changed()).await),
        }
    }
}

/// Fills the batch and returns the duration of its step; `None` if it is empty or the engine hangs.
fn begin_step(engine: &Engine) -> Option<Duration> {
    let cfg = &engine.cfg;
    let mut state = engine.lock();
    if state.faults.hang {
        return None;
    }
    while state.running.len() < cfg.max_batch && !state.waiting.is_empty() {
        let name = state.waiting.remove(0);
        admit(engine, &mut state, name);
    }
    let running = state
        .running
        .iter()
        .filter_map(|name| state.streams.get(name));
    let adapters: BTreeSet<_> = running.map(|stream| stream.job.weights.as_str()).collect();
    let requests = state.running.len().checked_sub(1)? as u64;
    let more =
        requests * cfg.step_per_request_us + (adapters.len() as u64 - 1) * cfg.step_per_adapter_us;
    Some(Duration::from_micros(cfg.step_us + more))
}

fn admit(
    engine: &Engine,
    state: &mut State,
    name: String,
) {
    let Some(stream) = state.streams.get(&name) else {
        return;
    };
    let (instance, prompt) = (stream.job.instance.clone(), stream.job.prompt.clone());
    let known = state.touch_prefix(&engine.cfg, &instance, &prompt);
    if let Some(stream) = state.streams.get_mut(&name) {
        stream.prefill_left = if known { 1 } else { stream.prefill_left };
        state.record.requests[stream.record].began_ms = Some(unix_ms());
        state.running.push(name);
    }
}

/// Generates a token or advances the prefill for each running stream.
fn end_step(state: &mut State) {
    state.record.steps += 1;
    for name in state.running.clone() {
        let Some(stream) = state.streams.get_mut(&name) else {
            continue;
        };
        stream.prefill_left = stream.prefill_left.saturating_sub(1);
        if stream.prefill_left == 0 && stream.job.made < stream.len {
            stream.job.made += 1;
            state.record.tokens += 1;
            state.record.requests[stream.record].tokens += 1;
        }
        if stream.job.made == stream.len {
            state.end(&name, EndReason::Done);
        }
    }
}

/// Ends streams that were not resumed in time and drops expired ones.
fn expire_streams(
    engine: &Engine,
    state: &mut State,
) {
    let resume = Duration::from_millis(engine.cfg.resume_ms);
    let abandoned: Vec<_> = state
        .streams
        .iter()
        .filter(|(_, stream)| stream.readers == 0 && stream.unread_since.elapsed() > resume)
        .map(|(name, _)| name.clone())
        .collect();
    for name in abandoned {
        state.end(&name, EndReason::Abandoned);
    }
    state.streams.retain(|_, stream| {
        stream.ended.is_none()
            || stream.readers > 0
            || stream.unread_since.elapsed() < ENDED_STREAM_RETENTION
    });
}
