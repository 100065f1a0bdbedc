//! Controller processes and a simulated platform, with one proxy per controller in between.

#![expect(dead_code, reason = "each test file uses only some helpers")]

pub mod gateway_calls;

use {
    awc::http::Method,
    jasmine_conf::settings::TokenDigest,
    jasmine_core::ids::{Holder, Incarnation, Role, VmId},
    jasmine_testkit::{
        RunningServer,
        client::{Answer, Call, get_json, post_json},
        harness::{Daemon, poll},
        platform,
        proxy::Proxy,
    },
    jasmine_wire::{
        jasmine_capnp::controller,
        link::{Link, LinkOptions},
    },
    serde_json::{Value, json},
    std::{
        fs,
        net::SocketAddr,
        path::PathBuf,
        sync::atomic::{AtomicU32, Ordering},
        time::Duration,
    },
};

const TOKEN: &str = "operators-token";

/// Timeout of waits that do not depend on a lease expiry.
pub const REPLY_TIMEOUT: Duration = Duration::from_secs(8);

/// Timeout of waits that include a lease expiry.
pub const LEASE_EXPIRY_TIMEOUT: Duration = Duration::from_secs(20);

/// A controller process and the proxy of its platform connection.
pub struct Controller {
    pub vm: u32,
    pub daemon: Daemon,
    pub to_platform: Proxy,
}

/// The simulated platform and its controllers.
pub struct Fleet {
    pub controllers: Vec<Controller>,
    pub platform: RunningServer,
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.folder).unwrap_or_default();
    }
}

impl Fleet {
    /// Starts the platform without controllers.
    pub fn empty() -> Self {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let n = COUNT.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("controllers-{}-{n}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        Self {
            controllers: Vec::new(),
            platform: platform::start(any_local_port()).unwrap(),
            folder,
        }
    }

    /// Starts `vms` controllers and waits until all are ready.
    pub async fn start(vms: u32) -> Self {
        let mut fleet = Self::empty();
        let listed = (1..=vms + 2)
            .map(|vm| json!({"vm": vm, "address": "127.0.0.1", "state": "live"}))
            .collect();
        fleet.list_vms(Value::Array(listed)).await;
        for vm in 1..=vms {
            fleet.add(vm);
        }
        for vm in 1..=vms {
            fleet.wait_ready(vm).await;
        }
        fleet
    }

    /// Starts the controller of a VM in data centre `dc-{vm % 3}`.
    pub fn add(
        &mut self,
        vm: u32,
    ) {
        let to_platform = Proxy::start(any_local_port(), self.platform.address()).unwrap();
        let any = any_local_port();
        let store = format!("http://{}", to_platform.address());
        let settings = json!({
            "vm": vm,
            "data_centre": format!("dc-{}", vm % 3),
            "listen": {"operators": any, "peers": any, "status": any},
            "platform": {"kv": [store], "vms": store, "timeout_ms": 500},
            "operators": {"token_digests": [TokenDigest::of(TOKEN).to_string()]},
            "lease_ms": 2000,
            "stop": {"grace_ms": 100, "deadline_ms": 5000},
        });
        let file = self.folder.join(format!("{vm}.json"));
        fs::write(&file, settings.to_string()).unwrap();
        self.controllers.push(Controller {
            vm,
            daemon: Daemon::start("jasmine-controller", &file).unwrap(),
            to_platform,
        });
    }

    /// The controller of a VM; the newest one after restarts.
    pub fn at(
        &self,
        vm: u32,
    ) -> &Controller {
        let mut newest_first = self.controllers.iter().rev();
        newest_first
            .find(|controller| controller.vm == vm)
            .expect("a VM of this fleet")
    }

    pub async fn wait_ready(
        &self,
        vm: u32,
    ) -> Duration {
        let call = Call::new(self.at(vm).daemon.port("status"), Method::GET, "/readyz");
        let look = || async {
            match call.send().await {
                Ok(answer) if answer.status == 200 => Ok(()),
                other => Err(format!("{other:?}")),
            }
        };
        poll("ready", LEASE_EXPIRY_TIMEOUT, look).await.unwrap().0
    }

    pub async fn edit(
        &self,
        vm: u32,
        id: &str,
        ops: Value,
    ) -> Answer {
        let base = self.revision(vm).await;
        self.edit_from(vm, id, base, ops).await
    }

    pub async fn edit_from(
        &self,
        vm: u32,
        id: &str,
        base: u64,
        ops: Value,
    ) -> Answer {
        let body = json!({"id": id, "author": "test", "base": base, "ops": ops});
        let to = self.at(vm).daemon.port("operators");
        let call = Call::new(to, Method::POST, "/v1/edits")
            .key(TOKEN)
            .body(body);
        call.send().await.unwrap()
    }

    pub async fn get(
        &self,
        vm: u32,
        path: &str,
    ) -> Value {
        let to = self.at(vm).daemon.port("operators");
        let call = Call::new(to, Method::GET, path).key(TOKEN);
        call.send().await.unwrap().json
    }

    pub async fn revision(
        &self,
        vm: u32,
    ) -> u64 {
        let tree = self.get(vm, "/v1/tree?limit=1").await;
        tree["revision"].as_u64().unwrap_or_default()
    }

    /// Waits until a VM has reached a revision and returns the time taken.
    pub async fn wait_revision(
        &self,
        vm: u32,
        wanted: u64,
    ) -> Duration {
        let look = || async {
            match self.revision(vm).await {
                have if have >= wanted => Ok(()),
                have => Err(format!("revision {have}")),
            }
        };
        poll("revision", REPLY_TIMEOUT, look).await.unwrap().0
    }

    pub async fn fault(
        &self,
        faults: Value,
    ) {
        post_json(self.platform.address(), "/stand-in/fault", faults)
            .await
            .unwrap();
    }

    pub async fn list_vms(
        &self,
        vms: Value,
    ) {
        post_json(
            self.platform.address(),
            "/stand-in/vms",
            json!({ "vms": vms }),
        )
        .await
        .unwrap();
    }

    /// Call counters of the simulated platform.
    pub async fn calls(&self) -> Value {
        get_json(self.platform.address(), "/stand-in/calls")
            .await
            .unwrap()
    }

    /// Sum of all series of a metric on a VM's metrics page.
    pub async fn metric(
        &self,
        vm: u32,
        name: &str,
    ) -> f64 {
        let to = self.at(vm).daemon.port("status");
        let url = format!("http://{to}/metrics");
        let mut res = awc::Client::default().get(url).send().await.unwrap();
        let page = res.body().await.unwrap();
        let page = String::from_utf8_lossy(&page);
        let rows = page.lines().filter(|line| line.starts_with(name));
        rows.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
            .sum()
    }

    /// VM numbers with their owned engines, as reported by the controller of `asked`.
    pub async fn owned(
        &self,
        asked: u32,
    ) -> Vec<(u32, u64)> {
        let fleet = self.get(asked, "/v1/fleet").await;
        let vms = fleet["vms"].as_array().cloned().unwrap_or_default();
        vms.iter()
            .map(|vm| {
                let number = vm["vm"].as_u64().unwrap_or_default() as u32;
                (number, vm["owned"].as_u64().unwrap_or_default())
            })
            .collect()
    }

    /// An RPC link to the controller of a VM.
    pub fn link(
        &self,
        vm: u32,
    ) -> Link<controller::Client> {
        Link::new(self.at(vm).daemon.port("peers"), LinkOptions::default())
    }
}

/// Identity of the gateway of a VM.
pub fn gateway(vm: u32) -> Holder {
    Holder {
        vm: VmId(vm),
        role: Role::Gateway,
        incarnation: Incarnation(1),
    }
}

pub fn any_local_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// Operations that create three data centres, a model, one engine per address and two adapters.
pub fn setup_ops(engines: &[SocketAddr]) -> Value {
    let create = |path: String, kind: &str, settings: Value| json!({"op": "create", "path": path, "kind": kind, "settings": settings});
    let mut ops = vec![create("/models/base".into(), "model", json!({}))];
    for n in 0..3 {
        let settings = json!({"region": "home"});
        ops.push(create(
            format!("/data-centres/dc-{n}"),
            "data-centre",
            settings,
        ));
    }
    for (n, address) in engines.iter().enumerate() {
        let settings = json!({
            "address": address, "model": "base", "slots": 4, "max_batch": 8,
            "data_centre": format!("dc-{}", n % 3),
        });
        ops.push(create(format!("/upstreams/engine-{n}"), "engine", settings));
    }
    for n in 1..=2 {
        let path = format!("/adapters/notes-{n}");
        let settings = json!({"model": "base", "access": "all"});
        ops.push(create(path.clone(), "adapter", settings));
        let settings = json!({"weights": format!("notes-{n}-v1")});
        ops.push(create(format!("{path}/1"), "version", settings));
    }
    json!(ops)
}

/// Operations that create an account.
pub fn account(name: &str) -> Value {
    json!([{
        "op": "create", "path": format!("/accounts/{name}"), "kind": "account",
        "settings": {"rate": 100, "burst": 1000},
    }])
}
