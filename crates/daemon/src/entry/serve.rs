//! HTTP server for callers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::Stream;
use model::{Code, Outcome, RequestId};
use overload::body::discard;
use overload::{Charge, Connection};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;
use viz::{Body, Request, Response};
use wire::Head;

use crate::entry::answer_sink::{Answer, Piece};
use crate::entry::drive::drive;
use crate::entry::prepare::{prepare, request_id, Prepared};
use crate::entry::problem::{Problem, OUTCOME_HEADER, REQUEST_ID_HEADER, RULE_HEADER};
use crate::entry::stop::ActiveRequest;
use crate::entry::{admin, Context};
use crate::log;
use crate::meter;

/// Time for an error event to be sent before its connection is cut.
const ERROR_FLUSH_DELAY: Duration = Duration::from_millis(100);

/// The caller's stream is cut before its end.
#[derive(Debug, Error)]
#[error("answer can't be completed")]
pub struct Cut;

/// Handles one request.
pub async fn handle(cx: Arc<Context>, req: Request) -> viz::Result<Response> {
    if req.uri().path().starts_with("/health/") {
        return Ok(crate::admin::health(req.uri().path(), admin::ready(&cx)));
    }
    let active = ActiveRequest::new(&cx);
    let (id, given) = match request_id(req.headers()) {
        Ok(x) => x,
        Err(p) => return Ok(refuse(&RequestId::from_bits(rand::random()), &p)),
    };
    let Some(conn) = req.extensions().get::<Connection>().cloned() else {
        let p = Problem::not_run(Code::Internal, "the request has no connection");
        return Ok(refuse(&id, &p));
    };
    let (head, mut body) = req.into_parts();
    let prepared = prepare(&cx, &conn, &id, given, head, &mut body).await;
    let Prepared { job, rule, memory } = match prepared {
        Ok(p) => p,
        Err(p) => {
            if let Body::Incoming(body) = &mut body {
                discard(&conn, body).await;
            }
            return Ok(refuse(&id, &p));
        }
    };
    let active = (active, memory);
    let (tx, rx) = oneshot::channel();
    tokio::spawn(drive(cx, job, tx));
    // The task ends without an answer only through a bug, and then the outcome is unknown.
    let dropped = |_| {
        Answer::Error(Problem {
            outcome: Outcome::Unknown,
            ..Problem::not_run(Code::Internal, "request was dropped")
        })
    };
    let result = rx.await.unwrap_or_else(dropped);
    Ok(answer(&id, &rule, result, active))
}

fn refuse(id: &RequestId, p: &Problem) -> Response {
    spdlog::info!(logger: log::entry(), "request {id} refused: {}: {}", p.code, p.message);
    metrics::counter!(meter::REQUESTS, "code" => p.code.as_str()).increment(1);
    p.response(id)
}

fn answer(id: &RequestId, rule: &str, answer: Answer, active: (ActiveRequest, Charge)) -> Response {
    let (code, res) = match answer {
        Answer::Error(p) => (p.code.as_str(), p.response(id)),
        Answer::Whole(head, body) => ("ok", respond(id, rule, head, Body::Full(body.into()))),
        Answer::Stream(head, rx) => (
            "ok",
            respond(id, rule, head, Body::from_stream(pieces(rx, active))),
        ),
    };
    metrics::counter!(meter::REQUESTS, "code" => code).increment(1);
    res
}

fn respond(id: &RequestId, rule: &str, head: Head, body: Body) -> Response {
    let mut res = Response::builder().status(head.status as u16);
    for h in head.headers.iter().filter(|h| h.name != REQUEST_ID_HEADER) {
        res = res.header(&h.name, h.value.as_ref());
    }
    if head.status >= 400 {
        res = res.header(OUTCOME_HEADER, "failed");
    }
    let res = res
        .header(REQUEST_ID_HEADER, id.as_str())
        .header(RULE_HEADER, rule);
    res.body(body).unwrap_or_default()
}

/// Body of a stream. A stream that can't be completed ends with an error event and then a body
/// error, which cuts the connection, so that no client takes the stream for complete. The request
/// counts as active until its last piece is sent.
fn pieces(
    rx: mpsc::Receiver<Piece>,
    active: (ActiveRequest, Charge),
) -> impl Stream<Item = Result<Bytes, Cut>> {
    futures::stream::unfold((rx, active, false), |(mut rx, active, failed)| async move {
        if failed {
            // The body error discards data that the connection hasn't sent yet. Without a pause
            // the error event would never be sent, and the caller would see a cut connection only.
            sleep(ERROR_FLUSH_DELAY).await;
            return Some((Err(Cut), (rx, active, true)));
        }
        match rx.recv().await? {
            Piece::Data(d) => Some((Ok(d), (rx, active, false))),
            Piece::Error(p) => Some((Ok(Bytes::from(p.event())), (rx, active, true))),
        }
    })
}
