use {
    super::{
        cluster_spec::ClusterSpec, daemon::Daemon, initial_edit::data_centre, poll::HarnessError,
        upstreams::anywhere,
    },
    crate::proxy::Proxy,
    serde_json::{Value, json},
    std::{
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
    },
};

/// A VM: its two daemons and the links to and from them.
#[derive(Debug)]
pub struct Vm {
    /// Its number.
    pub number: u32,
    /// The gateway, unless it was ended.
    pub gateway: Option<Daemon>,
    /// The controller, unless it was ended.
    pub controller: Option<Daemon>,
    /// From its controller to the platform.
    pub to_platform: Proxy,
    /// From its gateway to its own controller.
    pub to_controller: Proxy,
    /// From all others to its controller.
    pub controller_peers: Proxy,
    /// From all others to its gateway.
    pub gateway_peers: Proxy,
    folder: PathBuf,
}

impl Vm {
    /// Starts the controller; the gateway follows when there is a configuration.
    pub(super) fn start(
        number: u32,
        spec: &ClusterSpec,
        platform: SocketAddr,
        token_digest: &str,
        folder: &Path,
    ) -> Result<Self, HarnessError> {
        let nowhere = anywhere();
        let mut vm = Self {
            number,
            gateway: None,
            controller: None,
            to_platform: Proxy::start(anywhere(), platform)?,
            to_controller: Proxy::start(anywhere(), nowhere)?,
            controller_peers: Proxy::start(anywhere(), nowhere)?,
            gateway_peers: Proxy::start(anywhere(), nowhere)?,
            folder: folder.to_owned(),
        };
        let any = anywhere();
        let store = format!("http://{}", vm.to_platform.address());
        vm.write(
            "controller",
            &json!({
                "vm": number,
                "data_centre": data_centre(spec, number - 1),
                "listen": {"operators": any, "peers": any, "status": any},
                "advertise": {"peers": vm.controller_peers.address()},
                "platform": {"kv": [store], "vms": store},
                "operators": {"token_digests": [token_digest]},
                "lease_ms": spec.lease,
                "stop": {"grace_ms": 200, "deadline_ms": 10_000},
            }),
        )?;
        vm.write(
            "gateway",
            &json!({
                "vm": number,
                "data_centre": data_centre(spec, number - 1),
                "listen": {"callers": any, "peers": any, "status": any},
                "advertise": {"peers": vm.gateway_peers.address()},
                "controller": vm.to_controller.address(),
                "config_stale_ms": spec.config_stale,
                "stop": {"grace_ms": 200, "deadline_ms": 10_000},
            }),
        )?;
        vm.start_controller()?;
        Ok(vm)
    }

    /// Starts the controller, anew if it was ended.
    ///
    /// # Errors
    ///
    /// As [`Daemon::start`].
    pub fn start_controller(&mut self) -> Result<(), HarnessError> {
        let daemon = Daemon::start("jasmine-controller", &self.file("controller"))?;
        self.to_controller.retarget(daemon.port("peers"));
        self.controller_peers.retarget(daemon.port("peers"));
        self.controller = Some(daemon);
        Ok(())
    }

    /// Starts the gateway, anew if it was ended.
    ///
    /// # Errors
    ///
    /// As [`Daemon::start`].
    pub fn start_gateway(&mut self) -> Result<(), HarnessError> {
        let daemon = Daemon::start("jasmine-gateway", &self.file("gateway"))?;
        self.gateway_peers.retarget(daemon.port("peers"));
        self.gateway = Some(daemon);
        Ok(())
    }

    /// Where callers reach its gateway.
    ///
    /// # Panics
    ///
    /// When the gateway doesn't run: a defect of the test.
    pub fn callers(&self) -> SocketAddr {
        self.gateway
            .as_ref()
            .expect("the gateway runs")
            .port("callers")
    }

    /// Where operators reach its controller.
    ///
    /// # Panics
    ///
    /// When the controller doesn't run: a defect of the test.
    pub fn operators(&self) -> SocketAddr {
        self.controller
            .as_ref()
            .expect("the controller runs")
            .port("operators")
    }

    fn file(
        &self,
        role: &str,
    ) -> PathBuf {
        self.folder.join(format!("{role}-{}.json", self.number))
    }

    fn write(
        &self,
        role: &str,
        settings: &Value,
    ) -> Result<(), HarnessError> {
        Ok(fs::write(self.file(role), format!("{settings:#}\n"))?)
    }
}
