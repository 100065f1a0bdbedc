use {
    super::{cluster_spec::ClusterSpec, poll::HarnessError},
    crate::{
        RunningServer,
        client::get_json,
        engine::{self, EngineRecord, EngineSettings},
        proxy::Proxy,
        service::{self, ServedCall},
        weights,
    },
    std::net::SocketAddr,
};

/// A stand-in that serves as an upstream.
#[derive(Debug)]
pub struct UpstreamStandIn {
    /// Its name in the configuration tree.
    pub name: String,
    /// Listen address of the stand-in itself.
    pub address: SocketAddr,
    /// Whether it refuses orders with a stale fencing token.
    pub checks_fencing: bool,
    /// The proxy in front of it, if any.
    pub proxy: Option<Proxy>,
    _running: RunningServer,
}

impl UpstreamStandIn {
    fn new(
        name: String,
        running: RunningServer,
        proxied: bool,
    ) -> Result<Self, HarnessError> {
        let address = running.address();
        let proxy = proxied
            .then(|| Proxy::start(loopback_any_port(), address))
            .transpose()?;
        Ok(Self {
            name,
            address,
            checks_fencing: false,
            proxy,
            _running: running,
        })
    }

    /// The address in the configuration tree.
    pub fn advertised_address(&self) -> SocketAddr {
        self.proxy.as_ref().map_or(self.address, Proxy::address)
    }
}

/// The weight store, engines and service servers of a cluster.
#[derive(Debug)]
pub struct Upstreams {
    /// The weight store stand-in.
    pub weights: RunningServer,
    /// The engine stand-ins.
    pub engines: Vec<UpstreamStandIn>,
    /// The service stand-ins.
    pub servers: Vec<UpstreamStandIn>,
}

/// Loopback address with an ephemeral port.
pub(super) fn loopback_any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

impl Upstreams {
    pub(super) fn start(spec: &ClusterSpec) -> Result<Self, HarnessError> {
        let weights = weights::start(loopback_any_port(), spec.weights.clone())?;
        let engines = (1..=spec.engines).map(|n| {
            let checks_fencing = n % 3 != 0;
            let cfg = EngineSettings {
                checks_fencing,
                weight_store: Some(weights.address()),
                ..spec.engine.clone()
            };
            let running = engine::start(loopback_any_port(), cfg)?;
            let mut engine =
                UpstreamStandIn::new(format!("engine-{n}"), running, spec.has_proxied_upstreams)?;
            engine.checks_fencing = checks_fencing;
            Ok::<_, HarnessError>(engine)
        });
        let engines = engines.collect::<Result<_, _>>()?;
        let servers = (1..=spec.servers).map(|n| {
            let running = service::start(loopback_any_port())?;
            UpstreamStandIn::new(format!("server-{n}"), running, spec.has_proxied_upstreams)
        });
        let servers = servers.collect::<Result<_, _>>()?;
        Ok(Self {
            weights,
            engines,
            servers,
        })
    }

    /// Fetches the record of each engine.
    ///
    /// # Panics
    ///
    /// When a stand-in doesn't answer.
    pub async fn engine_records(&self) -> Vec<EngineRecord> {
        let mut records = Vec::new();
        for engine in &self.engines {
            let record = get_json(engine.address, "/stand-in/record").await;
            let record = record.expect("the engine stand-in answers");
            records.push(serde_json::from_value(record).expect("a record"));
        }
        records
    }

    /// Fetches the calls executed by all servers.
    ///
    /// # Panics
    ///
    /// When a stand-in doesn't answer.
    pub async fn served_calls(&self) -> Vec<ServedCall> {
        let mut calls = Vec::new();
        for server in &self.servers {
            let record = get_json(server.address, "/stand-in/record").await;
            let record = record.expect("the service stand-in answers");
            let server_calls: Vec<ServedCall> = serde_json::from_value(record).expect("a record");
            calls.extend(server_calls);
        }
        calls
    }
}
