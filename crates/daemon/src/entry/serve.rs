//! Callers' HTTP: one request in, one answer out.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::Stream;
use model::{Code, Outcome, RequestId};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;
use viz::{Body, Request, Response};
use wire::Head;

use crate::entry::answer::{Problem, OUTCOME, REQUEST_ID, RULE};
use crate::entry::drive::drive;
use crate::entry::out::{Answer, Piece};
use crate::entry::prepare::{prepare, request_id, Prepared};
use crate::entry::stop::Taken;
use crate::entry::{admin, Context};
use crate::log;
use crate::meter;

/// How long an error event has to leave before its connection is broken off.
const LINGER: Duration = Duration::from_millis(100);

/// The caller's stream ends without its end.
#[derive(Debug, Error)]
#[error("answer can't be completed")]
pub struct Cut;

/// Answers one request.
pub async fn handle(cx: Arc<Context>, req: Request) -> viz::Result<Response> {
    if req.uri().path().starts_with("/health/") {
        return Ok(crate::admin::health(req.uri().path(), admin::ready(&cx)));
    }
    let taken = Taken::new(&cx);
    let (id, given) = match request_id(req.headers()) {
        Ok(x) => x,
        Err(p) => return Ok(refuse(&RequestId::from_bits(rand::random()), &p)),
    };
    let Prepared { job, rule } = match prepare(&cx, &id, given, req).await {
        Ok(p) => p,
        Err(p) => return Ok(refuse(&id, &p)),
    };
    let (tx, rx) = oneshot::channel();
    tokio::spawn(drive(cx, job, tx));
    // A fault of ours says nothing of what became of the request.
    let gone = |_| {
        Answer::None(Problem {
            outcome: Outcome::Unknown,
            ..Problem::unsent(Code::Internal, "request was dropped")
        })
    };
    let found = rx.await.unwrap_or_else(gone);
    Ok(answer(&id, &rule, found, taken))
}

fn refuse(id: &RequestId, p: &Problem) -> Response {
    spdlog::info!(logger: log::entry(), "request {id} refused: {}: {}", p.code, p.message);
    metrics::counter!(meter::REQUESTS, "code" => p.code.as_str()).increment(1);
    p.response(id)
}

fn answer(id: &RequestId, rule: &str, answer: Answer, taken: Taken) -> Response {
    let (code, res) = match answer {
        Answer::None(p) => (p.code.as_str(), p.response(id)),
        Answer::Whole(head, body) => ("ok", respond(id, rule, head, Body::Full(body.into()))),
        Answer::Stream(head, rx) => (
            "ok",
            respond(id, rule, head, Body::from_stream(pieces(rx, taken))),
        ),
    };
    metrics::counter!(meter::REQUESTS, "code" => code).increment(1);
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
/// so that the connection is broken off and no client takes it for whole. The process counts as
/// busy until the last piece is on its way.
fn pieces(rx: mpsc::Receiver<Piece>, taken: Taken) -> impl Stream<Item = Result<Bytes, Cut>> {
    futures::stream::unfold((rx, taken, false), |(mut rx, taken, broken)| async move {
        if broken {
            // The fault throws away what the connection hasn't sent yet. Without a pause the error
            // event would never leave this process, and the caller would see a bare cut.
            sleep(LINGER).await;
            return Some((Err(Cut), (rx, taken, true)));
        }
        match rx.recv().await? {
            Piece::Data(d) => Some((Ok(d), (rx, taken, false))),
            Piece::Broken(p) => Some((Ok(Bytes::from(p.event())), (rx, taken, true))),
        }
    })
}
