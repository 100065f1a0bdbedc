//! Keeps what the deciding VM knows of crashes and of sound parts in the store, so that it outlives all VMs.

use {
    super::kv_store::{KvStore, MAX_TXN_OPS},
    crate::{
        clock::Clock,
        context::Context,
        scheduling::{CrashSpec, EvidenceSpec},
    },
    jasmine_core::{
        clock::Millis,
        ids::{InvalidPartId, PartId},
        quarantine::{EvidenceBudget, PromptReport, SoundReport},
    },
    jasmine_store::store::{Op, Range, Store, Txn},
    jasmine_telemetry::log::Line,
    serde::{Deserialize, Serialize},
    std::{rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
    xxhash_rust::xxh3::xxh3_64,
};

/// Prefix of a key for each VM that has decided alone or for all.
pub(super) const EVIDENCE_PREFIX: &str = "jasmine/crash-evidence/";

/// Most crashes that are stored, the latest.
const MAX_CRASHES: usize = 64;
/// How often this VM looks for changes, without a notification.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time in which what is learnt just after a crash is stored together with it.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// What a VM knows, as it is stored: times are in milliseconds before it was written.
#[derive(Serialize, Deserialize)]
struct Stored {
    written_unix_ms: u64,
    crashes: Vec<StoredCrash>,
    sound: Vec<(String, u64)>,
}

#[derive(Serialize, Deserialize)]
struct StoredCrash {
    upstream: String,
    ago_ms: u64,
    prompts: Vec<StoredPrompt>,
    requests: Vec<(String, u64)>,
}

#[derive(Serialize, Deserialize)]
struct StoredPrompt {
    parts: Vec<String>,
    sent_ago_ms: u64,
}

/// Why a value of the store is no evidence.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error, derive_more::From)]
pub(super) enum EvidenceError {
    /// It isn't JSON of the expected shape.
    #[display("{_0}")]
    Json(serde_json::Error),
    /// It names something that is no part of a prompt.
    #[display("{_0}")]
    Part(InvalidPartId),
}

/// Decodes what a VM has stored, and how long ago it did by this VM's time of day.
///
/// # Errors
///
/// [`EvidenceError`].
pub(super) fn decode(value: &[u8]) -> Result<(EvidenceSpec, Millis), EvidenceError> {
    let stored: Stored = serde_json::from_slice(value)?;
    let age = Clock::unix_time().since(Millis(stored.written_unix_ms));
    let crashes = stored.crashes.into_iter().map(decode_crash);
    let sound = stored.sound.into_iter().map(|(part, ago_ms)| {
        let part = part.parse()?;
        let ago = Millis(ago_ms);
        Ok(SoundReport { part, ago })
    });
    let evidence = EvidenceSpec {
        crashes: crashes.collect::<Result<_, EvidenceError>>()?,
        sound: sound.collect::<Result<_, EvidenceError>>()?,
    };
    Ok((evidence, age))
}

fn decode_crash(stored: StoredCrash) -> Result<CrashSpec, EvidenceError> {
    let prompts = stored.prompts.into_iter().map(|prompt| {
        let parts = prompt.parts.iter().map(|part| part.parse());
        Ok(PromptReport {
            parts: parts.collect::<Result<_, InvalidPartId>>()?,
            sent_ago: Millis(prompt.sent_ago_ms),
        })
    });
    let requests = stored.requests.into_iter();
    let requests = requests.map(|(request, ago_ms)| Ok((request.parse()?, Millis(ago_ms))));
    Ok(CrashSpec {
        upstream: stored.upstream,
        ago: Millis(stored.ago_ms),
        prompts: prompts.collect::<Result<_, EvidenceError>>()?,
        requests: requests.collect::<Result<_, EvidenceError>>()?,
    })
}

/// # Panics
///
/// Never: the evidence has only types that JSON can represent.
fn encode(evidence: &EvidenceSpec) -> Vec<u8> {
    let text = |part: &PartId| part.to_string();
    let crashes = evidence.crashes.iter().map(|crash| StoredCrash {
        upstream: crash.upstream.clone(),
        ago_ms: crash.ago.0,
        prompts: crash
            .prompts
            .iter()
            .map(|prompt| StoredPrompt {
                parts: prompt.parts.iter().map(text).collect(),
                sent_ago_ms: prompt.sent_ago.0,
            })
            .collect(),
        requests: crash
            .requests
            .iter()
            .map(|(request, ago)| (text(request), ago.0))
            .collect(),
    });
    let sound = evidence.sound.iter();
    let stored = Stored {
        written_unix_ms: Clock::unix_time().0,
        crashes: crashes.collect(),
        sound: sound
            .map(|report| (text(&report.part), report.ago.0))
            .collect(),
    };
    serde_json::to_vec(&stored).expect("evidence is JSON")
}

/// Tells apart what is worth storing: which crashes accuse what, whatever their times.
fn digest(evidence: &EvidenceSpec) -> u64 {
    let crashes = evidence.crashes.iter().map(|crash| {
        let prompts: Vec<_> = crash.prompts.iter().map(|prompt| &prompt.parts).collect();
        let requests: Vec<_> = crash.requests.iter().map(|(request, _)| request).collect();
        format!("{} {prompts:?} {requests:?}", crash.upstream)
    });
    let text: Vec<String> = crashes.collect();
    if text.is_empty() {
        return 0;
    }
    xxh3_64(text.join(";").as_bytes())
}

/// Writes what this VM knows to the store while it decides, and deletes what others wrote that it has taken over; never
/// returns.
pub async fn keep_crash_evidence(
    cx: Rc<Context>,
    store: KvStore,
    vm: String,
) {
    let mut stored_digest = None;
    let mut has_recorded = false;
    let mut budget = EvidenceBudget::default();
    loop {
        let recorded = timeout(
            CHECK_INTERVAL,
            cx.scheduling.local_scheduler.crash_recorded(),
        );
        // A check without a crash stores what has been acquitted, and retries failed writes.
        if recorded.await.is_ok() {
            has_recorded = true;
            sleep(BATCH_DELAY).await;
        }
        if cx.scheduling.is_following() {
            (stored_digest, has_recorded) = (None, false);
            continue;
        }
        if !has_recorded && !cx.scheduling.is_leading() {
            continue;
        }
        let writers = if cx.scheduling.is_leading() {
            1
        } else {
            cx.scheduling.vms().len() as u64
        };
        if !budget.is_available(writers, cx.clock.now()) {
            continue;
        }
        let max = EvidenceBudget::max_record(writers);
        let Some((txn, digest)) = difference(&cx, &vm, stored_digest, max) else {
            continue;
        };
        budget.spend(written_bytes(&txn));
        match store.txn(txn).await {
            Ok(_) => (stored_digest, has_recorded) = (Some(digest), false),
            Err(e) => Line::new("evidence_not_stored").with("reason", e).warn(),
        }
    }
}

/// The writes that bring the store up to date, if there are any, and the digest of what it holds then.
fn difference(
    cx: &Context,
    vm: &str,
    stored_digest: Option<u64>,
    max: usize,
) -> Option<(Txn, u64)> {
    let local_scheduler = &cx.scheduling.local_scheduler;
    let writers = local_scheduler.evidence_writers();
    if writers.is_empty() && !local_scheduler.has_crashes() {
        return None;
    }
    let mut evidence = local_scheduler.crash_evidence();
    let has_crashes = !evidence.crashes.is_empty();
    let surplus = evidence.crashes.len().saturating_sub(MAX_CRASHES);
    evidence.crashes.drain(..surplus);
    let evidence = evidence.bounded(max);
    let digest = digest(&evidence);
    let key = |vm: &str| format!("{EVIDENCE_PREFIX}{vm}");
    let mut ops = Vec::new();
    let is_stored = writers.iter().any(|writer| writer == vm);
    if !has_crashes {
        ops.extend(is_stored.then(|| Op::Delete(Range::key(key(vm)))));
    } else if !evidence.crashes.is_empty() && (stored_digest != Some(digest) || !is_stored) {
        // Another leader may have deleted it since.
        ops.push(Op::put(key(vm), encode(&evidence)));
    }
    if cx.scheduling.is_leading() {
        let others = writers.iter().filter(|&writer| writer != vm);
        ops.extend(others.map(|writer| Op::Delete(Range::key(key(writer)))));
        // What remains is deleted with the next check.
        ops.truncate(MAX_TXN_OPS);
    }
    let txn = Txn {
        success: ops,
        ..Txn::default()
    };
    (!txn.success.is_empty()).then_some((txn, digest))
}

/// Bytes of the values that a transaction writes.
fn written_bytes(txn: &Txn) -> usize {
    let size = |op: &Op| match op {
        Op::Put { value, .. } => value.len(),
        Op::Delete(_) | Op::Get(_) => 0,
    };
    txn.success.iter().map(size).sum()
}
