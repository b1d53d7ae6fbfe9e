//! From a caller's HTTP request to a job: authentication of the team, the deciding rule, limits and
//! headers.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use hyper::http::request::Parts;
use model::{Code, RequestId};
use overload::body::BodyError;
use overload::{Charge, Connection};
use prefix::Seed;
use rules::config::PoolKind;
use rules::{Decision, Facts, RuleSet, Team};
use tokio::time::Instant;
use viz::header::HeaderMap;
use viz::Body;
use wire::Header;

use crate::clock;
use crate::entry;
use crate::entry::completion::{self, Completion, CHAT, COMPLETIONS};
use crate::entry::job::{Job, Payload};
use crate::entry::limits::LimitedRequest;
use crate::entry::probe::Criteria;
use crate::entry::problem::{Problem, REQUEST_ID_HEADER};
use crate::trace::{self, Context};

/// Time until the deadline if neither the rule nor the caller sets one.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);
/// Header with the caller's time limit in milliseconds. It can shorten the rule's limit only.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the caller's idempotency key.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Request headers that aren't sent to the target.
const REMOVED_HEADERS: [&str; 7] = [
    "authorization",
    "host",
    "content-length",
    "connection",
    DEADLINE_HEADER,
    REQUEST_ID_HEADER,
    trace::HEADER,
];

/// A request that is to be sent to a target.
#[derive(Debug)]
pub struct Prepared {
    /// The request.
    pub job: Job,
    /// Name of the rule that decided.
    pub rule: String,
    /// Memory of the request besides its body.
    pub memory: Charge,
}

/// Id of a request, and whether its caller set it.
pub fn request_id(headers: &HeaderMap) -> Result<(RequestId, bool), Problem> {
    let bad = |m: String| Problem::not_run(Code::BadRequest, m);
    match headers.get(REQUEST_ID_HEADER) {
        None => Ok((RequestId::from_bits(rand::random()), false)),
        Some(v) => {
            let text = v
                .to_str()
                .map_err(|e| bad(format!("{REQUEST_ID_HEADER}: {e}")))?;
            let id = RequestId::new(text).map_err(|e| bad(e.to_string()))?;
            Ok((id, true))
        }
    }
}

/// Makes a job of a request, or says why the request is refused. `given` says whether the caller
/// set the id.
pub async fn prepare(
    cx: &entry::Context,
    conn: &Connection,
    id: &RequestId,
    given: bool,
    head: Parts,
    body: &mut Body,
) -> Result<Prepared, Problem> {
    let view = cx.view.load_full();
    let Some(rules) = view.rules.clone() else {
        let m = "no configuration is in force yet";
        return Err(Problem::not_run(Code::NotReady, m));
    };
    let team = team(&rules, &head.headers)?;
    let is_completion = is_completion(&head)?;
    conn.set_team(Some(team.0));
    let memory = conn.charge_request().map_err(|_| no_memory())?;
    let time = requested_limit(&head.headers).unwrap_or(DEFAULT_DEADLINE);
    let time = time.min(DEFAULT_DEADLINE);
    let body = collect(conn, body, cx.role.max_body, time).await?;
    conn.keep_for(time);
    let completion = is_completion
        .then(|| Completion::parse(&body))
        .transpose()?;
    let facts = facts(team.0, &head, completion.as_ref());
    let decision = decide(&rules, &facts, body.len())?;
    let Some((name, pool)) = decision.pool else {
        return Err(Problem::not_run(Code::NoRule, "the rule names no pool"));
    };
    if pool.kind == PoolKind::Model && completion.is_none() {
        completion::check_reserved_fields(&body)?;
    }
    let Some(key) = view.world.pool(name) else {
        return Err(no_target(name));
    };
    let limited = LimitedRequest {
        team: &facts.team,
        rule: &decision.rule.name,
        prompt_bytes: facts.prompt_bytes,
        entries: view.entries,
    };
    check_limits(cx, limited, &decision)?;
    let scope = decision.scope.unwrap_or(team.0).to_owned();
    let seed = Seed::new(&scope, &pool.model, &pool.weights);
    let chain = completion.as_ref().map(|c| prefix::chain(seed, &c.prompt));
    let limit = decision.deadline.map_or(DEFAULT_DEADLINE, Duration::from);
    let job = Job {
        id: id.clone(),
        criteria: Criteria {
            pool: key,
            class: decision.class,
            chain: chain.unwrap_or_default(),
            fingerprint: fingerprint(&facts.path, &pool.weights, &body),
            team: facts.team.clone(),
        },
        share: team.1.share,
        idempotent: decision.idempotent,
        idempotency_key: idempotency_key(&head.headers, id, given),
        method: facts.method,
        path: path_and_query(&head),
        headers: target_headers(&head.headers, id, &decision.rule.then.set),
        body: match completion {
            Some(c) => Payload::Completion(Box::new(c)),
            None => Payload::Plain(body),
        },
        scope,
        deadline: Instant::now() + requested_limit(&head.headers).map_or(limit, |a| a.min(limit)),
        trace: trace_context(&head.headers),
        answer_memory: Some(conn.charge_content()),
    };
    let rule = decision.rule.name.clone();
    Ok(Prepared { job, rule, memory })
}

/// Whether the request is a completion. The paths of completions accept POST only.
fn is_completion(head: &Parts) -> Result<bool, Problem> {
    let path = head.uri.path();
    match path == COMPLETIONS || path == CHAT {
        true if head.method != viz::Method::POST => {
            let m = format!("{path} takes POST");
            Err(Problem::not_run(Code::BadMethod, m))
        }
        is_completion => Ok(is_completion),
    }
}

/// What rules can match on.
fn facts(team: &str, head: &Parts, completion: Option<&Completion>) -> Facts {
    let text = |v: &viz::header::HeaderValue| v.to_str().ok().map(str::to_owned);
    let headers = head.headers.iter();
    let headers = headers.filter_map(|(n, v)| Some((n.as_str().to_owned(), text(v)?)));
    let facts = Facts {
        team: team.to_owned(),
        method: head.method.as_str().to_owned(),
        path: head.uri.path().to_owned(),
        model: completion.and_then(|c| c.model.clone()),
        headers: headers.collect(),
        prompt_bytes: completion.map_or(0, |c| c.prompt.len()),
        ..Facts::default()
    };
    facts.at_unix_time(clock::unix_seconds())
}

fn path_and_query(head: &Parts) -> String {
    let path = head.uri.path_and_query();
    path.map_or("/", |p| p.as_str()).to_owned()
}

/// Team of the API key in the `authorization` header.
fn team<'a>(rules: &'a RuleSet, headers: &HeaderMap) -> Result<(&'a str, &'a Team), Problem> {
    let key = headers.get("authorization").map(|v| v.as_bytes());
    let key = key.and_then(|v| v.strip_prefix(b"Bearer "));
    let unknown = || Problem::not_run(Code::UnknownTeam, "no team has this API key");
    key.and_then(|k| rules.team(k)).ok_or_else(unknown)
}

/// The decision of the rules, unless it refuses the request.
fn decide<'a>(rules: &'a RuleSet, facts: &Facts, size: usize) -> Result<Decision<'a>, Problem> {
    let Some(d) = rules.decide(facts) else {
        let m = "no rule matches this request";
        return Err(Problem::not_run(Code::NoRule, m));
    };
    if let Some(reason) = &d.rule.then.refuse {
        let mut p = Problem::not_run(Code::Refused, reason);
        p.retry = d.rule.then.retry_after.map(|t| t.0);
        return Err(p);
    }
    match d.max_body {
        Some(max) if size as u64 > max.0 => {
            let m = format!("body has more than the {} bytes allowed here", max.0);
            Err(Problem::not_run(Code::TooLarge, m))
        }
        _ => Ok(d),
    }
}

/// Counts the request against the limits of its team and rule.
fn check_limits(
    cx: &entry::Context,
    request: LimitedRequest<'_>,
    d: &Decision<'_>,
) -> Result<(), Problem> {
    let limits = &mut cx.memory.lock().limits;
    let taken = limits.take(clock::now(), request, &d.limits, &d.rule.then.limits);
    taken.map_err(|wait| {
        let m = format!("team {} is over its limit", request.team);
        let mut p = Problem::not_run(Code::Limited, m);
        p.retry = Some(wait);
        p
    })
}

async fn collect(
    conn: &Connection,
    body: &mut Body,
    max: usize,
    time: Duration,
) -> Result<Bytes, Problem> {
    let Body::Incoming(body) = body else {
        return Ok(Bytes::new());
    };
    let collected = overload::body::collect(conn, body, max, time).await;
    collected.map_err(|e| match e {
        BodyError::TooLong => {
            let m = format!("body has more than {max} bytes");
            Problem::not_run(Code::TooLarge, m)
        }
        BodyError::Incomplete => Problem::not_run(Code::BadRequest, "body can't be read"),
        BodyError::Late => Problem::not_run(Code::Deadline, "body has not arrived in time"),
        BodyError::Full => no_memory(),
    })
}

fn no_memory() -> Problem {
    Problem::not_run(Code::Overloaded, "too much is held for callers")
}

/// Hash that identifies a request that crashes its targets, whichever caller sends it. It covers
/// the weights, since other weights may not have the fault.
fn fingerprint(path: &str, weights: &str, body: &[u8]) -> u64 {
    let mut h = blake3::Hasher::new();
    for part in [path.as_bytes(), weights.as_bytes(), body] {
        h.update(&(part.len() as u64).to_le_bytes()).update(part);
    }
    let all = h.finalize();
    let front = all.as_bytes().first_chunk::<8>();
    front.map_or(0, |b| u64::from_le_bytes(*b))
}

/// Key by which a repeated request is recognized: the caller's idempotency key, or the request id
/// if the caller set it; else empty.
fn idempotency_key(headers: &HeaderMap, id: &RequestId, given: bool) -> String {
    let key = headers
        .get(IDEMPOTENCY_KEY_HEADER)
        .and_then(|v| v.to_str().ok());
    key.or(given.then_some(id.as_str()))
        .unwrap_or_default()
        .to_owned()
}

/// The caller's trace context, or a new one.
fn trace_context(headers: &HeaderMap) -> Context {
    let given = headers.get(trace::HEADER).and_then(|v| v.to_str().ok());
    given
        .and_then(Context::parse)
        .unwrap_or_else(Context::random)
}

/// The time limit that the caller asked for.
fn requested_limit(headers: &HeaderMap) -> Option<Duration> {
    let ms = headers.get(DEADLINE_HEADER)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_millis(ms))
}

/// Headers for the target: the caller's, those that the rule sets, and the request id.
fn target_headers(
    headers: &HeaderMap,
    id: &RequestId,
    set: &BTreeMap<String, String>,
) -> Vec<Header> {
    let is_passed = |n: &str| !REMOVED_HEADERS.contains(&n) && !set.contains_key(n);
    let callers = headers
        .iter()
        .filter(|(n, _)| is_passed(n.as_str()))
        .map(|(n, v)| header(n.as_str(), v.as_bytes()));
    let added = set.iter().map(|(n, v)| header(n, v.as_bytes()));
    let id = header(REQUEST_ID_HEADER, id.as_str().as_bytes());
    callers.chain(added).chain([id]).collect()
}

fn header(name: &str, value: &[u8]) -> Header {
    Header {
        name: name.to_owned(),
        value: Bytes::copy_from_slice(value),
    }
}

fn no_target(pool: &str) -> Problem {
    let m = format!("pool {pool} has no live target");
    Problem::not_run(Code::NoTarget, m)
}
