//! From a caller's HTTP request to a job: who sent it, what it asks, which rule decides.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::http::request::Parts;
use model::{Code, RequestId};
use prefix::Seed;
use rules::config::PoolKind;
use rules::{Decision, Facts, RuleSet, Team};
use tokio::time::Instant;
use viz::header::HeaderMap;
use viz::{Body, Request};
use wire::Header;

use crate::clock;
use crate::entry;
use crate::entry::answer::{Problem, REQUEST_ID};
use crate::entry::ask::{self, Completion, CHAT, COMPLETIONS};
use crate::entry::job::{Job, Payload};
use crate::entry::limits::Sent;
use crate::entry::probe::Wanted;
use crate::trace::{self, Context};

/// Time to answer if neither rule nor caller says.
const DEADLINE: Duration = Duration::from_secs(60);
/// The caller's own limit, in milliseconds; the rule's is the most it can ask for.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// The caller's name for a request that must not run twice.
const KEY_HEADER: &str = "idempotency-key";
/// Headers that stay at the entry.
const OURS: [&str; 7] = [
    "authorization",
    "host",
    "content-length",
    "connection",
    DEADLINE_HEADER,
    REQUEST_ID,
    trace::HEADER,
];

/// A request that goes to a target, and the rule that sent it there.
#[derive(Debug)]
pub struct Prepared {
    /// What is to be done.
    pub job: Job,
    /// Name of the rule.
    pub rule: String,
}

/// A request's id, and whether its caller chose it.
pub fn request_id(headers: &HeaderMap) -> Result<(RequestId, bool), Problem> {
    let bad = |m: String| Problem::unsent(Code::BadRequest, m);
    match headers.get(REQUEST_ID) {
        None => Ok((RequestId::from_bits(rand::random()), false)),
        Some(v) => {
            let text = v.to_str().map_err(|e| bad(format!("{REQUEST_ID}: {e}")))?;
            let id = RequestId::new(text).map_err(|e| bad(e.to_string()))?;
            Ok((id, true))
        }
    }
}

/// Makes a job of a request, or says why it goes nowhere.
pub async fn prepare(
    cx: &entry::Context,
    id: &RequestId,
    given: bool,
    req: Request,
) -> Result<Prepared, Problem> {
    let view = cx.view.load_full();
    let Some(rules) = view.rules.clone() else {
        let m = "no configuration is in force yet";
        return Err(Problem::unsent(Code::NotReady, m));
    };
    let (head, body) = req.into_parts();
    let team = team(&rules, &head.headers)?;
    let completes = completes(&head)?;
    let body = collect(body, cx.role.max_body).await?;
    let completion = completes.then(|| Completion::parse(&body)).transpose()?;
    let facts = facts(team.0, &head, completion.as_ref());
    let decision = decide(&rules, &facts, body.len())?;
    let Some((name, pool)) = decision.pool else {
        return Err(Problem::unsent(Code::NoRule, "the rule names no pool"));
    };
    if pool.kind == PoolKind::Model && completion.is_none() {
        ask::guard(&body)?;
    }
    let Some(key) = view.world.pool(name) else {
        return Err(no_target(name));
    };
    let sent = Sent {
        team: &facts.team,
        rule: &decision.rule.name,
        prompt: facts.prompt_bytes,
        entries: view.entries,
    };
    limited(cx, sent, &decision)?;
    let scope = decision.scope.unwrap_or(team.0).to_owned();
    let seed = Seed::new(&scope, &pool.model, &pool.weights);
    let chain = completion.as_ref().map(|c| prefix::chain(seed, &c.prompt));
    let limit = decision.deadline.map_or(DEADLINE, Duration::from);
    let job = Job {
        id: id.clone(),
        want: Wanted {
            pool: key,
            class: decision.class,
            chain: chain.unwrap_or_default(),
            fingerprint: fingerprint(&facts.path, &pool.weights, &body),
            team: facts.team.clone(),
        },
        share: team.1.share,
        idempotent: decision.idempotent,
        key: idempotency(&head.headers, id, given),
        method: facts.method,
        path: target(&head),
        headers: passed(&head.headers, id, &decision.rule.then.set),
        body: match completion {
            Some(c) => Payload::Completion(Box::new(c)),
            None => Payload::Plain(body),
        },
        scope,
        deadline: Instant::now() + asked(&head.headers).map_or(limit, |a| a.min(limit)),
        trace: context(&head.headers),
    };
    let rule = decision.rule.name.clone();
    Ok(Prepared { job, rule })
}

/// Whether the body is a completion; its paths take one method only.
fn completes(head: &Parts) -> Result<bool, Problem> {
    let path = head.uri.path();
    match path == COMPLETIONS || path == CHAT {
        true if head.method != viz::Method::POST => {
            let m = format!("{path} takes POST");
            Err(Problem::unsent(Code::BadMethod, m))
        }
        completes => Ok(completes),
    }
}

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

fn target(head: &Parts) -> String {
    let path = head.uri.path_and_query();
    path.map_or("/", |p| p.as_str()).to_owned()
}

fn team<'a>(rules: &'a RuleSet, headers: &HeaderMap) -> Result<(&'a str, &'a Team), Problem> {
    let key = headers.get("authorization").map(|v| v.as_bytes());
    let key = key.and_then(|v| v.strip_prefix(b"Bearer "));
    let unknown = || Problem::unsent(Code::UnknownTeam, "no team has this API key");
    key.and_then(|k| rules.team(k)).ok_or_else(unknown)
}

fn decide<'a>(rules: &'a RuleSet, facts: &Facts, size: usize) -> Result<Decision<'a>, Problem> {
    let Some(d) = rules.decide(facts) else {
        let m = "no rule matches this request";
        return Err(Problem::unsent(Code::NoRule, m));
    };
    if let Some(reason) = &d.rule.then.refuse {
        let mut p = Problem::unsent(Code::Refused, reason);
        p.retry = d.rule.then.retry_after.map(|t| t.0);
        return Err(p);
    }
    match d.max_body {
        Some(max) if size as u64 > max.0 => {
            let m = format!("body has more than the {} bytes allowed here", max.0);
            Err(Problem::unsent(Code::TooLarge, m))
        }
        _ => Ok(d),
    }
}

fn limited(cx: &entry::Context, sent: Sent<'_>, d: &Decision<'_>) -> Result<(), Problem> {
    let limits = &mut cx.memory.lock().limits;
    let taken = limits.take(clock::now(), sent, &d.limits, &d.rule.then.limits);
    taken.map_err(|wait| {
        let m = format!("team {} is over its limit", sent.team);
        let mut p = Problem::unsent(Code::Limited, m);
        p.retry = Some(wait);
        p
    })
}

async fn collect(body: Body, max: usize) -> Result<Bytes, Problem> {
    match Limited::new(body, max).collect().await {
        Ok(b) => Ok(b.to_bytes()),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => {
            let m = format!("body has more than {max} bytes");
            Err(Problem::unsent(Code::TooLarge, m))
        }
        Err(e) => {
            let m = format!("body can't be read: {e}");
            Err(Problem::unsent(Code::BadRequest, m))
        }
    }
}

/// What recognizes a request that crashes its targets, whoever sends it. Other weights may not
/// have the fault, so they are part of it.
fn fingerprint(path: &str, weights: &str, body: &[u8]) -> u64 {
    let mut h = blake3::Hasher::new();
    for part in [path.as_bytes(), weights.as_bytes(), body] {
        h.update(&(part.len() as u64).to_le_bytes()).update(part);
    }
    let all = h.finalize();
    let front = all.as_bytes().first_chunk::<8>();
    front.map_or(0, |b| u64::from_le_bytes(*b))
}

/// The key by which a repeated request is known: the caller's idempotency key, or else the
/// request id if the caller chose it.
fn idempotency(headers: &HeaderMap, id: &RequestId, given: bool) -> String {
    let key = headers.get(KEY_HEADER).and_then(|v| v.to_str().ok());
    key.or(given.then_some(id.as_str()))
        .unwrap_or_default()
        .to_owned()
}

/// The caller's trace, or a new one.
fn context(headers: &HeaderMap) -> Context {
    let given = headers.get(trace::HEADER).and_then(|v| v.to_str().ok());
    given
        .and_then(Context::parse)
        .unwrap_or_else(Context::random)
}

fn asked(headers: &HeaderMap) -> Option<Duration> {
    let ms = headers.get(DEADLINE_HEADER)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_millis(ms))
}

fn passed(headers: &HeaderMap, id: &RequestId, set: &BTreeMap<String, String>) -> Vec<Header> {
    let kept = |n: &str| !OURS.contains(&n) && !set.contains_key(n);
    let callers = headers
        .iter()
        .filter(|(n, _)| kept(n.as_str()))
        .map(|(n, v)| header(n.as_str(), v.as_bytes()));
    let own = set.iter().map(|(n, v)| header(n, v.as_bytes()));
    let id = header(REQUEST_ID, id.as_str().as_bytes());
    callers.chain(own).chain([id]).collect()
}

fn header(name: &str, value: &[u8]) -> Header {
    Header {
        name: name.to_owned(),
        value: Bytes::copy_from_slice(value),
    }
}

fn no_target(pool: &str) -> Problem {
    let m = format!("pool {pool} has no live target");
    Problem::unsent(Code::NoTarget, m)
}
