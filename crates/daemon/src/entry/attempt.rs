//! One attempt at a request: an exchange with one replica, from its first frame to its end.
//!
//! `exchange::Relay` decides; this module performs its actions and passes it the events. The loss
//! of a connection doesn't end an attempt: the exchange is resumed on a new connection. If another
//! sidecar already has the same request, the attempt joins the exchange there.

use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::time::Duration;

use bytes::Bytes;
use exchange::{Action, Event, Failure, Owner};
use model::{Code, Outcome};
use policy::health;
use tokio::time::{sleep, sleep_until, timeout, Instant};
use wire::{Ack, Body, Cancel, Open, Peer, Resume};

use crate::clock;
use crate::connection_pool::Connection;
use crate::entry::answer_sink::SinkError;
use crate::entry::drive::Drive;
use crate::entry::frames::{connect_failure, event};
use crate::entry::pick::Candidate;
use crate::meter;

/// Longest silence of a sidecar: four of its heartbeats.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after the deadline in which the sidecar can still report the outcome of the request.
const DEADLINE_GRACE: Duration = Duration::from_millis(30);

/// How an attempt ended.
pub(super) enum AttemptEnd {
    /// The request is complete: the caller has its answer or an error.
    Finished,
    /// The request may be sent to another replica.
    RetryElsewhere { delivered: u64, failure: Failure },
}

/// Why an attempt is aborted.
pub(super) enum Abort {
    /// The caller disconnected.
    CallerGone,
    /// The deadline passed.
    DeadlinePassed,
}

/// The exchange of the current attempt.
struct CurrentExchange {
    /// Address of the sidecar.
    address: SocketAddr,
    /// Incarnation of the sidecar; 0 if unknown.
    incarnation: u64,
    /// Token that identifies the exchange.
    token: Bytes,
    /// Connection to the sidecar, if any.
    connection: Option<Connection>,
}

/// Result of an action: the end of the attempt, or the next event if it is known already.
type Step = ControlFlow<AttemptEnd, Option<Event>>;

impl Drive {
    /// Makes an attempt at a replica. The first `delivered` events of the answer, which the caller
    /// has already, aren't sent again.
    pub(super) async fn attempt(&mut self, candidate: Candidate, delivered: u64) -> AttemptEnd {
        self.record_attempt(&candidate);
        let mut ex = CurrentExchange::new(&candidate);
        let mut known = self.begin_exchange(&mut ex, &candidate, delivered).await;
        loop {
            let event = match known.take() {
                Some(e) => Ok(e),
                None => self.next(&mut ex).await,
            };
            let action = match event {
                Ok(e) => self.relay.step(e),
                Err(reason) => {
                    ex.cancel().await;
                    self.abort(reason).await;
                    return AttemptEnd::Finished;
                }
            };
            match self.perform(action, &mut ex).await {
                ControlFlow::Continue(event) => known = event,
                ControlFlow::Break(end) => return end,
            }
        }
    }

    /// Records the start of an attempt, the replica that gets the prompt, and that a slow target
    /// is on trial.
    fn record_attempt(&mut self, candidate: &Candidate) {
        self.tried.push(candidate.target);
        self.attempt += 1;
        metrics::counter!(meter::ATTEMPTS).increment(1);
        self.estimate = candidate.estimate;
        self.attempt_started = Instant::now();
        self.current = Some(candidate.target);
        let mut memory = self.cx.memory.lock();
        memory
            .recent
            .record_use(&self.job.criteria.chain, candidate.target);
        if memory.health.usable(clock::now(), candidate.target) == health::Use::Trial {
            memory.health.start_trial(clock::now(), candidate.target);
        }
    }

    /// Connects to the sidecar and sends the request.
    async fn begin_exchange(
        &mut self,
        ex: &mut CurrentExchange,
        candidate: &Candidate,
        delivered: u64,
    ) -> Option<Event> {
        let open = self.open(ex, candidate, delivered);
        ex.connection = self.cx.connections.take(ex.address).await.ok();
        let Some(connection) = &mut ex.connection else {
            return Some(Event::Unsent);
        };
        self.maybe_sent = true;
        let sent = connection.tx.send(open).await;
        sent.err().map(|_| Event::Lost)
    }

    /// The frame that sends the request to the sidecar.
    fn open(&self, ex: &CurrentExchange, candidate: &Candidate, delivered: u64) -> Open {
        let j = &self.job;
        let (body, output) = j.body(delivered);
        Open {
            token: ex.token.clone(),
            request: j.id.as_str().to_owned(),
            attempt: self.attempt,
            incarnation: ex.incarnation,
            team: j.criteria.team.clone(),
            share: j.share,
            class: j.criteria.class.index() as u32,
            deadline: self.deadline().duration_since(Instant::now()).as_millis() as u64,
            idempotent: j.idempotent,
            key: j.idempotency_key.clone(),
            method: j.method.clone(),
            path: j.path.clone(),
            headers: j.headers.clone(),
            body,
            scope: j.scope.clone(),
            chain: j.criteria.chain.iter().map(|h| h.0).collect(),
            delivered,
            fingerprint: j.criteria.fingerprint,
            trace: self.hop.to_string(),
            stream: self.sink.is_stream(),
            output,
            strikes: self.crash_count(),
            probe: candidate.probe_id,
            crashes: self.crash_ids(),
            peers: self.pool_peers(candidate),
        }
    }

    /// The other sidecars of the pool, which the candidate's sidecar has to query before it runs a
    /// request that may crash its target. That sidecar may not list all of them yet.
    fn pool_peers(&self, candidate: &Candidate) -> Vec<Peer> {
        if self.crash_count() == 0 && self.crash_ids().is_empty() {
            return Vec::new();
        }
        let view = self.cx.view.load();
        let targets = view.world.pool_targets(self.job.criteria.pool);
        let others = targets.filter(|(key, _)| *key != candidate.target);
        let peers = others.map(|(_, t)| Peer {
            rank: t.rank,
            address: t.probe.to_string(),
        });
        peers.collect()
    }

    /// Waits for the next event of the exchange.
    async fn next(&mut self, ex: &mut CurrentExchange) -> Result<Event, Abort> {
        let Some(connection) = &mut ex.connection else {
            return Ok(Event::Lost);
        };
        // A stream that has started may continue after the deadline.
        let until = self.job.deadline + DEADLINE_GRACE;
        loop {
            let started = self.sink.is_started();
            let body = tokio::select! {
                biased;
                () = self.sink.closed() => return Err(Abort::CallerGone),
                b = timeout(SILENCE_TIMEOUT, connection.rx.next()) => b,
                () = sleep_until(until), if !started => return Err(Abort::DeadlinePassed),
            };
            match body {
                Err(_) | Ok(Err(_)) => return Ok(Event::Lost),
                Ok(Ok(Body::Beat(_))) => {}
                Ok(Ok(Body::Accepted(a))) if a.token == ex.token => ex.incarnation = a.incarnation,
                Ok(Ok(Body::Head(h))) => self.sink.head(h),
                Ok(Ok(Body::Fail(f))) => {
                    self.crashes.extend((f.crash != 0).then_some(f.crash));
                    return Ok(event(f.into()));
                }
                Ok(Ok(body)) => return Ok(event(body)),
            }
        }
    }

    /// Performs an action of the relay.
    async fn perform(&mut self, action: Action, ex: &mut CurrentExchange) -> Step {
        match action {
            Action::Wait => ControlFlow::Continue(None),
            Action::Deliver(data) => self.deliver(data, ex).await,
            Action::Resume { next, pause } => {
                sleep(pause.into()).await;
                ControlFlow::Continue(self.resume(ex, next).await)
            }
            Action::Join(owner) => ControlFlow::Continue(self.join(owner, ex).await),
            Action::RetryElsewhere { delivered, failure } => {
                if failure.outcome == Outcome::Unknown {
                    self.record_health(true);
                }
                ControlFlow::Break(AttemptEnd::RetryElsewhere { delivered, failure })
            }
            Action::Finish => {
                self.confirm(ex, true).await;
                self.put_back(ex);
                self.sink.finish();
                ControlFlow::Break(AttemptEnd::Finished)
            }
            Action::Fail(failure) => {
                self.fail(failure).await;
                ControlFlow::Break(AttemptEnd::Finished)
            }
        }
    }

    /// Passes a chunk of the answer to the caller and confirms it to the sidecar.
    async fn deliver(&mut self, data: Bytes, ex: &mut CurrentExchange) -> Step {
        if self.relay.next() == 1 && self.sink.is_stream() {
            meter::record_first_event(self.job.criteria.class, self.received_at.elapsed());
            self.record_health(false);
        }
        match self.sink.data(data).await {
            Ok(()) => {}
            Err(e) => {
                ex.cancel().await;
                self.undelivered(e).await;
                return ControlFlow::Break(AttemptEnd::Finished);
            }
        }
        self.confirm(ex, false).await;
        ControlFlow::Continue(None)
    }

    /// Ends a request whose answer can't be delivered, although its target ran it.
    async fn undelivered(&mut self, e: SinkError) {
        if e == SinkError::TooLarge {
            let failure = Failure {
                code: Code::BadAnswer,
                outcome: Outcome::Unknown,
                retry: None,
            };
            self.fail(failure).await;
        }
    }

    /// Resumes an exchange on a new connection.
    async fn resume(&self, ex: &mut CurrentExchange, next: u64) -> Option<Event> {
        metrics::counter!(meter::RESUMES).increment(1);
        ex.connection = None;
        let resume = Resume {
            token: ex.token.clone(),
            next,
            incarnation: ex.incarnation,
        };
        let mut connection = match self.cx.connections.connect(ex.address).await {
            Ok(c) => c,
            Err(e) => return Some(connect_failure(&e)),
        };
        if connection.tx.send(resume).await.is_err() {
            return Some(Event::Lost);
        }
        ex.connection = Some(connection);
        None
    }

    /// Continues with the exchange that already has this request, from its first chunk.
    async fn join(&self, owner: Owner, ex: &mut CurrentExchange) -> Option<Event> {
        let Some(joined) = CurrentExchange::joined(owner) else {
            return Some(Event::Claimed(None));
        };
        self.put_back(ex);
        *ex = joined;
        self.resume(ex, 0).await
    }

    /// Returns the connection to the pool.
    fn put_back(&self, ex: &mut CurrentExchange) {
        if let Some(c) = ex.connection.take() {
            self.cx.connections.put_back(ex.address, c);
        }
    }

    /// Confirms the received chunks to the sidecar, if a confirmation is due or `last` is set.
    async fn confirm(&mut self, ex: &mut CurrentExchange, last: bool) {
        let due = self.relay.confirm();
        let next = if last { Some(self.relay.next()) } else { due };
        if let (Some(next), Some(c)) = (next, &mut ex.connection) {
            let _ = c.tx.send(Ack { next }).await;
        }
    }
}

impl CurrentExchange {
    /// A new exchange with a replica, not connected yet.
    fn new(candidate: &Candidate) -> Self {
        Self {
            address: candidate.address,
            incarnation: candidate.incarnation,
            token: Bytes::copy_from_slice(&rand::random::<[u8; 16]>()),
            connection: None,
        }
    }

    /// The exchange of an earlier attempt; none if its address is malformed.
    fn joined(o: Owner) -> Option<Self> {
        let address = o.address.parse().ok()?;
        Some(Self {
            address,
            incarnation: o.incarnation,
            token: o.token,
            connection: None,
        })
    }

    /// Cancels the exchange; its connection isn't used again.
    async fn cancel(&mut self) {
        if let Some(mut c) = self.connection.take() {
            let _ = c.tx.send(Cancel {}).await;
        }
    }
}
