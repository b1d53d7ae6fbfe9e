//! One attempt at a request: an exchange with one replica, from its first frame to its end.
//!
//! `exchange::Relay` decides; this module sends what it wants sent and tells it what happened. Loss
//! of a connection doesn't end an attempt: the exchange goes on over another one. Another sidecar
//! may already have the same request, and then the attempt joins that exchange.

use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::time::Duration;

use bytes::Bytes;
use exchange::{Action, Event, Failure, Owner};
use model::{Code, Outcome};
use policy::health;
use tokio::time::{sleep, sleep_until, timeout, Instant};
use wire::{Ack, Body, Cancel, Open, Resume};

use crate::clock;
use crate::connection_pool::Connection;
use crate::entry::drive::Drive;
use crate::entry::frames::{event, gone};
use crate::entry::out::OutError;
use crate::entry::pick::Picked;
use crate::meter;

/// Longest silence of a sidecar, four of its heartbeats.
const SILENCE: Duration = Duration::from_secs(2);
/// How long after the deadline the sidecar may still say what became of the request.
const GRACE: Duration = Duration::from_millis(30);

/// How an attempt ended, seen from the request.
pub(super) enum Ended {
    /// The caller has its answer or knows why not.
    Over,
    /// Try another replica.
    Elsewhere { delivered: u64, failure: Failure },
}

/// Why an attempt is broken off.
pub(super) enum Stop {
    /// The caller went away.
    Gone,
    /// The deadline passed.
    Late,
}

/// The exchange that is under way.
struct Current {
    /// The sidecar's address.
    address: SocketAddr,
    /// The sidecar's life, as far as known.
    life: u64,
    /// What names the exchange.
    token: Bytes,
    /// The connection, while there is one.
    link: Option<Connection>,
}

/// What an action leads to: the end of the attempt, or an event if one is known already.
type Step = ControlFlow<Ended, Option<Event>>;

impl Drive {
    /// Makes an attempt at a replica; what the caller has of the answer isn't sent again.
    pub(super) async fn attempt(&mut self, p: Picked, delivered: u64) -> Ended {
        self.note(&p);
        let mut at = Current::new(&p);
        let mut known = self.begin_exchange(&mut at, p.probe, delivered).await;
        loop {
            let event = match known.take() {
                Some(e) => Ok(e),
                None => self.next(&mut at).await,
            };
            let action = match event {
                Ok(e) => self.relay.step(e),
                Err(stop) => {
                    at.cancel().await;
                    self.stop(stop).await;
                    return Ended::Over;
                }
            };
            match self.act(action, &mut at).await {
                ControlFlow::Continue(event) => known = event,
                ControlFlow::Break(ended) => return ended,
            }
        }
    }

    /// Remembers the attempt, who gets the prompt, and that a slow target is on trial.
    fn note(&mut self, p: &Picked) {
        self.tried.push(p.target);
        self.attempt += 1;
        metrics::counter!(meter::ATTEMPTS).increment(1);
        self.cost = p.cost;
        self.sent = Instant::now();
        self.at = Some(p.target);
        let mut memory = self.cx.memory.lock();
        memory.recent.record_use(&self.job.want.chain, p.target);
        if memory.health.usable(clock::now(), p.target) == health::Use::Trial {
            memory.health.start_trial(clock::now(), p.target);
        }
    }

    /// Connects and sends the request.
    async fn begin_exchange(
        &mut self,
        at: &mut Current,
        probe: u64,
        delivered: u64,
    ) -> Option<Event> {
        let open = self.open(at, probe, delivered);
        at.link = self.cx.links.take(at.address).await.ok();
        let Some(link) = &mut at.link else {
            return Some(Event::Unsent);
        };
        self.opened = true;
        let sent = link.tx.send(open).await;
        sent.err().map(|_| Event::Lost)
    }

    /// The request as this attempt sends it.
    fn open(&self, at: &Current, probe: u64, delivered: u64) -> Open {
        let j = &self.job;
        let (body, output) = j.body(delivered);
        Open {
            token: at.token.clone(),
            request: j.id.as_str().to_owned(),
            attempt: self.attempt,
            incarnation: at.life,
            team: j.want.team.clone(),
            share: j.share,
            class: j.want.class.index() as u32,
            deadline: self.deadline().duration_since(Instant::now()).as_millis() as u64,
            idempotent: j.idempotent,
            key: j.key.clone(),
            method: j.method.clone(),
            path: j.path.clone(),
            headers: j.headers.clone(),
            body,
            scope: j.scope.clone(),
            chain: j.want.chain.iter().map(|h| h.0).collect(),
            delivered,
            fingerprint: j.want.fingerprint,
            trace: self.hop.to_string(),
            stream: self.out.is_stream(),
            output,
            strikes: self.strikes(),
            probe,
            crashes: self.named_crashes(),
        }
    }

    /// The next thing that happens to the exchange.
    async fn next(&mut self, at: &mut Current) -> Result<Event, Stop> {
        let Some(link) = &mut at.link else {
            return Ok(Event::Lost);
        };
        // A stream that has begun may outlast the deadline.
        let until = self.job.deadline + GRACE;
        loop {
            let started = self.out.is_started();
            let body = tokio::select! {
                biased;
                () = self.out.closed() => return Err(Stop::Gone),
                b = timeout(SILENCE, link.rx.next()) => b,
                () = sleep_until(until), if !started => return Err(Stop::Late),
            };
            match body {
                Err(_) | Ok(Err(_)) => return Ok(Event::Lost),
                Ok(Ok(Body::Beat(_))) => {}
                Ok(Ok(Body::Accepted(a))) if a.token == at.token => at.life = a.incarnation,
                Ok(Ok(Body::Head(h))) => self.out.head(h),
                Ok(Ok(Body::Fail(f))) => {
                    self.crashes.extend((f.crash != 0).then_some(f.crash));
                    return Ok(event(f.into()));
                }
                Ok(Ok(body)) => return Ok(event(body)),
            }
        }
    }

    /// Does what the relay wants done.
    async fn act(&mut self, action: Action, at: &mut Current) -> Step {
        match action {
            Action::Wait => ControlFlow::Continue(None),
            Action::Deliver(data) => self.deliver(data, at).await,
            Action::Resume { next, pause } => {
                sleep(pause.into()).await;
                ControlFlow::Continue(self.resume(at, next).await)
            }
            Action::Join(owner) => ControlFlow::Continue(self.join(owner, at).await),
            Action::RetryElsewhere { delivered, failure } => {
                if failure.outcome == Outcome::Unknown {
                    self.measured(true);
                }
                ControlFlow::Break(Ended::Elsewhere { delivered, failure })
            }
            Action::Finish => {
                self.confirm(at, true).await;
                self.give_back(at);
                self.out.finish();
                ControlFlow::Break(Ended::Over)
            }
            Action::Fail(failure) => {
                self.give(failure).await;
                ControlFlow::Break(Ended::Over)
            }
        }
    }

    /// Hands a piece of the answer to the caller, and confirms it.
    async fn deliver(&mut self, data: Bytes, at: &mut Current) -> Step {
        if self.relay.next() == 1 && self.out.is_stream() {
            meter::first(self.job.want.class, self.begun.elapsed());
            self.measured(false);
        }
        match self.out.data(data).await {
            Ok(()) => {}
            Err(e) => {
                at.cancel().await;
                self.undelivered(e).await;
                return ControlFlow::Break(Ended::Over);
            }
        }
        self.confirm(at, false).await;
        ControlFlow::Continue(None)
    }

    /// Ends a request whose answer can't go on to its caller, although its target ran it.
    async fn undelivered(&mut self, e: OutError) {
        if e == OutError::Large {
            let failure = Failure {
                code: Code::BadAnswer,
                outcome: Outcome::Unknown,
                retry: None,
            };
            self.give(failure).await;
        }
    }

    /// Goes on with an exchange on a new connection.
    async fn resume(&self, at: &mut Current, next: u64) -> Option<Event> {
        metrics::counter!(meter::RESUMES).increment(1);
        at.link = None;
        let resume = Resume {
            token: at.token.clone(),
            next,
            incarnation: at.life,
        };
        let mut link = match self.cx.links.connect(at.address).await {
            Ok(l) => l,
            Err(e) => return Some(gone(&e)),
        };
        if link.tx.send(resume).await.is_err() {
            return Some(Event::Lost);
        }
        at.link = Some(link);
        None
    }

    /// Goes on with the exchange that already has this request, from its beginning.
    async fn join(&self, owner: Owner, at: &mut Current) -> Option<Event> {
        let Some(joined) = Current::joined(owner) else {
            return Some(Event::Claimed(None));
        };
        self.give_back(at);
        *at = joined;
        self.resume(at, 0).await
    }

    /// Lets other requests use the connection.
    fn give_back(&self, at: &mut Current) {
        if let Some(l) = at.link.take() {
            self.cx.links.put_back(at.address, l);
        }
    }

    /// Tells the sidecar how much of the answer arrived, if that is due.
    async fn confirm(&mut self, at: &mut Current, last: bool) {
        let due = self.relay.confirm();
        let next = if last { Some(self.relay.next()) } else { due };
        if let (Some(next), Some(l)) = (next, &mut at.link) {
            let _ = l.tx.send(Ack { next }).await;
        }
    }
}

impl Current {
    /// A new exchange with a replica, not connected yet.
    fn new(p: &Picked) -> Self {
        Self {
            address: p.address,
            life: p.life,
            token: Bytes::copy_from_slice(&rand::random::<[u8; 16]>()),
            link: None,
        }
    }

    /// An exchange that another sidecar told of, unless its address makes no sense.
    fn joined(o: Owner) -> Option<Self> {
        let address = o.address.parse().ok()?;
        Some(Self {
            address,
            life: o.incarnation,
            token: o.token,
            link: None,
        })
    }

    /// Tells the sidecar that nobody wants the answer; its connection isn't used again.
    async fn cancel(&mut self) {
        if let Some(mut l) = self.link.take() {
            let _ = l.tx.send(Cancel {}).await;
        }
    }
}
