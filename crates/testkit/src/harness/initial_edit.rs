use {
    super::{
        cluster_spec::ClusterSpec,
        upstreams::{UpstreamStandIn, Upstreams},
    },
    jasmine_conf::{fleet::KeyDigest, hex},
    serde_json::{Value, json},
};

/// Ops of the initial configuration; `keys` are in the order of the accounts.
pub(super) fn initial_ops(
    spec: &ClusterSpec,
    upstreams: &Upstreams,
    keys: &[String],
) -> Vec<Value> {
    let mut ops = vec![
        create("/models/base", "model", &json!({})),
        create("/services/phones", "service", &json!({})),
        call("status", "GET", "/phones/{}", true, 1),
        call("enrol", "POST", "/phones/{}/enrolment", false, 5),
        set("/adapters", "model", &json!("base")),
        set("/adapters", "access", &json!("all")),
        set("/upstreams", "model", &json!("base")),
        set("/upstreams", "service", &json!("phones")),
        set("/upstreams", "slots", &json!(spec.engine.slots)),
        set("/upstreams", "max_batch", &json!(spec.engine.max_batch)),
    ];
    for n in 0..spec.data_centres {
        let path = format!("/data-centres/{}", data_centre(spec, n));
        ops.push(create(&path, "data-centre", &json!({"region": "home"})));
    }
    for (n, engine) in upstreams.engines.iter().enumerate() {
        let settings = json!({"checks_fencing": engine.checks_fencing});
        ops.push(upstream(spec, n, engine, "engine", settings));
    }
    for (n, server) in upstreams.servers.iter().enumerate() {
        ops.push(upstream(spec, n, server, "server", json!({})));
    }
    for n in 1..=spec.adapters {
        ops.extend(adapter(n));
    }
    for (account, key) in spec.accounts.iter().zip(keys) {
        let path = format!("/accounts/{}", account.name);
        let settings = json!({"rate": account.rate, "burst": account.burst});
        ops.push(create(&path, "account", &settings));
        let digest = hex::encode(&KeyDigest::of(key).0);
        ops.push(create(
            &format!("{path}/first"),
            "key",
            &json!({"digest": digest}),
        ));
    }
    ops
}

/// Data centre name of the n-th VM or upstream.
pub(super) fn data_centre(
    spec: &ClusterSpec,
    n: u32,
) -> String {
    format!("dc-{}", n % spec.data_centres + 1)
}

fn create(
    path: &str,
    kind: &str,
    settings: &Value,
) -> Value {
    json!({"op": "create", "path": path, "kind": kind, "settings": settings})
}

fn set(
    path: &str,
    setting: &str,
    value: &Value,
) -> Value {
    json!({"op": "set", "path": path, "setting": setting, "value": value})
}

fn call(
    name: &str,
    method: &str,
    path: &str,
    idempotent: bool,
    cost: u64,
) -> Value {
    let settings = json!({"method": method, "path": path, "idempotent": idempotent, "cost": cost});
    create(&format!("/services/phones/{name}"), "call", &settings)
}

fn upstream(
    spec: &ClusterSpec,
    n: usize,
    upstream: &UpstreamStandIn,
    kind: &str,
    mut settings: Value,
) -> Value {
    settings["address"] = json!(upstream.advertised_address());
    settings["data_centre"] = json!(data_centre(spec, n as u32));
    create(&format!("/upstreams/{}", upstream.name), kind, &settings)
}

fn adapter(n: u32) -> Vec<Value> {
    let path = format!("/adapters/notes-{n}");
    let version = |v: u32| {
        let settings = json!({"weights": format!("notes-{n}-v{v}")});
        create(&format!("{path}/{v}"), "version", &settings)
    };
    vec![
        create(&path, "adapter", &json!({})),
        version(1),
        version(2),
        set(&path, "live", &json!(1)),
    ]
}
