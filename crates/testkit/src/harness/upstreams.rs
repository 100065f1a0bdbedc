use {
    super::{cluster_spec::ClusterSpec, poll::HarnessError},
    crate::{
        Running,
        client::get_json,
        engine::{self, EngineRecord, EngineSettings},
        proxy::Proxy,
        service::{self, ServedCall},
        weights,
    },
    std::net::SocketAddr,
};

/// One upstream that a stand-in plays.
#[derive(Debug)]
pub struct UpstreamStandIn {
    /// Its name in the tree.
    pub name: String,
    /// Where the stand-in itself listens.
    pub address: SocketAddr,
    /// Whether it refuses orders with an old fencing token.
    pub checks_fencing: bool,
    /// The link to it, where there is a proxy.
    pub proxy: Option<Proxy>,
    _running: Running,
}

impl UpstreamStandIn {
    fn new(
        name: String,
        running: Running,
        proxied: bool,
    ) -> Result<Self, HarnessError> {
        let address = running.address();
        let proxy = proxied
            .then(|| Proxy::start(anywhere(), address))
            .transpose()?;
        Ok(Self {
            name,
            address,
            checks_fencing: false,
            proxy,
            _running: running,
        })
    }

    /// The address that stands in the tree.
    pub fn reached_at(&self) -> SocketAddr {
        self.proxy.as_ref().map_or(self.address, Proxy::address)
    }
}

/// The weight store, the engines and the servers of the plain service.
#[derive(Debug)]
pub struct Upstreams {
    /// The weight store.
    pub weights: Running,
    /// The engines.
    pub engines: Vec<UpstreamStandIn>,
    /// The servers.
    pub servers: Vec<UpstreamStandIn>,
}

/// Any free port of this machine.
pub(super) fn anywhere() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

impl Upstreams {
    pub(super) fn start(spec: &ClusterSpec) -> Result<Self, HarnessError> {
        let weights = weights::start(anywhere(), spec.weights.clone())?;
        let engines = (1..=spec.engines).map(|n| {
            let checks_fencing = n % 3 != 0;
            let cfg = EngineSettings {
                checks_fencing,
                weight_store: Some(weights.address()),
                ..spec.engine.clone()
            };
            let running = engine::start(anywhere(), cfg)?;
            let mut engine =
                UpstreamStandIn::new(format!("engine-{n}"), running, spec.proxied_upstreams)?;
            engine.checks_fencing = checks_fencing;
            Ok::<_, HarnessError>(engine)
        });
        let engines = engines.collect::<Result<_, _>>()?;
        let servers = (1..=spec.servers).map(|n| {
            let running = service::start(anywhere())?;
            UpstreamStandIn::new(format!("server-{n}"), running, spec.proxied_upstreams)
        });
        let servers = servers.collect::<Result<_, _>>()?;
        Ok(Self {
            weights,
            engines,
            servers,
        })
    }

    /// What each engine remembers.
    ///
    /// # Panics
    ///
    /// When a stand-in doesn't answer: a defect of the test kit.
    pub async fn engine_records(&self) -> Vec<EngineRecord> {
        let mut records = Vec::new();
        for engine in &self.engines {
            let record = get_json(engine.address, "/stand-in/record").await;
            let record = record.expect("the engine stand-in answers");
            records.push(serde_json::from_value(record).expect("a record"));
        }
        records
    }

    /// Every call that took effect at a server.
    ///
    /// # Panics
    ///
    /// When a stand-in doesn't answer: a defect of the test kit.
    pub async fn served_calls(&self) -> Vec<ServedCall> {
        let mut calls = Vec::new();
        for server in &self.servers {
            let record = get_json(server.address, "/stand-in/record").await;
            let record = record.expect("the service stand-in answers");
            let some: Vec<ServedCall> = serde_json::from_value(record).expect("a record");
            calls.extend(some);
        }
        calls
    }
}
