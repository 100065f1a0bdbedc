//! The configuration of a run, and its changes.

use {
    super::ending::ENDING_SERVICE,
    crate::deployment,
    rand::Rng,
    rand_chacha::ChaCha8Rng,
    serde_json::{Value, json},
    std::time::Duration,
};

/// Idle time-outs, in milliseconds.
const IDLE_TIMEOUTS_MS: [u64; 4] = [700, 1_500, 3_000, 5_000];
/// The deadline of requests; the time-out of most routes is the same.
pub const DEADLINE: Duration = Duration::from_secs(5);
/// Other time-outs of routes, in milliseconds.
const TIMEOUTS_MS: [u64; 3] = [3_500, 4_250, 8_000];
/// Routes whose time-out changes.
const TIMED_ROUTES: [&str; 6] = ["read", "write", "flow", "build", "split", "moved"];
/// Services that serve the route `moved`.
const MOVED_TO: [&str; 2] = ["app", "spare"];
/// Weight of both services of a route together.
const WEIGHTS: u64 = 100;
/// Routes and accounts that no caller uses.
const UNUSED_ROUTES: u64 = 300;
const UNUSED_ACCOUNTS: u64 = 40;
/// Rates of the callers' accounts, in tokens a second: enough for all of them, and scarce for the small one.
const RATES: [u64; 2] = [1_000_000, 300_000];
const SMALL_RATES: [u64; 2] = [100, 1_000];
/// API key of the account `small`.
pub const SMALL_KEY: &str = "key-of-small";

/// An account whose callers send bursts, with its API key and their target.
pub struct BurstAccount {
    pub name: &'static str,
    pub key: &'static str,
    pub target: &'static str,
    priority: u8,
}

pub const BURST_ACCOUNTS: [BurstAccount; 3] = [
    BurstAccount {
        name: "urgent",
        key: "key-of-urgent",
        target: "/busy/urgent",
        priority: 0,
    },
    BurstAccount {
        name: "usual",
        key: "key-of-usual",
        target: "/busy/usual",
        priority: 2,
    },
    BurstAccount {
        name: "patient",
        key: "key-of-patient",
        target: "/busy/patient",
        priority: 6,
    },
];
/// The service that gets them.
pub const BUSY_SERVICE: &str = "busy";

/// A change of the configuration.
#[derive(Clone, Copy, Debug)]
pub enum ConfigChange {
    /// The service that serves a route.
    Service(&'static str),
    /// A route is added or removed.
    Route,
    /// The weights of a route's services.
    Weights(u64),
    /// The time-out of routes.
    Timeout(u64),
    /// Accounts are added or removed.
    Accounts,
    /// The rates of accounts.
    Rates,
    IdleTimeout(u64),
    /// Many routes are added or removed.
    ManyRoutes,
}

impl ConfigChange {
    pub fn draw(rng: &mut ChaCha8Rng) -> Self {
        match rng.random_range(0..9) {
            0 => Self::Service(MOVED_TO[rng.random_range(0..MOVED_TO.len())]),
            1 => Self::Route,
            2 => Self::Weights(rng.random_range(0..=WEIGHTS)),
            3 => Self::Timeout(TIMEOUTS_MS[rng.random_range(0..TIMEOUTS_MS.len())]),
            4 => Self::Accounts,
            5 => Self::Rates,
            6 => Self::ManyRoutes,
            _ => Self::IdleTimeout(IDLE_TIMEOUTS_MS[rng.random_range(0..IDLE_TIMEOUTS_MS.len())]),
        }
    }
}

/// A version of the configuration that was published.
#[derive(Clone, Copy, Debug)]
pub struct Published {
    pub version: u64,
    pub idle_timeout: Duration,
    /// The time-out of [`TIMED_ROUTES`].
    timeout: Duration,
}

impl Published {
    /// The time that a request has from its caller and its route.
    pub fn time_limit(
        &self,
        target: &str,
    ) -> Duration {
        let route = target.split('/').nth(1).unwrap_or_default();
        if TIMED_ROUTES.contains(&route) {
            self.timeout.min(DEADLINE)
        } else {
            DEADLINE
        }
    }
}

/// The configuration of a run.
#[derive(Clone, Debug)]
pub struct Configuration {
    version: u64,
    /// The service of the route `moved`.
    moved_to: &'static str,
    has_extra_route: bool,
    weight: u64,
    timeout_ms: u64,
    idle_timeout_ms: u64,
    unused_accounts: u64,
    unused_routes: u64,
    rates: usize,
}

impl Default for Configuration {
    fn default() -> Self {
        Self {
            version: 0,
            moved_to: "app",
            has_extra_route: true,
            weight: WEIGHTS / 2,
            timeout_ms: 5_000,
            idle_timeout_ms: 5_000,
            unused_accounts: 0,
            unused_routes: 0,
            rates: 0,
        }
    }
}

impl Configuration {
    pub const fn change(
        &mut self,
        change: ConfigChange,
    ) {
        match change {
            ConfigChange::Service(service) => self.moved_to = service,
            ConfigChange::Route => self.has_extra_route = !self.has_extra_route,
            ConfigChange::Weights(weight) => self.weight = weight,
            ConfigChange::Timeout(timeout_ms) => self.timeout_ms = timeout_ms,
            ConfigChange::Accounts => self.unused_accounts = UNUSED_ACCOUNTS - self.unused_accounts,
            ConfigChange::Rates => self.rates = 1 - self.rates,
            ConfigChange::IdleTimeout(idle_ms) => self.idle_timeout_ms = idle_ms,
            ConfigChange::ManyRoutes => self.unused_routes = UNUSED_ROUTES - self.unused_routes,
        }
    }

    /// The next version, and what callers may rely on once it is published.
    pub fn next(&mut self) -> (Value, Published) {
        self.version += 1;
        let published = Published {
            version: self.version,
            idle_timeout: Duration::from_millis(self.idle_timeout_ms),
            timeout: Duration::from_millis(self.timeout_ms),
        };
        (self.value(), published)
    }

    fn value(&self) -> Value {
        let mut config = deployment::config(self.version);
        config["limits"]["idle_timeout_ms"] = json!(self.idle_timeout_ms);
        let mut prompts = config["services"][1].clone();
        prompts["name"] = json!("prompts");
        let services = config["services"].as_array_mut().unwrap();
        services.extend(
            ["flows", "builds", "spare", ENDING_SERVICE, BUSY_SERVICE]
                .map(|name| json!({"name": name, "health_path": "/healthz", "max_conns": 100})),
        );
        services.push(prompts);
        services[0]["cold_per_s"] = json!(40);
        services[0]["cold_start_s"] = json!(1);
        let routes = config["routes"].as_array_mut().unwrap();
        let derive = |from: &Value, name: &str, service: &str| {
            let mut route = from.clone();
            route["name"] = json!(name);
            route["path_prefix"] = json!(format!("/{name}/"));
            route["service"] = json!(service);
            route
        };
        let mut split = derive(&routes[0], "split", "app");
        split["traffic_split"] = json!([
            {"service": "app", "weight": self.weight},
            {"service": "spare", "weight": WEIGHTS - self.weight},
        ]);
        let mut added = vec![
            derive(&routes[2], "flow", "flows"),
            derive(&routes[2], "build", "builds"),
            derive(&routes[5], "part", "prompts"),
            derive(&routes[0], "busy", BUSY_SERVICE),
            derive(&routes[0], "end", ENDING_SERVICE),
            derive(&routes[2], "endstream", ENDING_SERVICE),
            derive(&routes[0], "small", "app"),
            derive(&routes[0], "moved", self.moved_to),
            split,
        ];
        if self.has_extra_route {
            added.push(derive(&routes[0], "extra", "spare"));
        }
        added.extend(
            (0..self.unused_routes)
                .map(|number| derive(&routes[0], &format!("unused-{number}"), "app")),
        );
        routes.extend(added);
        let is_timed = |route: &&mut Value| {
            let name = route["name"].as_str().unwrap_or_default();
            TIMED_ROUTES.contains(&name)
        };
        for route in routes.iter_mut().filter(is_timed) {
            route["timeout_ms"] = json!(self.timeout_ms);
        }
        let accounts = config["tenants"].as_array_mut().unwrap();
        for (account, rates) in accounts.iter_mut().zip([RATES, SMALL_RATES]) {
            account["rate_per_s"] = json!(rates[self.rates]);
            account["burst"] = json!(rates[self.rates]);
        }
        accounts.extend(BURST_ACCOUNTS.iter().map(|account| {
            json!({"name": account.name, "api_keys": [account.key], "priority": account.priority})
        }));
        accounts.extend((0..self.unused_accounts).map(|number| {
            json!({"name": format!("unused-{number}"), "api_keys": [format!("unused-{number}")]})
        }));
        config
    }
}
