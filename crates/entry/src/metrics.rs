//! The daemon's metrics and their Prometheus endpoint.

use {
    crate::{
        caller::accept_loop, context::Context, forward::ForwardRequest, gauges::Gauges,
        load::LoadGauges, refusals::JudgedBy, scheduling::LocalScheduler,
    },
    jasmine_core::{
        clock::Millis,
        costs::CostErrors,
        error::{ErrorKind, Refusal},
        ingress::CallKind,
        scheduler::{OrderResult, Outcome, PaceSummary, RetryDecider, WaitReason},
    },
    jasmine_telemetry::metrics::{Labels, Metrics, MetricsError, Refusals, RequestMetrics},
    opentelemetry::{KeyValue, metrics::Counter},
    std::{cell::RefCell, collections::HashMap, io, rc::Rc},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::spawn_local,
        time::timeout,
    },
};

/// Most label sets with histograms of their own; further accounts share [`OTHER_ACCOUNT`].
const MAX_LABEL_SETS: usize = 64;
/// Account label of further accounts and of requests without one.
const OTHER_ACCOUNT: &str = "other";
/// Timeout of one scrape.
const SCRAPE_TIMEOUT: Millis = Millis(2_000);

/// The daemon's instruments.
#[derive(Debug)]
pub struct EntryMetrics {
    metrics: Metrics,
    requests: RequestMetrics,
    refusals: Refusals,
    attempts: Counter<u64>,
    relayed: Counter<u64>,
    resumptions: Counter<u64>,
    hedges: Counter<u64>,
    broken_attempts: Counter<u64>,
    turned_away: Counter<u64>,
    bytes_refused: Counter<u64>,
    incomplete_answers: Counter<u64>,
    pipelined_dropped: Counter<u64>,
    idle_closed: Counter<u64>,
    orders: Counter<u64>,
    final_refusals: Counter<u64>,
    gauges: Gauges,
    load: LoadGauges,
    labels: RefCell<HashMap<(String, &'static str), Labels>>,
}

impl EntryMetrics {
    /// Creates the instruments.
    ///
    /// # Errors
    ///
    /// [`MetricsError::Setup`].
    pub fn new() -> Result<Self, MetricsError> {
        let metrics = Metrics::new()?;
        let meter = metrics.meter();
        Ok(Self {
            requests: RequestMetrics::new(&meter),
            refusals: Refusals::new(&meter),
            attempts: meter
                .u64_counter("jasmine_attempts")
                .with_description("Attempts at upstreams, by how they ended")
                .build(),
            relayed: meter
                .u64_counter("jasmine_relayed")
                .with_description("Requests that one VM has sent for another, by side")
                .build(),
            resumptions: meter
                .u64_counter("jasmine_resumptions")
                .with_description("Streams that callers resumed, by how their origin was found")
                .build(),
            hedges: meter
                .u64_counter("jasmine_hedges")
                .with_description("Requests that were sent to a second upstream beside a silent one, by what came of it")
                .build(),
            broken_attempts: meter
                .u64_counter("jasmine_attempts_broken")
                .with_description("Attempts whose connection broke, as where an upstream ended under a request")
                .build(),
            turned_away: meter
                .u64_counter("jasmine_connections_turned_away")
                .with_description("New connections of callers that this VM has closed unread")
                .build(),
            bytes_refused: meter
                .u64_counter("jasmine_bytes_refused")
                .with_description("Requests refused as their body found no room in time")
                .build(),
            incomplete_answers: meter
                .u64_counter("jasmine_answers_incomplete")
                .with_description(
                    "Requests that ended without a complete answer, by peer and reason",
                )
                .build(),
            pipelined_dropped: meter
                .u64_counter("jasmine_pipelined_dropped")
                .with_description(
                    "Connections closed after a response, with more requests already received",
                )
                .build(),
            idle_closed: meter
                .u64_counter("jasmine_connections_idle_closed")
                .with_description("Connections closed between requests, by reason")
                .build(),
            orders: meter
                .u64_counter("jasmine_orders")
                .with_description("Orders to engines, by how they ended")
                .build(),
            final_refusals: meter
                .u64_counter("jasmine_refusals_final")
                .with_description(
                    "Requests refused by answers after which callers don't come back, by kind and age of this VM's view",
                )
                .build(),
            gauges: Gauges::new(&meter),
            load: LoadGauges::new(&meter),
            labels: RefCell::default(),
            metrics,
        })
    }

    /// Counts an attempt by its outcome.
    pub fn count_attempt(
        &self,
        outcome: Outcome,
    ) {
        let label = match outcome {
            Outcome::Answered { .. } => "answered",
            Outcome::Failed => "failed",
            Outcome::Shed => "shed",
            Outcome::NotLoaded => "not_loaded",
            Outcome::OtherUpstream => "other_upstream",
            Outcome::Unreachable => "unreachable",
            Outcome::Lost => "lost",
            Outcome::Silent => "silent",
            Outcome::Abandoned => "abandoned",
        };
        self.attempts.add(1, &[KeyValue::new("end", label)]);
    }

    /// Counts an attempt whose connection broke; a request that is refused as upstreams ended under it counts among the
    /// refusals, as `request_quarantined`.
    pub fn count_broken_attempt(&self) {
        self.broken_attempts.add(1, &[]);
    }

    /// Counts a request that another VM sent for this one (`by_others`), or this one for another (`for_others`).
    pub fn count_relayed(
        &self,
        side: &'static str,
    ) {
        self.relayed.add(1, &[KeyValue::new("side", side)]);
    }

    /// Counts what comes of a hedge: it is `sent`, has `answered` first, has `failed`, or was `overtaken`.
    pub fn count_hedge(
        &self,
        result: &'static str,
    ) {
        self.hedges.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a stream that a caller resumes, by how its origin was found.
    pub fn count_resumption(
        &self,
        origin: &'static str,
    ) {
        self.resumptions.add(1, &[KeyValue::new("origin", origin)]);
    }

    /// Counts a new connection of a caller that this VM closes unread.
    pub fn count_turned_away(&self) {
        self.turned_away.add(1, &[]);
    }

    /// Counts a request that is refused as its body found no room in time.
    pub fn count_bytes_refused(&self) {
        self.bytes_refused.add(1, &[]);
    }

    /// Counts a request of a caller or another VM (`peer`) that has ended without a complete answer.
    pub fn count_incomplete_answer(
        &self,
        peer: &'static str,
        reason: &'static str,
    ) {
        let labels = [KeyValue::new("peer", peer), KeyValue::new("reason", reason)];
        self.incomplete_answers.add(1, &labels);
    }

    /// Counts a connection that a response closes while its next request has already been received.
    pub fn count_pipelined_dropped(&self) {
        self.pipelined_dropped.add(1, &[]);
    }

    /// Counts a connection that is closed between two requests, as it was idle for too long or the daemon stops.
    pub fn count_idle_closed(
        &self,
        reason: &'static str,
    ) {
        self.idle_closed.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts an order by its result.
    pub fn order(
        &self,
        end: OrderResult,
    ) {
        let label = match end {
            OrderResult::Accepted => "accepted",
            OrderResult::Holds => "holds",
            OrderResult::Conflict => "conflict",
            OrderResult::Refused => "refused",
            OrderResult::OtherUpstream => "other_upstream",
            OrderResult::Lost => "lost",
            OrderResult::Unsent => "unsent",
        };
        self.orders.add(1, &[KeyValue::new("end", label)]);
    }

    /// Counts a refused request by error kind, account and, if it is known, priority.
    pub fn count_refused(
        &self,
        refusal: Refusal,
        account: Option<&str>,
        priority: Option<u8>,
    ) {
        let account = account.unwrap_or(OTHER_ACCOUNT);
        match priority {
            Some(priority) => self.refusals.count_ranked(refusal.kind, account, priority),
            None => self.refusals.count(refusal.kind, account),
        }
    }

    /// Counts a refusal that the caller takes as final, by error kind and age of the view that it was judged by.
    pub fn count_final(
        &self,
        kind: ErrorKind,
        judged_by: &JudgedBy,
    ) {
        let labels = [
            KeyValue::new("kind", kind.answer().code),
            KeyValue::new("view", judged_by.age_class()),
        ];
        self.final_refusals.add(1, &labels);
    }

    /// Records an answered request with its queue wait and, for streams, the time to the first event.
    pub fn record_answered(
        &self,
        req: &ForwardRequest,
        waited: Millis,
        first: Option<Millis>,
    ) {
        let labels = self.labels_of(req);
        self.requests.admitted(&labels);
        self.requests.settled(&labels, req.cost);
        self.requests.queue_wait(&labels, waited);
        if let Some(first) = first {
            self.requests.first_token(&labels, first.to_std());
        }
    }

    /// Records an answer that began on an older version of its adapter, this long after the newer one was known to be absent.
    pub fn record_older_version(
        &self,
        req: &ForwardRequest,
        absent_for: Millis,
    ) {
        self.requests
            .older_version(&self.labels_of(req), absent_for.to_std());
    }

    /// Records the time between two parts of a stream.
    pub fn record_gap(
        &self,
        req: &ForwardRequest,
        gap: Millis,
    ) {
        self.requests.token_gap(&self.labels_of(req), gap.to_std());
    }

    /// Updates the gauges and renders all metrics.
    fn page(
        &self,
        cx: &Context,
    ) -> String {
        let (queued, running) = cx.scheduling.local_scheduler.load();
        self.gauges.queued.record(queued as u64, &[]);
        for (priority, len) in cx.scheduling.local_scheduler.waiting_by_priority() {
            let class = KeyValue::new("class", i64::from(priority));
            self.gauges.queued.record(len as u64, &[class]);
        }
        self.gauges.running.record(running as u64, &[]);
        self.load.record(&cx.scheduling, cx.last_delay());
        let waits = cx.scheduling.local_scheduler.waits();
        for reason in WaitReason::ALL {
            let label = KeyValue::new("reason", reason.as_str());
            self.gauges.waited.record(waits.of(reason).0, &[label]);
        }
        self.record_costs(&cx.scheduling.local_scheduler);
        self.record_paces(cx.scheduling.local_scheduler.pace_summary());
        let copies = cx.scheduling.local_scheduler.copy_statistics();
        self.gauges.copies.record(copies.copies, &[]);
        self.gauges.copies_planned.record(copies.planned, &[]);
        self.gauges.copies_in_vain.record(copies.in_vain, &[]);
        let returns = cx.scheduling.local_scheduler.return_counts();
        for (end, count) in [
            ("promised", returns.promised),
            ("kept", returns.kept),
            ("released", returns.released),
        ] {
            self.gauges
                .return_times
                .record(count, &[KeyValue::new("end", end)]);
        }
        for (event, count) in cx.scheduling.local_scheduler.quarantine_counts() {
            let label = [KeyValue::new("event", event)];
            self.gauges.quarantine.record(count, &label);
        }
        let retries = cx.scheduling.local_scheduler.retry_totals();
        for decider in RetryDecider::ALL {
            let (granted, refused) = retries.of(decider);
            for (end, count) in [("granted", granted), ("refused", refused)] {
                let labels = [
                    KeyValue::new("share", decider.as_str()),
                    KeyValue::new("end", end),
                ];
                self.gauges.retries.record(count, &labels);
            }
        }
        self.gauges.in_flight.record(cx.in_flight() as u64, &[]);
        let connections = cx.open_connections() as u64;
        self.gauges.connections.record(connections, &[]);
        self.gauges
            .leading
            .record(cx.scheduling.is_leading().into(), &[]);
        let (held, paused) = cx.bytes.state();
        for (part, bytes) in [
            ("requests", held.requests),
            ("answers", held.answers),
            ("small", held.small),
        ] {
            let label = KeyValue::new("part", part);
            self.gauges.bytes.record(bytes, &[label]);
        }
        self.gauges.bytes_waiting.record(held.waiting as u64, &[]);
        self.gauges.bytes_paused.record(paused, &[]);
        let version = cx.config().map_or(0, |config| config.version.0);
        self.gauges.config.record(version, &[]);
        let judged_by = cx.judged_by();
        if let Some(age) = judged_by.view_age {
            self.gauges.view_age.record(age.0, &[]);
        }
        if let Some(age) = judged_by.config_age {
            self.gauges.config_age.record(age.0, &[]);
        }
        self.metrics
            .page()
            .unwrap_or_else(|e| format!("# can't encode the metrics: {e}\n"))
    }

    /// Updates the gauges of learned costs.
    fn record_costs(
        &self,
        scheduler: &LocalScheduler,
    ) {
        let entries = scheduler.costs_len() as u64;
        self.gauges.learned_costs.record(entries, &[]);
        let errors = scheduler.cost_errors();
        let bounds = CostErrors::BOUNDS.iter().map(f64::to_string);
        let bounds = bounds.chain(["above".to_owned()]);
        for (bound, &count) in bounds.zip(&errors.counts) {
            let label = KeyValue::new("up_to", bound);
            self.gauges.cost_errors.record(count, &[label]);
        }
    }

    fn record_paces(
        &self,
        paces: PaceSummary,
    ) {
        let gauges = &self.gauges;
        gauges.pace_lowest.record(paces.lowest_percent, &[]);
        gauges.pace_highest.record(paces.highest_percent, &[]);
        gauges.reports_ignored.record(paces.implausible, &[]);
        gauges.report_decisions.record(paces.decisions, &[]);
        gauges.report_ages.record(paces.report_age_ms, &[]);
    }

    fn labels_of(
        &self,
        req: &ForwardRequest,
    ) -> Labels {
        let class = match req.route.kind {
            CallKind::Idempotent => "idempotent",
            CallKind::NonIdempotent => "non_idempotent",
            CallKind::Stream { .. } => "stream",
        };
        let account = req.account.as_deref().unwrap_or(OTHER_ACCOUNT);
        let mut labels = self.labels.borrow_mut();
        let is_known = labels.contains_key(&(account.to_owned(), class));
        let account = if is_known || labels.len() < MAX_LABEL_SETS {
            account
        } else {
            OTHER_ACCOUNT
        };
        labels
            .entry((account.to_owned(), class))
            .or_insert_with(|| Labels::new(account.into(), class))
            .clone()
    }
}

/// Serves the Prometheus endpoint; never returns.
pub async fn serve_metrics(
    cx: Rc<Context>,
    listener: TcpListener,
) {
    accept_loop(listener, |stream| {
        let cx = Rc::clone(&cx);
        spawn_local(async move {
            // Clients that don't send a request or don't read the response are dropped.
            let _elapsed = timeout(SCRAPE_TIMEOUT.to_std(), serve_scrape(&cx, stream)).await;
        });
    })
    .await;
}

async fn serve_scrape(
    cx: &Context,
    mut stream: TcpStream,
) -> io::Result<()> {
    let mut request = [0_u8; 2048];
    if stream.read(&mut request).await? == 0 {
        return Ok(());
    }
    let page = cx.metrics.page(cx);
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain; version=0.0.4\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n",
        page.len()
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(page.as_bytes()).await?;
    stream.shutdown().await
}
