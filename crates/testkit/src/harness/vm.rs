use {
    super::{
        cluster_spec::ClusterSpec, daemon::Daemon, initial_edit::data_centre, poll::HarnessError,
        upstreams::loopback_any_port,
    },
    crate::proxy::Proxy,
    serde_json::{Value, json},
    std::{
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
    },
};

/// A VM with its two daemons and the proxied links between them.
#[derive(Debug)]
pub struct Vm {
    /// VM id.
    pub number: u32,
    /// The gateway, `None` when stopped.
    pub gateway: Option<Daemon>,
    /// The controller, `None` when stopped.
    pub controller: Option<Daemon>,
    /// Link from its controller to the platform.
    pub platform_link: Proxy,
    /// Link from its gateway to its controller.
    pub controller_link: Proxy,
    /// Link from other daemons to its controller.
    pub controller_peer_link: Proxy,
    /// Link from other daemons to its gateway.
    pub gateway_peer_link: Proxy,
    settings_dir: PathBuf,
}

impl Vm {
    /// Writes the settings and starts the controller, but not the gateway.
    pub(super) fn start(
        number: u32,
        spec: &ClusterSpec,
        platform: SocketAddr,
        token_digest: &str,
        settings_dir: &Path,
    ) -> Result<Self, HarnessError> {
        let placeholder = loopback_any_port();
        let mut vm = Self {
            number,
            gateway: None,
            controller: None,
            platform_link: Proxy::start(loopback_any_port(), platform)?,
            controller_link: Proxy::start(loopback_any_port(), placeholder)?,
            controller_peer_link: Proxy::start(loopback_any_port(), placeholder)?,
            gateway_peer_link: Proxy::start(loopback_any_port(), placeholder)?,
            settings_dir: settings_dir.to_owned(),
        };
        let any = loopback_any_port();
        let store = format!("http://{}", vm.platform_link.address());
        vm.write_settings(
            "controller",
            &json!({
                "vm": number,
                "data_centre": data_centre(spec, number - 1),
                "listen": {"operators": any, "peers": any, "status": any},
                "advertise": {"peers": vm.controller_peer_link.address()},
                "platform": {"kv": [store], "vms": store},
                "operators": {"token_digests": [token_digest]},
                "lease_ms": spec.lease,
                "stop": {"grace_ms": 200, "deadline_ms": 10_000},
            }),
        )?;
        vm.write_settings(
            "gateway",
            &json!({
                "vm": number,
                "data_centre": data_centre(spec, number - 1),
                "listen": {"callers": any, "peers": any, "status": any},
                "advertise": {"peers": vm.gateway_peer_link.address()},
                "controller": vm.controller_link.address(),
                "config_stale_ms": spec.max_config_age,
                "stop": {"grace_ms": 200, "deadline_ms": 10_000},
            }),
        )?;
        vm.start_controller()?;
        Ok(vm)
    }

    /// Starts or restarts the controller.
    ///
    /// # Errors
    ///
    /// As [`Daemon::start`].
    pub fn start_controller(&mut self) -> Result<(), HarnessError> {
        let daemon = Daemon::start("jasmine-controller", &self.settings_path("controller"))?;
        self.controller_link.retarget(daemon.port("peers"));
        self.controller_peer_link.retarget(daemon.port("peers"));
        self.controller = Some(daemon);
        Ok(())
    }

    /// Starts or restarts the gateway.
    ///
    /// # Errors
    ///
    /// As [`Daemon::start`].
    pub fn start_gateway(&mut self) -> Result<(), HarnessError> {
        let daemon = Daemon::start("jasmine-gateway", &self.settings_path("gateway"))?;
        self.gateway_peer_link.retarget(daemon.port("peers"));
        self.gateway = Some(daemon);
        Ok(())
    }

    /// Caller address of the gateway.
    ///
    /// # Panics
    ///
    /// When the gateway is not running.
    pub fn caller_address(&self) -> SocketAddr {
        self.gateway
            .as_ref()
            .expect("the gateway runs")
            .port("callers")
    }

    /// Operator address of the controller.
    ///
    /// # Panics
    ///
    /// When the controller is not running.
    pub fn operator_address(&self) -> SocketAddr {
        self.controller
            .as_ref()
            .expect("the controller runs")
            .port("operators")
    }

    fn settings_path(
        &self,
        role: &str,
    ) -> PathBuf {
        self.settings_dir
            .join(format!("{role}-{}.json", self.number))
    }

    fn write_settings(
        &self,
        role: &str,
        settings: &Value,
    ) -> Result<(), HarnessError> {
        Ok(fs::write(
            self.settings_path(role),
            format!("{settings:#}\n"),
        )?)
    }
}
