//! Callers' HTTP: who sent it, which rule decides, and the answer.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::Stream;
use http_body_util::{BodyExt, Limited};
use model::{BlockHash, Code, RequestId};
use prefix::Seed;
use rules::{Facts, RuleSet};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use viz::{Body, Request, Response};
use wire::{Head, Header};

use crate::clock;
use crate::entry::answer::{Problem, OUTCOME, REQUEST_ID, RULE};
use crate::entry::ask::{Completion, CHAT, COMPLETIONS};
use crate::entry::drive::{drive, Answer, Job, Payload, Piece};
use crate::entry::pick::Wanted;
use crate::entry::Context;
use crate::log;
use crate::view::View;

/// Time to answer if neither rule nor caller says.
const DEADLINE: Duration = Duration::from_secs(60);
/// The caller's own limit, in milliseconds; the rule's is the most it can ask for.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Headers that stay at the entry.
const OURS: [&str; 5] = [
    "authorization",
    "host",
    "content-length",
    "connection",
    DEADLINE_HEADER,
];

/// The caller's stream ends without its end.
#[derive(Debug, Error)]
#[error("answer can't be completed")]
pub struct Cut;

/// Answers one request.
pub async fn handle(cx: Arc<Context>, req: Request) -> viz::Result<Response> {
    if req.uri().path().starts_with("/health/") {
        return Ok(crate::entry::admin::health(&cx, req.uri().path()));
    }
    let (id, given) = match request_id(&req) {
        Ok(x) => x,
        Err(p) => return Ok(refuse(&RequestId::from_bits(rand::random()), p)),
    };
    Ok(match prepare(&cx, &id, given, req).await {
        Err(p) => refuse(&id, p),
        Ok((job, rule)) => {
            let (tx, rx) = oneshot::channel();
            tokio::spawn(drive(Arc::clone(&cx), job, tx));
            let gone = || Answer::None(Problem::unsent(Code::Internal, "request was dropped"));
            answer(&id, &rule, rx.await.unwrap_or_else(|_| gone()))
        }
    })
}

fn refuse(id: &RequestId, p: Problem) -> Response {
    spdlog::info!(logger: log::entry(), "request {id} refused: {}: {}", p.code, p.message);
    metrics::counter!("clementinestep_requests_total", "code" => p.code.as_str()).increment(1);
    p.response(id)
}

fn request_id(req: &Request) -> Result<(RequestId, bool), Problem> {
    let bad = |m: String| Problem::unsent(Code::BadRequest, m);
    match req.headers().get(REQUEST_ID) {
        None => Ok((RequestId::from_bits(rand::random()), false)),
        Some(v) => {
            let text = v.to_str().map_err(|e| bad(format!("{REQUEST_ID}: {e}")))?;
            RequestId::new(text)
                .map(|id| (id, true))
                .map_err(|e| bad(e.to_string()))
        }
    }
}

async fn prepare(
    cx: &Context,
    id: &RequestId,
    given: bool,
    req: Request,
) -> Result<(Job, String), Problem> {
    let view = cx.view.load_full();
    let Some(rules) = view.rules.clone() else {
        return Err(Problem::unsent(
            Code::NotReady,
            "no configuration is in force yet",
        ));
    };
    let (head, body) = req.into_parts();
    let Some((team, conf)) = bearer(&head.headers).and_then(|k| rules.team(k)) else {
        return Err(Problem::unsent(
            Code::UnknownTeam,
            "no team has this API key",
        ));
    };
    let path = head.uri.path();
    let completes = path == COMPLETIONS || path == CHAT;
    if completes && head.method != viz::Method::POST {
        return Err(Problem::unsent(
            Code::BadMethod,
            format!("{path} takes POST"),
        ));
    }
    let body = collect(body, cx.role.max_body).await?;
    let completion = completes.then(|| Completion::parse(&body)).transpose()?;
    let facts = Facts {
        team: team.to_owned(),
        method: head.method.as_str().to_owned(),
        path: path.to_owned(),
        model: completion.as_ref().and_then(|c| c.model.clone()),
        headers: texts(&head.headers),
        prompt: completion.as_ref().map_or(0, |c| c.prompt.len()),
        minute: (clock::epoch() / 60 % 1_440) as u16,
    };
    let d = decide(&rules, &facts)?;
    let pool = d
        .pool
        .ok_or_else(|| Problem::unsent(Code::NoRule, "the rule names no pool"))?;
    let scope = if conf.scope.is_empty() {
        team
    } else {
        &conf.scope
    }
    .to_owned();
    let chain = completion.as_ref().map(|c| {
        let seed = Seed::new(&scope, &pool.1.model, &pool.1.weights);
        prefix::chain(seed, &c.prompt)
    });
    let key = idempotency(&head.headers, id, given);
    let limit = d
        .rule
        .then
        .deadline_ms
        .map_or(DEADLINE, Duration::from_millis);
    let job = Job {
        id: id.clone(),
        want: wanted(
            &view,
            pool.0,
            &d,
            chain.unwrap_or_default(),
            team,
            &facts,
            &body,
        )?,
        share: conf.share,
        idempotent: d.idempotent,
        key,
        method: facts.method.clone(),
        path: head
            .uri
            .path_and_query()
            .map_or("/", |p| p.as_str())
            .to_owned(),
        headers: passed(&head.headers, id),
        body: match completion {
            Some(c) => Payload::Completion(Box::new(c)),
            None => Payload::Plain(body),
        },
        scope,
        deadline: Instant::now() + asked(&head.headers).map_or(limit, |a| a.min(limit)),
        trace: String::new(),
    };
    Ok((job, d.rule.name.clone()))
}

fn decide<'a>(rules: &'a RuleSet, facts: &Facts) -> Result<rules::Decision<'a>, Problem> {
    let Some(d) = rules.decide(facts) else {
        return Err(Problem::unsent(
            Code::NoRule,
            "no rule matches this request",
        ));
    };
    match &d.rule.then.refuse {
        Some(reason) => Err(Problem::unsent(Code::Refused, reason)),
        None => Ok(d),
    }
}

fn wanted(
    view: &View,
    pool: &str,
    d: &rules::Decision<'_>,
    chain: Vec<BlockHash>,
    team: &str,
    facts: &Facts,
    body: &Bytes,
) -> Result<Wanted, Problem> {
    let Some(pool) = view.world.pool(pool) else {
        return Err(Problem::unsent(
            Code::NoTarget,
            format!("pool {pool} has no live target"),
        ));
    };
    let mut h = blake3::Hasher::new();
    h.update(facts.path.as_bytes()).update(body);
    let print = h.finalize();
    let print = print
        .as_bytes()
        .first_chunk::<8>()
        .map_or(0, |b| u64::from_le_bytes(*b));
    Ok(Wanted {
        pool,
        class: d.class,
        chain,
        fingerprint: print,
        team: team.to_owned(),
    })
}

async fn collect(body: Body, max: usize) -> Result<Bytes, Problem> {
    match Limited::new(body, max).collect().await {
        Ok(b) => Ok(b.to_bytes()),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => Err(Problem::unsent(
            Code::TooLarge,
            format!("body has more than {max} bytes"),
        )),
        Err(e) => Err(Problem::unsent(
            Code::BadRequest,
            format!("body can't be read: {e}"),
        )),
    }
}

fn bearer(headers: &viz::header::HeaderMap) -> Option<&[u8]> {
    headers
        .get("authorization")?
        .as_bytes()
        .strip_prefix(b"Bearer ")
}

fn texts(headers: &viz::header::HeaderMap) -> BTreeMap<String, String> {
    let pair = |(n, v): (&viz::header::HeaderName, &viz::header::HeaderValue)| {
        Some((n.as_str().to_owned(), v.to_str().ok()?.to_owned()))
    };
    headers.iter().filter_map(pair).collect()
}

/// The key by which a repeated request is known: the caller's idempotency key, or else the
/// request id if the caller chose it.
fn idempotency(headers: &viz::header::HeaderMap, id: &RequestId, given: bool) -> String {
    let key = headers.get("idempotency-key").and_then(|v| v.to_str().ok());
    key.or(given.then_some(id.as_str()))
        .unwrap_or_default()
        .to_owned()
}

fn asked(headers: &viz::header::HeaderMap) -> Option<Duration> {
    let ms = headers.get(DEADLINE_HEADER)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_millis(ms))
}

fn passed(headers: &viz::header::HeaderMap, id: &RequestId) -> Vec<Header> {
    let keep = headers
        .iter()
        .filter(|(n, _)| !OURS.contains(&n.as_str()) && *n != REQUEST_ID);
    let mut out: Vec<_> = keep
        .map(|(n, v)| Header {
            name: n.as_str().to_owned(),
            value: Bytes::copy_from_slice(v.as_bytes()),
        })
        .collect();
    let value = Bytes::copy_from_slice(id.as_str().as_bytes());
    out.push(Header {
        name: REQUEST_ID.to_owned(),
        value,
    });
    out
}

fn answer(id: &RequestId, rule: &str, answer: Answer) -> Response {
    let (code, res) = match answer {
        Answer::None(p) => (p.code.as_str(), p.response(id)),
        Answer::Whole(head, body) => ("ok", respond(id, rule, head, Body::Full(body.into()))),
        Answer::Stream(head, rx) => ("ok", respond(id, rule, head, Body::from_stream(pieces(rx)))),
    };
    metrics::counter!("clementinestep_requests_total", "code" => code).increment(1);
    res
}

fn respond(id: &RequestId, rule: &str, head: Head, body: Body) -> Response {
    let mut res = Response::builder().status(head.status as u16);
    for h in head.headers.iter().filter(|h| h.name != REQUEST_ID) {
        res = res.header(&h.name, h.value.as_ref());
    }
    if head.status >= 400 {
        res = res.header(OUTCOME, "failed");
    }
    let res = res.header(REQUEST_ID, id.as_str()).header(RULE, rule);
    res.body(body).unwrap_or_default()
}

/// The caller's stream. One that can't be completed ends in an error event and then in a fault,
/// so that the connection is broken off and no client takes it for whole.
fn pieces(rx: mpsc::Receiver<Piece>) -> impl Stream<Item = Result<Bytes, Cut>> {
    futures::stream::unfold((rx, false), |(mut rx, broken)| async move {
        if broken {
            return Some((Err(Cut), (rx, true)));
        }
        match rx.recv().await? {
            Piece::Data(d) => Some((Ok(d), (rx, false))),
            Piece::Broken(p) => Some((Ok(Bytes::from(p.event())), (rx, true))),
        }
    })
}
