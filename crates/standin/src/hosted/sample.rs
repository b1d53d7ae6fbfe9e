//! A small sample site: one host name with a route of each kind, a model and a plain service.

use std::net::SocketAddr;

use serde_json::{json, Value};

use super::replica::Replica;

/// The host name of all routes.
pub const HOST: &str = "poll.example";
/// The API key of team `north`.
pub const KEY: &str = "key-north";
/// The model name.
pub const MODEL: &str = "lekha";

/// The entry of a replica in the list; `born` is its incarnation.
pub fn entry(replica: &Replica, service: &str, at: SocketAddr, state: &str, born: u64) -> Value {
    let models = match service {
        "engines" => json!([{"name": MODEL, "version": replica.version(MODEL), "adapters": []}]),
        _ => json!([]),
    };
    json!({"service": service, "address": at.to_string(), "zone": "a", "version": replica.build(),
        "slots": 8, "born": born, "state": state, "cold_left_ms": 0, "seq": 1, "models": models})
}

/// The settings lines that are common to all roles.
pub fn settings(name: &str, store: SocketAddr) -> Vec<String> {
    [
        format!("node={name}"),
        "zone=a".to_owned(),
        "region=r".to_owned(),
        "ip=127.0.0.1".to_owned(),
        "port_range=0,0".to_owned(),
        format!("platform.address={store}"),
        "bounds.grace_s=8".to_owned(),
        "bounds.version_ms=6000".to_owned(),
        "bounds.retry_budget_ratio=0.2".to_owned(),
        "bounds.retry_budget_slack=56".to_owned(),
        "a.field.of.later=1".to_owned(),
    ]
    .to_vec()
}

/// A configuration with the given version and a route of each kind.
pub fn config(version: u64) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, resumable: bool| {
        json!({"name": name, "host": HOST, "prefix": prefix, "kind": kind, "service": service,
            "timeout_ms": 4000, "target_latency_ms": 300, "priority": 0, "max_attempts": 2,
            "anonymous": false, "sticky": service == "engines", "resumable": resumable,
            "target_gap_ms": 400})
    };
    json!({
        "version": version,
        "routes": [
            route("code", "/code/", "stream", "engines", false),
            route("probe", "/probe/", "stream", "engines", true),
            route("log", "/log/", "non_idempotent", "plain", false),
            route("check", "/check/", "idempotent", "plain", false),
        ],
        "services": [
            {"name": "engines", "health_path": "/health", "max_connections": 100,
             "protocol": "h1", "tls": false, "engine": {"slots": 8, "kv_capacity": 100_000,
             "kv_token_bytes": 1000, "link_mbps": 10000.0, "stride": 1,
             "models": [{"name": MODEL}]}},
            {"name": "plain", "health_path": "/health", "max_connections": 100, "protocol": "h1",
             "tls": false},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 100_000,
            "header_timeout_ms": 1000, "idle_timeout_ms": 3000},
        "tenants": [{"name": "north", "api_keys": [KEY], "priority": 1, "isolated": false}],
    })
}
