use {
    super::fake_controller::{ControllerState, FakeController, edit},
    jasmine_conf::{fleet::KeyDigest, hex, tree::Tree},
    jasmine_testkit::{
        RunningServer,
        client::{Answer, Call, get_json, post_json},
        engine::{self, EngineRecord, EngineSettings},
        harness::{Daemon, poll},
        proxy::Proxy,
        service::{self, ServedCall},
    },
    serde_json::{Value, json},
    std::{
        fs,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::PathBuf,
        process,
        sync::atomic::{AtomicU32, Ordering},
        time::Duration,
    },
};

/// API key of the account `clinic`.
pub const KEY: &str = "clinic-key-0123456789abcdef";
/// API key of the account `courier`.
pub const OTHER_KEY: &str = "courier-key-0123456789abcdef";

/// First of the loopback addresses of fixtures, above 127.0.0.0/16, which others use.
const FIRST_HOST: u32 = 0x7f01_0000;
/// Number of loopback addresses of fixtures, up to 127.254.255.255.
const HOSTS: u32 = 254 << 16;
/// Number of loopback addresses of a test process, more than it has fixtures.
const HOSTS_PER_PROCESS: u32 = 512;

/// Settings of a [`GatewayFixture`].
#[derive(Clone, Debug)]
pub struct FixtureSettings {
    /// Number of engines.
    pub engines: u32,
    /// Settings of each engine.
    pub engine: EngineSettings,
    /// Number of servers of the service `phones`.
    pub servers: u32,
    /// Rate of each account, in tokens per second.
    pub rate: u64,
    /// Burst of each account, in tokens.
    pub burst: u64,
    /// Whether upstreams are reached through fault-injecting proxies.
    pub is_proxied: bool,
    /// Value of the gateway's `limits` setting.
    pub limits: Value,
    /// Value of the gateway's `config_stale_ms` setting.
    pub config_stale_ms: u64,
    /// Grace period and deadline of a planned shutdown, in milliseconds.
    pub stop: (u64, u64),
}

impl Default for FixtureSettings {
    fn default() -> Self {
        Self {
            engines: 2,
            engine: EngineSettings {
                step_us: 2_000,
                step_per_request_us: 50,
                step_per_adapter_us: 50,
                ..EngineSettings::default()
            },
            servers: 2,
            rate: 1_000_000,
            burst: 1_000_000,
            is_proxied: true,
            limits: json!({}),
            config_stale_ms: 10_000,
            stop: (100, 5_000),
        }
    }
}

/// A gateway process with its controller and upstreams.
#[derive(Debug)]
pub struct GatewayFixture {
    /// The loopback address of all listeners of this fixture.
    ///
    /// No other test listens on it. Otherwise one could take a port that this one has closed, and would
    /// get the calls of this one's gateway.
    pub host: IpAddr,
    /// The gateway process.
    pub gateway: Daemon,
    /// The fake controller.
    pub controller: FakeController,
    /// Proxies in front of the engines.
    pub engine_links: Vec<Proxy>,
    /// Proxies in front of the servers.
    pub server_links: Vec<Proxy>,
    engines: Vec<RunningServer>,
    servers: Vec<RunningServer>,
    settings: PathBuf,
}

impl Drop for GatewayFixture {
    fn drop(&mut self) {
        drop(fs::remove_file(&self.settings));
    }
}

impl GatewayFixture {
    /// Starts all processes and waits until the gateway is ready.
    pub async fn start(spec: FixtureSettings) -> Self {
        let host = next_host();
        let any_port = SocketAddr::new(host, 0);
        let engines: Vec<_> = (0..spec.engines)
            .map(|_| engine::start(any_port, spec.engine.clone()).expect("an engine"))
            .collect();
        let servers: Vec<_> = (0..spec.servers)
            .map(|_| service::start(any_port).expect("a service"))
            .collect();
        let link =
            |running: &RunningServer| Proxy::start(any_port, running.address()).expect("a proxy");
        let engine_links: Vec<_> = engines.iter().map(link).collect();
        let server_links: Vec<_> = servers.iter().map(link).collect();
        let addresses_of = |links: &[Proxy], behind: &[RunningServer]| -> Vec<SocketAddr> {
            if spec.is_proxied {
                links.iter().map(Proxy::address).collect()
            } else {
                behind.iter().map(RunningServer::address).collect()
            }
        };
        let engine_addresses = addresses_of(&engine_links, &engines);
        let server_addresses = addresses_of(&server_links, &servers);
        let mut tree = Tree::default();
        edit(
            &mut tree,
            initial_ops(&spec, &engine_addresses, &server_addresses),
        );
        let fleet = tree.resolve();
        let upstream_of = |name: &str| {
            fleet
                .upstreams
                .iter()
                .find(|upstream| upstream.name == name)
        };
        let owned_engines = (1..=spec.engines).zip(&engines).map(|(n, engine)| {
            let upstream = upstream_of(&format!("engine-{n}")).expect("in the tree");
            (upstream.id.0, engine.address())
        });
        let state = ControllerState {
            engines: owned_engines.collect(),
            tree,
            fresh_ms: Some(0),
            accepts_claims: true,
            boot: 1,
            ..ControllerState::default()
        };
        let controller = FakeController::start(host, state);
        let settings = write_settings(&spec, any_port, controller.address);
        let gateway = Daemon::start("jasmine-gateway", &settings).expect("a gateway");
        let fixture = Self {
            host,
            gateway,
            controller,
            engine_links,
            server_links,
            engines,
            servers,
            settings,
        };
        fixture.wait_ready(true).await;
        fixture
    }

    /// Waits until the gateway reports the readiness `wanted`.
    pub async fn wait_ready(
        &self,
        wanted: bool,
    ) {
        let status = self.gateway.port("status");
        let check = || async move {
            let answer = Call::new(status, awc::http::Method::GET, "/readyz")
                .send()
                .await;
            let ready = answer.is_ok_and(|answer| answer.status == 200);
            (ready == wanted)
                .then_some(())
                .ok_or_else(|| format!("ready={ready}"))
        };
        poll("readiness", Duration::from_secs(15), check)
            .await
            .expect("readiness");
    }

    /// Returns a streamed or buffered chat completion request.
    pub fn chat(
        &self,
        model: &str,
        prompt: &str,
        max_tokens: u32,
        stream: bool,
    ) -> Call {
        Call::chat(
            self.gateway.port("callers"),
            KEY,
            model,
            prompt,
            max_tokens,
            stream,
        )
    }

    /// Returns a request with the key of `clinic`.
    pub fn call(
        &self,
        method: awc::http::Method,
        path: &str,
    ) -> Call {
        Call::new(self.gateway.port("callers"), method, path).key(KEY)
    }

    /// Returns the addresses of the servers, without proxies.
    pub fn server_addresses(&self) -> Vec<SocketAddr> {
        self.servers.iter().map(RunningServer::address).collect()
    }

    /// Returns the addresses of the engines, without proxies.
    pub fn engine_addresses(&self) -> Vec<SocketAddr> {
        self.engines.iter().map(RunningServer::address).collect()
    }

    /// Returns an engine's record of its requests.
    pub async fn record(
        &self,
        engine: usize,
    ) -> EngineRecord {
        let record = get_json(self.engines[engine].address(), "/stand-in/record").await;
        serde_json::from_value(record.expect("an engine")).expect("a record")
    }

    /// Returns all calls executed by any server.
    pub async fn served_calls(&self) -> Vec<ServedCall> {
        let mut all = Vec::new();
        for server in &self.servers {
            let record = get_json(server.address(), "/stand-in/record").await;
            let calls: Vec<ServedCall> =
                serde_json::from_value(record.expect("a server")).expect("a record");
            all.extend(calls);
        }
        all
    }

    /// Sets the faults of an engine; `{}` clears them.
    pub async fn engine_fault(
        &self,
        engine: usize,
        faults: Value,
    ) {
        post_json(self.engines[engine].address(), "/stand-in/fault", faults)
            .await
            .expect("an engine");
    }

    /// Sets the faults of all servers; `{}` clears them.
    pub async fn server_fault(
        &self,
        faults: Value,
    ) {
        for server in &self.servers {
            post_json(server.address(), "/stand-in/fault", faults.clone())
                .await
                .expect("a server");
        }
    }
}

/// Sends a call and returns its response.
pub async fn answer(call: &Call) -> Answer {
    call.send().await.expect("an answer")
}

/// Returns a loopback address that no other fixture uses, also none of another test process.
fn next_host() -> IpAddr {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let n = COUNT.fetch_add(1, Ordering::Relaxed);
    assert!(n < HOSTS_PER_PROCESS, "too many fixtures in a process");
    // All of 127.0.0.0/8 is local on Linux, without configuration.
    let number = process::id()
        .wrapping_mul(HOSTS_PER_PROCESS)
        .wrapping_add(n)
        % HOSTS;
    Ipv4Addr::from(FIRST_HOST + number).into()
}

fn write_settings(
    spec: &FixtureSettings,
    any_port: SocketAddr,
    controller: SocketAddr,
) -> PathBuf {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let n = COUNT.fetch_add(1, Ordering::Relaxed);
    let file = std::env::temp_dir().join(format!("gateway-{}-{n}.json", process::id()));
    let settings = json!({
        "vm": 1,
        "data_centre": "dc-1",
        "listen": {"callers": any_port, "peers": any_port, "status": any_port},
        "controller": controller,
        "limits": spec.limits,
        "config_stale_ms": spec.config_stale_ms,
        "stop": {"grace_ms": spec.stop.0, "deadline_ms": spec.stop.1},
    });
    fs::write(&file, settings.to_string()).expect("a file");
    file
}

fn create(
    path: &str,
    kind: &str,
    settings: &Value,
) -> Value {
    json!({"op": "create", "path": path, "kind": kind, "settings": settings})
}

fn initial_ops(
    spec: &FixtureSettings,
    engines: &[SocketAddr],
    servers: &[SocketAddr],
) -> Value {
    let mut ops = vec![
        create(
            "/data-centres/dc-1",
            "data-centre",
            &json!({"region": "home"}),
        ),
        create("/models/base", "model", &json!({})),
        create("/services/phones", "service", &json!({})),
        create(
            "/services/phones/status",
            "call",
            &json!({"method": "GET", "path": "/phones/{}", "idempotent": true, "cost": 1}),
        ),
        create(
            "/services/phones/enrol",
            "call",
            &json!({
                "method": "POST", "path": "/phones/{}/enrolment", "idempotent": false, "cost": 5,
            }),
        ),
        create(
            "/adapters/notes",
            "adapter",
            &json!({"model": "base", "access": "all"}),
        ),
        create(
            "/adapters/notes/1",
            "version",
            &json!({"weights": "notes-v1"}),
        ),
        create(
            "/adapters/notes/2",
            "version",
            &json!({"weights": "notes-v2"}),
        ),
        json!({"op": "set", "path": "/adapters/notes", "setting": "live", "value": 1}),
    ];
    for (n, address) in (1..).zip(engines) {
        ops.push(create(
            &format!("/upstreams/engine-{n}"),
            "engine",
            &json!({
                "address": address.to_string(), "model": "base", "data_centre": "dc-1",
                "slots": spec.engine.slots, "max_batch": spec.engine.max_batch,
            }),
        ));
    }
    for (n, address) in (1..).zip(servers) {
        ops.push(create(
            &format!("/upstreams/server-{n}"),
            "server",
            &json!({
                "address": address.to_string(), "service": "phones", "data_centre": "dc-1",
            }),
        ));
    }
    for (account, key) in [("clinic", KEY), ("courier", OTHER_KEY)] {
        let path = format!("/accounts/{account}");
        let settings = json!({"rate": spec.rate, "burst": spec.burst});
        ops.push(create(&path, "account", &settings));
        let digest = hex::encode(&KeyDigest::of(key).0);
        ops.push(create(
            &format!("{path}/first"),
            "key",
            &json!({"digest": digest}),
        ));
    }
    Value::Array(ops)
}
