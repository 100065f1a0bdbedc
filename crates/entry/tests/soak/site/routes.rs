//! The routes and services, and the configurations that name them.

use {
    crate::deployment,
    serde_json::{Value, json},
    std::time::Duration,
};

/// Routes and accounts that no caller uses, in every other configuration.
const UNUSED_ROUTES: u64 = 300;
const UNUSED_ACCOUNTS: u64 = 40;

/// How the upstreams of a service answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// With a stream of this many events.
    Stream(u64),
    Call,
}

#[derive(Debug)]
pub struct Service {
    pub name: &'static str,
    pub upstreams: usize,
    pub answer: Answer,
}

#[derive(Debug)]
pub struct Route {
    pub name: &'static str,
    pub target: &'static str,
    pub method: &'static str,
    kind: &'static str,
    service: &'static str,
    attempts: u32,
    pub is_resumable: bool,
    timeout_ms: u64,
    pub deadline_ms: u64,
    /// Events of a whole answer, if it is a stream.
    pub events: Option<u64>,
    /// How many clients use it at each VM.
    pub clients: usize,
}

pub const SERVICES: [Service; 3] = [
    Service {
        name: "drafts",
        upstreams: 6,
        answer: Answer::Stream(24),
    },
    Service {
        name: "books",
        upstreams: 3,
        answer: Answer::Stream(86),
    },
    Service {
        name: "app",
        upstreams: 3,
        answer: Answer::Call,
    },
];

pub const ROUTES: [Route; 5] = [
    Route {
        name: "draft",
        target: "/draft/x",
        method: "POST",
        kind: "streaming",
        service: "drafts",
        attempts: 2,
        is_resumable: true,
        timeout_ms: 5_000,
        deadline_ms: 5_000,
        events: Some(24),
        clients: 3,
    },
    Route {
        name: "note",
        target: "/note/x",
        method: "POST",
        kind: "streaming",
        service: "drafts",
        attempts: 1,
        is_resumable: false,
        timeout_ms: 5_000,
        deadline_ms: 5_000,
        events: Some(24),
        clients: 1,
    },
    Route {
        name: "book",
        target: "/book/x",
        method: "POST",
        kind: "streaming",
        service: "books",
        attempts: 2,
        is_resumable: true,
        timeout_ms: 15_000,
        deadline_ms: 15_000,
        events: Some(86),
        clients: 1,
    },
    Route {
        name: "write",
        target: "/write/x",
        method: "POST",
        kind: "non_idempotent",
        service: "app",
        attempts: 1,
        is_resumable: false,
        timeout_ms: 800,
        deadline_ms: 1_500,
        events: None,
        clients: 1,
    },
    Route {
        name: "read",
        target: "/read/x",
        method: "GET",
        kind: "idempotent",
        service: "app",
        attempts: 2,
        is_resumable: false,
        timeout_ms: 5_000,
        deadline_ms: 5_000,
        events: None,
        clients: 1,
    },
];

impl Route {
    pub fn of(target: &str) -> &'static Self {
        let mut routes = ROUTES.iter();
        routes.find(|route| route.target == target).unwrap()
    }

    /// The time that a request has from its caller and its route.
    pub fn time_limit(&self) -> Duration {
        Duration::from_millis(self.timeout_ms.min(self.deadline_ms))
    }

    fn value(
        &self,
        pattern: &Value,
    ) -> Value {
        let mut route = pattern.clone();
        route["name"] = json!(self.name);
        route["path_prefix"] = json!(format!("/{}/", self.name));
        route["kind"] = json!(self.kind);
        route["service"] = json!(self.service);
        route["attempts"] = json!(self.attempts);
        route["resumable"] = json!(self.is_resumable);
        route["timeout_ms"] = json!(self.timeout_ms);
        route["slo_ms"] = json!(1_000);
        route["gap_aim_ms"] = json!(250);
        route
    }
}

/// A version of the configuration; the used parts stay the same.
pub fn config(version: u64) -> Value {
    let mut config = deployment::config(version);
    let pattern = config["routes"][0].clone();
    let mut routes: Vec<Value> = ROUTES.iter().map(|route| route.value(&pattern)).collect();
    if version.is_multiple_of(2) {
        routes.extend((0..UNUSED_ROUTES).map(|number| {
            let mut route = pattern.clone();
            route["name"] = json!(format!("unused-{number}"));
            route["path_prefix"] = json!(format!("/unused-{number}/"));
            route
        }));
        let accounts = config["tenants"].as_array_mut().unwrap();
        accounts.extend((0..UNUSED_ACCOUNTS).map(|number| {
            json!({"name": format!("unused-{number}"), "api_keys": [format!("unused-{number}")]})
        }));
    }
    config["routes"] = json!(routes);
    let services = SERVICES
        .iter()
        .map(|service| json!({"name": service.name, "health_path": "/healthz", "max_conns": 100}));
    config["services"] = services.collect();
    config
}
