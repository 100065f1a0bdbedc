use {
    super::{
        answer::{answer_len, prefix_of, prompt_tokens},
        record::{EndReason, EngineRecord, RequestRecord},
        settings::{EngineFaults, EngineSettings},
    },
    crate::server::unix_ms,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
        sync::{Mutex, MutexGuard, PoisonError},
        time::Instant,
    },
    tokio::sync::watch,
};

/// Maximum number of raw requests kept in the record.
const MAX_RECORDED_REQUESTS: usize = 4096;

/// A generation job.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct Job {
    pub(super) request_id: String,
    pub(super) account: String,
    pub(super) instance: String,
    pub(super) weights: String,
    pub(super) prompt: String,
    pub(super) chat: bool,
    pub(super) priority: u8,
    pub(super) max_tokens: u32,
    pub(super) made: u32,
}

/// A token stream: waiting, running, or ended and still resumable.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) job: Job,
    pub(super) len: u32,
    pub(super) prefill_left: u32,
    pub(super) readers: u32,
    pub(super) unread_since: Instant,
    pub(super) ended: Option<EndReason>,
    pub(super) record: usize,
}

/// One event of the prefix cache.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(super) struct CacheEvent {
    pub(super) seq: u64,
    pub(super) kind: &'static str,
    pub(super) instance: String,
    pub(super) prefix: String,
    #[serde(skip)]
    pub(super) at: Instant,
}

/// Load report served to callers.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub(super) struct LoadReport {
    boot: u64,
    role: String,
    running: usize,
    waiting: usize,
    slots: usize,
    max_batch: usize,
    instances: Vec<String>,
    loading: Vec<String>,
    as_of_ms: u64,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) boot: u64,
    pub(super) fence: u64,
    pub(super) role: String,
    pub(super) instances: BTreeMap<String, String>,
    pub(super) loading: BTreeSet<String>,
    pub(super) streams: HashMap<String, Stream>,
    pub(super) waiting: Vec<String>,
    pub(super) running: Vec<String>,
    pub(super) prefixes: VecDeque<(String, String)>,
    pub(super) cache_events: Vec<CacheEvent>,
    pub(super) cache_seq: u64,
    pub(super) faults: EngineFaults,
    pub(super) record: EngineRecord,
    pub(super) load_report: LoadReport,
    last_stream: u64,
}

/// An engine; `tick` notifies readers when streams may have changed.
#[derive(Debug)]
pub(super) struct Engine {
    pub(super) cfg: EngineSettings,
    pub(super) tick: watch::Sender<()>,
    state: Mutex<State>,
}

impl Engine {
    pub(super) fn new(cfg: EngineSettings) -> Self {
        let state = State {
            boot: unix_ms(),
            fence: 0,
            role: "both".to_owned(),
            instances: BTreeMap::new(),
            loading: BTreeSet::new(),
            streams: HashMap::new(),
            waiting: Vec::new(),
            running: Vec::new(),
            prefixes: VecDeque::new(),
            cache_events: Vec::new(),
            cache_seq: 0,
            faults: EngineFaults::default(),
            record: EngineRecord::default(),
            load_report: LoadReport::default(),
            last_stream: 0,
        };
        Self {
            cfg,
            tick: watch::Sender::new(()),
            state: Mutex::new(state),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Queues a job behind others of the same or higher priority; returns the stream's name.
    pub(super) fn enqueue(
        &mut self,
        cfg: &EngineSettings,
        job: Job,
    ) -> String {
        self.last_stream += 1;
        let name = format!("s{}-{}", self.boot, self.last_stream);
        let prompt_tokens = prompt_tokens(&job.prompt);
        self.record.requests.push(RequestRecord {
            request_id: job.request_id.clone(),
            account: job.account.clone(),
            instance: job.instance.clone(),
            weights: job.weights.clone(),
            prompt_tokens,
            tokens: 0,
            start_ms: unix_ms(),
            began_ms: None,
            end_ms: None,
            ended: None,
        });
        let stream = Stream {
            len: answer_len(&job.weights, &job.prompt, job.max_tokens),
            prefill_left: prompt_tokens.div_ceil(cfg.prefill_tokens.max(1)),
            readers: 0,
            unread_since: Instant::now(),
            ended: None,
            record: self.record.requests.len() - 1,
            job,
        };
        let position = self.waiting.partition_point(|other| {
            self.streams
                .get(other)
                .map_or(0, |other| other.job.priority)
                <= stream.job.priority
        });
        self.waiting.insert(position, name.clone());
        self.streams.insert(name.clone(), stream);
        name
    }

    /// Ends a stream; returns whether it was still open.
    pub(super) fn end(
        &mut self,
        name: &str,
        ended: EndReason,
    ) -> bool {
        self.waiting.retain(|other| other != name);
        self.running.retain(|other| other != name);
        let Some(stream) = self.streams.get_mut(name) else {
            return false;
        };
        let was_open = stream.ended.is_none();
        if was_open {
            stream.ended = Some(ended);
            let row = &mut self.record.requests[stream.record];
            row.ended = Some(ended);
            row.end_ms = Some(unix_ms());
        }
        was_open
    }

    /// Names of the open streams on an instance.
    pub(super) fn open_streams_on(
        &self,
        instance: &str,
    ) -> Vec<String> {
        let open = |stream: &Stream| stream.ended.is_none() && stream.job.instance == instance;
        let streams = self.streams.iter().filter(|(_, stream)| open(stream));
        streams.map(|(name, _)| name.clone()).collect()
    }

    /// Resets everything except the record, as a process restart does.
    pub(super) fn restart(&mut self) {
        let streams: Vec<_> = self.streams.keys().cloned().collect();
        for name in streams {
            self.end(&name, EndReason::Restarted);
        }
        self.streams.clear();
        self.instances.clear();
        self.prefixes.clear();
        self.cache_events.clear();
        self.fence = 0;
        self.boot = unix_ms().max(self.boot + 1);
    }

    /// Adds a prefix to the LRU cache; returns whether it was cached.
    pub(super) fn touch_prefix(
        &mut self,
        cfg: &EngineSettings,
        instance: &str,
        prompt: &str,
    ) -> bool {
        let entry = (instance.to_owned(), prefix_of(prompt));
        let known = self.prefixes.iter().position(|other| *other == entry);
        if let Some(index) = known {
            self.prefixes.remove(index);
        } else {
            self.push_cache_event("stored", entry.clone());
        }
        self.prefixes.push_back(entry);
        while self.prefixes.len() > cfg.prefix_entries {
            if let Some(oldest) = self.prefixes.pop_front() {
                self.push_cache_event("evicted", oldest);
            }
        }
        known.is_some()
    }

    fn push_cache_event(
        &mut self,
        kind: &'static str,
        (instance, prefix): (String, String),
    ) {
        self.cache_seq += 1;
        if self.cache_seq.is_multiple_of(7) {
            return;
        }
        self.cache_events.push(CacheEvent {
            seq: self.cache_seq,
            kind,
            instance,
            prefix,
            at: Instant::now(),
        });
    }

    /// Refreshes the load report.
    pub(super) fn refresh_load_report(
        &mut self,
        cfg: &EngineSettings,
    ) {
        self.load_report = LoadReport {
            boot: self.boot,
            role: self.role.clone(),
            running: self.running.len(),
            waiting: self.waiting.len(),
            slots: cfg.slots,
            max_batch: cfg.max_batch,
            instances: self.instances.keys().cloned().collect(),
            loading: self.loading.iter().cloned().collect(),
            as_of_ms: unix_ms(),
        };
    }

    pub(super) fn record_raw_request(
        &mut self,
        text: String,
    ) {
        self.record.seen.push_back(text);
        if self.record.seen.len() > MAX_RECORDED_REQUESTS {
            self.record.seen.pop_front();
        }
    }
}
