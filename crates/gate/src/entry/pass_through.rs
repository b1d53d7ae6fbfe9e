//! Answers of plain services that are too long to be collected: they are passed on as they arrive.
//!
//! Such an answer can't be given up for that of another target, and is cut off where its target cuts it
//! off. Its stated length shows the caller that it isn't whole.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body as _, Frame};
use hyper::header::{HeaderValue, CONTENT_LENGTH};
use hyper::Response;
use model::Micros;
use overload::Connection;
use platform::replica;
use tokio::time::timeout;

use super::attempts::{log_failed, ANSWER_GRACE};
use super::request::{AnswerBody, IncompleteAnswer, Job};
use super::send::LiveAnswer;
use super::{suspects, Ctx};

/// An answer that is being passed on. Dropping it ends the accounting at its target.
struct PassThrough {
    ctx: Ctx,
    job: Job,
    live: LiveAnswer,
    /// When the answer is cut off, if its target isn't done by then.
    end: Micros,
    /// How long the caller had had no room at the beginning of the answer.
    blocked_before: Micros,
}

/// Passes an answer on to its caller.
pub(super) fn pass_through(
    ctx: &Ctx,
    connection: &Connection,
    job: Job,
    live: LiveAnswer,
) -> Response<AnswerBody> {
    let status = live.response.status();
    let mut headers = replica::answer_headers(live.response.headers());
    if let Some(len) = live.response.body().size_hint().exact() {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(len));
    }
    let end = job.gives_up.max(job.deadline) + ANSWER_GRACE.into();
    let answer = PassThrough {
        ctx: Rc::clone(ctx),
        end,
        blocked_before: connection.blocked_time(),
        job,
        live,
    };
    let frames = stream::unfold(Some(answer), |answer| async {
        let mut answer = answer?;
        match answer.next().await {
            Some(Ok(frame)) => Some((Ok(frame), Some(answer))),
            Some(Err(reason)) => {
                answer.fail(reason);
                Some((Err(IncompleteAnswer), None))
            }
            None => {
                answer.finish();
                None
            }
        }
    });
    let body = AnswerBody::new(StreamBody::new(frames), connection.clone());
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

impl PassThrough {
    /// The next bytes, the reason why there are none, or `None` at the end of the answer.
    async fn next(&mut self) -> Option<Result<Frame<Bytes>, &'static str>> {
        // The time in which the caller has no room isn't the target's.
        let blocked = self.job.connection.blocked_time();
        let end = self.end + blocked.since(self.blocked_before);
        let left: Duration = end.since(self.ctx.now()).into();
        match timeout(left, self.live.response.body_mut().frame()).await {
            Ok(frame) => Some(frame?.map_err(|_| "cut answer")),
            Err(_) => Some(Err("overdue")),
        }
    }

    fn fail(self, reason: &'static str) {
        let in_flight = &self.live.in_flight;
        log_failed(&self.job, &in_flight.boot, reason, None, true);
        let (key, sent_at) = (in_flight.key(), in_flight.sent_at);
        let now = self.ctx.now();
        self.ctx.fleet.borrow_mut().record_failure(now, key, reason);
        suspects::record_broken_answer(&self.ctx, &self.job, &in_flight.boot, sent_at);
    }

    /// Records that the answer was whole, and returns its connection to the pool.
    fn finish(self) {
        let LiveAnswer {
            head,
            connection,
            in_flight,
            witness,
            ..
        } = self.live;
        let sent_to = in_flight.sent_to();
        self.ctx.record_duration(&self.job);
        suspects::record_end(&self.ctx, &self.job, head.delimited, sent_to, witness);
        let mut fleet = self.ctx.fleet.borrow_mut();
        fleet.record_success(in_flight.key());
        if let (Some(r), false) = (fleet.replicas.get_mut(in_flight.key()), head.closes) {
            r.connections.keep(connection);
        }
        drop(fleet);
    }
}
