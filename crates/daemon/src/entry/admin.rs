//! HTTP interface of an entry for operators: configuration and state of the fleet.
//!
//! All paths except health and metrics need the operator key. Responses are JSON; errors have the
//! form `{"error":{"code":…}}`.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use contract::apply::{Apply, ApplyStep, Change, Head, CONFIGURATION_KEY};
use contract::{Reply, Request as Call};
use fleet::{Member, MemberState, Role, TableRow};
use model::Version;
use rules::RuleSet;
use serde::Deserialize;
use serde_json::{json, Value};
use store::Table;
use tokio::sync::oneshot;
use viz::{Request, RequestExt, Response, Router};

use crate::admin::answer;
use crate::clock;
use crate::entry::Context;
use crate::membership::{Command, Status};

/// Maximum number of checks whether this entry has joined the fleet.
const JOIN_CHECKS: u32 = 50;
/// Time between two checks whether this entry has joined the fleet.
const JOIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Deserialize)]
struct ChangeBody {
    text: String,
    #[serde(default)]
    base: Option<u64>,
    operation: String,
    #[serde(default)]
    author: String,
}

/// Router with health, metrics and the calls of operators.
pub fn router(cx: &Arc<Context>) -> Router {
    let call = |operation| {
        let cx = Arc::clone(cx);
        move |r: Request| authorized(Arc::clone(&cx), r, operation)
    };
    let health_cx = Arc::clone(cx);
    crate::admin::router(move || ready(&health_cx))
        .put("/admin/configuration", call(Operation::Apply))
        .get("/admin/configuration", call(Operation::Show))
        .get("/admin/history", call(Operation::History))
        .get("/admin/status", call(Operation::Status))
}

/// Whether the load balancer may send requests to this entry.
pub fn ready(cx: &Context) -> bool {
    let view = cx.view.load();
    cx.stop.is_ready() && view.joined && view.rules.is_some()
}

/// A call of an operator.
#[derive(Clone, Copy)]
enum Operation {
    Apply,
    Show,
    History,
    Status,
}

/// Runs a call if it has the operator key.
async fn authorized(
    cx: Arc<Context>,
    mut req: Request,
    operation: Operation,
) -> viz::Result<Response> {
    if !has_operator_key(&cx, &req) {
        return Ok(error(401, "unauthorized", json!({})));
    }
    Ok(match operation {
        Operation::Apply => match req.bytes().await {
            Ok(body) => apply(&cx, &body).await,
            Err(e) => error(400, "bad_request", json!({"message": e.to_string()})),
        },
        Operation::Show => show(&cx).await,
        Operation::History => history(&cx).await,
        Operation::Status => status(&cx).await,
    })
}

fn has_operator_key(cx: &Context, req: &Request) -> bool {
    let given = req.headers().get("authorization").map(|v| v.as_bytes());
    let given = given.and_then(|v| v.strip_prefix(b"Bearer "));
    match (&cx.role.operator_key, given) {
        // Hashes are compared in constant time, whatever the lengths of the keys.
        (Some(key), Some(given)) => blake3::hash(key.as_bytes()) == blake3::hash(given),
        _ => false,
    }
}

/// Checks a configuration and writes it to the platform's table.
async fn apply(cx: &Context, body: &[u8]) -> Response {
    let change: ChangeBody = match serde_json::from_slice(body) {
        Ok(c) => c,
        Err(e) => return error(400, "bad_request", json!({"message": e.to_string()})),
    };
    if let Err(faults) = RuleSet::compile(&change.text) {
        let all: Vec<_> = faults.0.iter().map(ToString::to_string).collect();
        let details = json!({"message": faults.to_string(), "faults": all});
        return error(400, "faults", details);
    }
    let Some(table) = &cx.table else {
        return no_platform();
    };
    if !wait_until_joined(cx).await {
        let m = "this entry has found no other member yet";
        return error(503, "not_joined", json!({"message": m}));
    }
    let text = change.text.clone();
    let mut apply = Apply::new(Change {
        text: change.text,
        base: change.base,
        operation: change.operation,
        author: change.author,
        at: clock::unix_seconds(),
    });
    let mut step = apply.start();
    while let ApplyStep::Call(call) = step {
        step = apply.step(table.call(call).await);
    }
    match step {
        ApplyStep::Accepted(version) => accepted(cx, version, text),
        ApplyStep::Stale(s) => error(
            409,
            "conflict",
            json!({"message": s.to_string(), "version": s.version, "author": s.author,
                "operation": s.operation}),
        ),
        ApplyStep::Down => error(503, "platform_down", json!({})),
        ApplyStep::Corrupt => error(500, "corrupt", json!({"message": "unreadable row"})),
        ApplyStep::Unknown | ApplyStep::Call(_) => error(504, "unknown_outcome", json!({})),
    }
}

/// Waits until this entry knows the other members; false on timeout. Until then its status lists
/// only itself, and a change would appear to be in force everywhere although no other process has
/// it.
async fn wait_until_joined(cx: &Context) -> bool {
    for _ in 0..JOIN_CHECKS {
        if cx.view.load().joined {
            return true;
        }
        tokio::time::sleep(JOIN_CHECK_INTERVAL).await;
    }
    false
}

/// Passes an accepted configuration to membership, which puts it in force.
fn accepted(cx: &Context, version: u64, text: String) -> Response {
    let _ = cx.membership.send(Command::Accepted(TableRow {
        version: Version(version),
        digest: fleet::Digest::of(&text),
        text: Bytes::from(text),
    }));
    reply(200, &json!({"version": version}))
}

/// The configuration in force.
async fn show(cx: &Context) -> Response {
    let (tx, rx) = oneshot::channel();
    let _ = cx.membership.send(Command::Configuration(tx));
    match rx.await {
        Ok(row) => reply(
            200,
            &json!({"version": row.version.0, "digest": row.digest.to_string(),
                "text": String::from_utf8_lossy(&row.text)}),
        ),
        Err(_) => error(503, "draining", json!({})),
    }
}

/// The current and past changes in the platform's table.
async fn history(cx: &Context) -> Response {
    let Some(table) = &cx.table else {
        return no_platform();
    };
    let key = CONFIGURATION_KEY.to_owned();
    match table.call(Call::Read { key }).await {
        Reply::Row(None) => reply(200, &json!({"current": null, "past": []})),
        Reply::Row(Some(row)) => match serde_json::from_slice::<Head>(&row.value) {
            Ok(h) => {
                let current = json!({"version": h.version, "digest": h.digest, "author": h.author,
                    "operation": h.operation, "at": h.at});
                reply(200, &json!({"current": current, "past": h.past}))
            }
            Err(_) => error(500, "corrupt", json!({"message": "unreadable row"})),
        },
        _ => error(503, "platform_down", json!({})),
    }
}

/// The version that each member has.
async fn status(cx: &Context) -> Response {
    let (tx, rx) = oneshot::channel();
    let _ = cx.membership.send(Command::Status(tx));
    match rx.await {
        Ok(s) => reply(200, &status_body(&s)),
        Err(_) => error(503, "draining", json!({})),
    }
}

fn status_body(s: &Status) -> Value {
    let lagging = |m: &Member| s.in_force.lagging.iter().find(|l| l.id == m.id);
    let members: Vec<_> = s
        .members
        .iter()
        .map(|m| {
            let version = match lagging(m) {
                Some(l) => l.version.unwrap_or_default().0,
                None => s.version.0,
            };
            json!({"id": format!("{:016x}", m.id.0), "role": role(m.role), "host": m.host,
                "domain": m.domain, "region": m.region, "pool": m.pool, "state": state(m.state),
                "version": version, "peer": m.tcp.to_string(), "tags": m.tags})
        })
        .collect();
    json!({"version": s.version.0, "digest": s.digest.to_string(), "members": members})
}

fn role(r: Role) -> &'static str {
    match r {
        Role::Entry => "entry",
        Role::Sidecar => "sidecar",
    }
}

fn state(s: MemberState) -> &'static str {
    match s {
        MemberState::Alive => "alive",
        MemberState::Leaving => "leaving",
        MemberState::Suspect => "suspect",
        MemberState::Dead => "dead",
        MemberState::Left => "left",
    }
}

fn no_platform() -> Response {
    let m = "no platform is set";
    error(503, "platform_down", json!({"message": m}))
}

fn error(status: u16, code: &str, details: Value) -> Response {
    let mut body = json!({"code": code});
    if let (Value::Object(body), Value::Object(details)) = (&mut body, details) {
        body.extend(details);
    }
    reply(status, &json!({"error": body}))
}

fn reply(status: u16, body: &Value) -> Response {
    answer(status, "application/json", body.to_string())
}
