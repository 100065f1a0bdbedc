use {
    super::{conduct::Conduct, routes::Service},
    jasmine_platform_stand_in::{Arrival, Behaviour, UpstreamStandIn},
    rand::Rng,
    rand_chacha::ChaCha8Rng,
    serde_json::Value,
    std::{
        ops::Range,
        time::{Duration, Instant},
    },
};

/// How long an upstream behaves in one way, in milliseconds.
const CONDUCT_MS: Range<u64> = 100..700;
/// Software versions that serve side by side.
const BUILDS: usize = 2;

/// The time in which an upstream behaves in one way.
struct Span {
    conduct: Conduct,
    behaviour: Behaviour,
    /// Just before and after it was set.
    from: Instant,
    set: Instant,
}

/// An upstream that changes its conduct from time to time.
pub struct SiteUpstream {
    pub id: String,
    service: &'static Service,
    stand_in: UpstreamStandIn,
    rng: ChaCha8Rng,
    spans: Vec<Span>,
    changes_at: Instant,
}

impl SiteUpstream {
    pub fn start(
        service: &'static Service,
        number: usize,
        rng: ChaCha8Rng,
    ) -> Self {
        let id = format!("{}-{number}", service.name);
        let stand_in = UpstreamStandIn::start(&id).unwrap();
        stand_in.set_build(&format!("v{}", number % BUILDS + 1));
        let mut upstream = Self {
            id,
            service,
            stand_in,
            rng,
            spans: Vec::new(),
            changes_at: Instant::now(),
        };
        upstream.set_conduct(Conduct::Sound);
        upstream
    }

    pub fn key(&self) -> String {
        self.stand_in.key()
    }

    pub fn entry(
        &self,
        data_centre: &str,
    ) -> Value {
        self.stand_in.entry(self.service.name, data_centre, "ready")
    }

    pub fn step(&mut self) {
        let now = Instant::now();
        if now >= self.changes_at {
            let time = Duration::from_millis(self.rng.random_range(CONDUCT_MS));
            self.changes_at = now + time;
            let conduct = Conduct::draw(&mut self.rng);
            self.set_conduct(conduct);
        }
    }

    pub fn set_conduct(
        &mut self,
        conduct: Conduct,
    ) {
        let behaviour = conduct.behaviour(self.service.answer, &mut self.rng);
        let from = Instant::now();
        self.stand_in.set_default(behaviour.clone());
        self.spans.push(Span {
            conduct,
            behaviour,
            from,
            set: Instant::now(),
        });
    }

    /// The conduct that a request has met; the later one at the moment of a change.
    pub fn conduct_at(
        &self,
        at: Instant,
    ) -> Conduct {
        let mut spans = self.spans.iter().rev();
        let span = spans.find(|span| span.from <= at);
        span.map_or(Conduct::Sound, |span| span.conduct)
    }

    /// Whether its conduct changed just as a request arrived.
    pub fn is_unsure_at(
        &self,
        at: Instant,
    ) -> bool {
        let mut spans = self.spans.iter();
        spans.any(|span| span.from <= at && at <= span.set)
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.stand_in.arrivals()
    }

    pub fn executed_ids(&self) -> Vec<String> {
        let executed = self.stand_in.executed().into_iter();
        executed
            .filter_map(|request| request.headers.get("x-request-id").cloned())
            .collect()
    }

    /// All that it did, for the logs.
    pub fn history(
        &self,
        began: Instant,
    ) -> String {
        let describe = |span: &Span| {
            let at = span.from.saturating_duration_since(began);
            format!("{at:?} {}: {:?}", self.id, span.behaviour)
        };
        let lines: Vec<String> = self.spans.iter().map(describe).collect();
        lines.join("\n")
    }
}
