//! Drives one request to its end: attempts, resumptions, the caller's stream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use exchange::{events, Action, Event, Failed, Failure, NotRun, Owner, Relay};
use model::{Code, Micros, Outcome, RequestId};
use policy::health;
use policy::quarantine::Verdict;
use policy::retry;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout, Instant};
use tracing::Instrument;
use wire::{Ack, Body, Cancel, Head, Header, Open, Refuse, Resume, WireError};

use crate::clock;
use crate::entry::answer::Problem;
use crate::entry::ask::{Added, Completion};
use crate::entry::pick::{pick, Picked, Told};
use crate::entry::probe::Wanted;
use crate::entry::stop::Taken;
use crate::entry::Context;
use crate::link::Link;
use crate::log;
use crate::mark::{self, Mark};
use crate::meter;
use crate::{hop, member, trace};

/// Longest silence of a sidecar, four of its heartbeats.
const SILENCE: Duration = Duration::from_secs(2);
/// Attempts at a request that planned stops send from one sidecar to the next.
const DRAINED: u32 = 8;
/// How long after the deadline the sidecar may still say what became of the request.
const GRACE: Duration = Duration::from_millis(30);
/// Targets that may die under one request. Membership tells the fleet of each crash a little
/// later than an attempt elsewhere begins, so that the entry counts, too.
const CRASHES: u32 = 2;
/// How long a stream that has begun may wait for its turn at another replica; a reader takes a
/// longer pause for the end.
const RESUME: Duration = Duration::from_secs(10);
/// Largest answer that is collected before its caller gets any of it.
const WHOLE_MAX: usize = 16 << 20;

/// A request with all that the rules made of it.
#[derive(Debug)]
pub struct Job {
    /// Its id.
    pub id: RequestId,
    /// What the choice of a replica depends on.
    pub want: Wanted,
    /// Weight of its team.
    pub share: u32,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The caller's idempotency key.
    pub key: String,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers for the target.
    pub headers: Vec<Header>,
    /// Body for the target.
    pub body: Payload,
    /// Cache scope.
    pub scope: String,
    /// When the answer is of no more use.
    pub deadline: Instant,
    /// Trace context.
    pub trace: trace::Context,
}

/// What goes to the target.
#[derive(Debug)]
pub enum Payload {
    /// Bytes as they came.
    Plain(Bytes),
    /// A completion, whose body says where to go on.
    Completion(Box<Completion>),
}

/// What the caller gets first.
#[derive(Debug)]
pub enum Answer {
    /// All of it.
    Whole(Head, Bytes),
    /// Its head, and then pieces.
    Stream(Head, mpsc::Receiver<Piece>),
    /// None.
    None(Problem),
}

/// A piece of a stream.
#[derive(Debug)]
pub enum Piece {
    /// Bytes.
    Data(Bytes),
    /// The stream can't be completed.
    Broken(Problem),
}

/// Runs a job; the answer comes through `out`.
pub async fn drive(cx: Arc<Context>, job: Job, out: oneshot::Sender<Answer>) {
    let stream = matches!(&job.body, Payload::Completion(c) if c.stream);
    let out = Out {
        first: Some(out),
        head: None,
        body: None,
        whole: BytesMut::new(),
        stream,
    };
    let relay = Relay::new(job.idempotent, stream);
    let _taken = Taken::new(&cx);
    let hop = job.trace.child();
    let span = hop!("entry", job.trace, hop, request = job.id);
    Drive {
        cx,
        job,
        relay,
        out,
        tried: Vec::new(),
        attempt: 0,
        opened: false,
        suspect: false,
        cost: None,
        begun: Instant::now(),
        sent: Instant::now(),
        at: None,
        hop,
    }
    .run()
    .instrument(span)
    .await;
}

struct Drive {
    cx: Arc<Context>,
    job: Job,
    relay: Relay,
    out: Out,
    tried: Vec<model::TargetKey>,
    attempt: u32,
    opened: bool,
    /// Another process found that a target died under this request.
    suspect: bool,
    /// What the current replica told.
    cost: Option<Told>,
    /// When the request came.
    begun: Instant,
    /// When the current attempt began.
    sent: Instant,
    /// The replica of the current attempt.
    at: Option<model::TargetKey>,
    /// The span of the whole request.
    hop: trace::Context,
}

/// How one exchange ended, seen from the request.
enum Ended {
    /// The caller has its answer or knows why not.
    Over,
    /// Try another replica.
    Elsewhere { delivered: u64, failure: Failure },
}

/// The exchange that is under way.
struct Current {
    address: SocketAddr,
    life: u64,
    token: Bytes,
}

impl Drive {
    async fn run(mut self) {
        if let Some(failure) = self.begin() {
            return self.give(failure).await;
        }
        let mut delivered = 0;
        let mut failure = none();
        loop {
            let view = self.cx.view.load_full();
            let probe = self.hop.child();
            let span = hop!("probe", self.hop, probe);
            let picking = pick(&self.cx, &view, &self.job.want, &self.tried);
            let picked = match picking.instrument(span).await {
                Ok(p) => p,
                Err(f) if f.code == Code::Quarantined => {
                    return self.give(convicted(&failure)).await
                }
                // What happened before says more than that nobody is left.
                Err(f) if self.attempt == 0 => return self.give(f).await,
                Err(_) => break,
            };
            let Some(p) = picked.into_iter().next() else {
                break;
            };
            match self.attempt(p, delivered).await {
                Ended::Over => return,
                Ended::Elsewhere {
                    delivered: d,
                    failure: f,
                } => {
                    delivered = d;
                    failure = f;
                    self.out.restart();
                }
            }
            if !self.again(&failure) {
                break;
            }
        }
        self.give(failure).await;
    }

    /// Counts the request; a convicted one ends here.
    fn begin(&mut self) -> Option<Failure> {
        let mut memory = self.cx.memory.lock();
        memory.budget.sent();
        let verdict = memory.verdict(clock::now(), self.job.want.fingerprint);
        self.suspect = verdict == Verdict::Suspect;
        (verdict == Verdict::Convicted).then_some(Failure {
            code: Code::Quarantined,
            outcome: Outcome::NotRun,
            retry: None,
        })
    }

    /// Targets that died under this request, as far as this entry knows.
    fn strikes(&self) -> u32 {
        self.relay.crashes() + u32::from(self.suspect)
    }

    /// Whether another attempt may be made after this failure.
    fn again(&mut self, failure: &Failure) -> bool {
        if self.strikes() >= CRASHES {
            return false;
        }
        if failure.code == Code::Draining {
            // A planned stop is no failure: its requests go elsewhere whatever the budget says.
            return self.attempt < DRAINED;
        }
        let now = clock::now();
        let left = self.deadline().saturating_duration_since(Instant::now());
        let f = retry::Failure {
            attempt: model::Attempt(self.attempt - 1),
            outcome: failure.outcome,
            idempotent: self.job.idempotent,
            deadline: now + Micros::from(left),
            least: Micros::ZERO,
        };
        let again = self.cx.memory.lock().budget.again(now, &f);
        again.is_ok()
    }

    /// When an attempt is of no more use. The deadline is for the beginning of the answer; whoever
    /// reads a stream past it would otherwise lose it with its engine.
    fn deadline(&self) -> Instant {
        match self.out.started() {
            true => Instant::now() + RESUME,
            false => self.job.deadline,
        }
    }

    /// Notes how the current replica answered, for comparison with its peers.
    fn measured(&self, failed: bool) {
        let Some(target) = self.at else { return };
        let sample = match (failed, self.cost) {
            (true, _) => health::Sample::Failed,
            (false, Some(Told { wait, expected })) => health::Sample::Answered {
                wait,
                expected: expected.max(Micros(1)),
                took: self.sent.elapsed().into(),
            },
            (false, None) => return,
        };
        let mut memory = self.cx.memory.lock();
        memory.health.measured(clock::now(), target, sample);
    }

    async fn attempt(&mut self, p: Picked, delivered: u64) -> Ended {
        self.tried.push(p.target);
        self.attempt += 1;
        metrics::counter!(meter::ATTEMPTS).increment(1);
        self.cost = p.cost;
        self.sent = Instant::now();
        self.at = Some(p.target);
        self.note(&p);
        let token = Bytes::copy_from_slice(&rand::random::<[u8; 16]>());
        let mut at = Current {
            address: p.address,
            life: p.life,
            token,
        };
        let open = self.open(&at, p.probe, delivered);
        let mut link = self.cx.links.take(at.address).await.ok();
        let mut event = match &mut link {
            None => Some(Event::Unsent),
            Some(l) => {
                self.opened = true;
                l.tx.send(open).await.err().map(|_| Event::Lost)
            }
        };
        loop {
            let now = match event.take() {
                Some(e) => e,
                None => match self.next(link.as_mut(), &mut at).await {
                    Ok(e) => e,
                    Err(stop) => {
                        self.cancel(link).await;
                        self.stop(stop).await;
                        return Ended::Over;
                    }
                },
            };
            match self.relay.step(now) {
                Action::Wait => {}
                Action::Deliver(data) => {
                    if self.relay.next() == 1 && self.out.stream {
                        meter::first(self.job.want.class, self.begun.elapsed());
                        self.measured(false);
                    }
                    if !self.out.data(data).await {
                        self.cancel(link).await;
                        return Ended::Over;
                    }
                    self.confirm(link.as_mut(), false).await;
                }
                Action::Resume { next, pause } => {
                    sleep(pause.into()).await;
                    link = None;
                    event = match self.resume(&at, next).await {
                        Ok(l) => {
                            link = Some(l);
                            None
                        }
                        Err(e) => Some(e),
                    };
                }
                Action::Join(owner) => {
                    let Some(joined) = joined(owner) else {
                        event = Some(Event::Claimed(None));
                        continue;
                    };
                    if let Some(l) = link.take() {
                        self.cx.links.give(at.address, l);
                    }
                    at = joined;
                    event = self.resume(&at, 0).await.map(|l| link = Some(l)).err();
                }
                Action::Elsewhere { delivered, failure } => {
                    if failure.outcome == Outcome::Unknown {
                        self.measured(true);
                    }
                    return Ended::Elsewhere { delivered, failure };
                }
                Action::Finish => {
                    self.confirm(link.as_mut(), true).await;
                    if let Some(l) = link {
                        self.cx.links.give(at.address, l);
                    }
                    self.out.finish();
                    return Ended::Over;
                }
                Action::Give(f) => {
                    self.give(f).await;
                    return Ended::Over;
                }
            }
        }
    }

    /// Remembers who gets the prompt, and that a slow target is on trial.
    fn note(&self, p: &Picked) {
        let mut memory = self.cx.memory.lock();
        memory.recent.used(&self.job.want.chain, p.target);
        if memory.health.usable(clock::now(), p.target) == health::Use::Trial {
            memory.health.tried(clock::now(), p.target);
        }
    }

    fn open(&self, at: &Current, probe: u64, delivered: u64) -> Open {
        let j = &self.job;
        let (body, output) = match &j.body {
            Payload::Plain(b) => (b.clone(), 0),
            Payload::Completion(c) => {
                let add = Added {
                    scope: &j.scope,
                    class: j.want.class,
                    delivered,
                };
                (c.render(add), c.output)
            }
        };
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
            stream: self.out.stream,
            output,
            strikes: self.strikes(),
            probe,
        }
    }

    /// The next thing that happens to the exchange.
    async fn next(&mut self, link: Option<&mut Link>, at: &mut Current) -> Result<Event, Stop> {
        let Some(link) = link else {
            return Ok(Event::Lost);
        };
        loop {
            let until = match self.out.started() {
                true => Instant::now() + SILENCE,
                false => self.job.deadline + GRACE,
            };
            let body = tokio::select! {
                biased;
                () = self.out.closed() => return Err(Stop::Gone),
                b = timeout(SILENCE, link.rx.next()) => b,
                () = tokio::time::sleep_until(until), if !self.out.started() => {
                    return Err(Stop::Late);
                }
            };
            match body {
                Err(_) | Ok(Err(_)) => return Ok(Event::Lost),
                Ok(Ok(Body::Beat(_))) => {}
                Ok(Ok(Body::Accepted(a))) if a.token == at.token => at.life = a.incarnation,
                Ok(Ok(Body::Head(h))) => self.out.head = Some(h),
                Ok(Ok(body)) => return Ok(event(body)),
            }
        }
    }

    /// Goes on with an exchange on a new connection.
    async fn resume(&self, at: &Current, next: u64) -> Result<Link, Event> {
        metrics::counter!(meter::RESUMES).increment(1);
        let resume = Resume {
            token: at.token.clone(),
            next,
            incarnation: at.life,
        };
        let mut link = self
            .cx
            .links
            .fresh(at.address)
            .await
            .map_err(|e| gone(&e))?;
        link.tx.send(resume).await.map_err(|_| Event::Lost)?;
        Ok(link)
    }

    async fn confirm(&mut self, link: Option<&mut Link>, last: bool) {
        let due = self.relay.confirm();
        let next = if last { Some(self.relay.next()) } else { due };
        if let (Some(next), Some(l)) = (next, link) {
            let _ = l.tx.send(Ack { next }).await;
        }
    }

    /// Tells the sidecar that nobody wants the answer; its connection isn't used again.
    async fn cancel(&self, link: Option<Link>) {
        if let Some(mut l) = link {
            let _ = l.tx.send(Cancel {}).await;
        }
    }

    async fn stop(&mut self, stop: Stop) {
        let outcome = if self.opened {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        match stop {
            Stop::Gone => {
                spdlog::info!(logger: log::entry(), "request {} cancelled by caller", self.job.id);
            }
            Stop::Late => {
                self.give(Failure {
                    code: Code::Deadline,
                    outcome,
                    retry: None,
                })
                .await;
            }
        }
    }

    /// Holds back the answer to a request that crashed its target. Its caller sends it again as
    /// soon as it has one, and whoever hasn't heard of the crash by then loses one more target.
    /// The sidecars tell the fleet; the entry does, too, if only it knows that it were two.
    async fn warn(&self) {
        let mark = Mark {
            print: self.job.want.fingerprint,
            convicted: true,
            crash: 0,
        };
        for _ in 0..mark::ROUNDS {
            if self.strikes() >= CRASHES {
                let now = clock::now();
                // A later end makes it news again, for those whom the last round missed.
                let until = now + mark::lasts();
                self.cx.memory.lock().told(now, mark, until);
                let fingerprint = mark.encode();
                let news = member::Ask::Convict(fleet::Conviction { fingerprint, until });
                let _ = self.cx.members.send(news);
            }
            sleep(mark::ROUND).await;
        }
    }

    async fn give(&mut self, f: Failure) {
        let crashed = self.relay.crashes() > 0;
        let f = match crashed && self.strikes() >= CRASHES {
            true => convicted(&f),
            false => f,
        };
        if crashed {
            self.warn().await;
        }
        let message = format!("no answer: {}", f.code);
        let problem = Problem {
            code: f.code,
            outcome: f.outcome,
            message,
            retry: f.retry,
        };
        spdlog::warn!(
            logger: log::entry(),
            "request {} failed: {}, outcome {}", self.job.id, f.code, f.outcome
        );
        self.out.fail(problem).await;
    }
}

/// Why an attempt is broken off.
enum Stop {
    /// The caller went away.
    Gone,
    /// The deadline passed.
    Late,
}

/// The caller's side.
struct Out {
    first: Option<oneshot::Sender<Answer>>,
    head: Option<Head>,
    body: Option<mpsc::Sender<Piece>>,
    whole: BytesMut,
    stream: bool,
}

/// Pieces on their way to a caller.
const PIECES: usize = 32;

impl Out {
    /// Whether the caller has seen anything.
    fn started(&self) -> bool {
        self.first.is_none()
    }

    /// Waits until the caller is gone.
    async fn closed(&mut self) {
        match (&mut self.first, &self.body) {
            (Some(f), _) => f.closed().await,
            (None, Some(b)) => b.closed().await,
            (None, None) => std::future::pending().await,
        }
    }

    /// Takes a piece of the answer; false if the caller is gone.
    async fn data(&mut self, data: Bytes) -> bool {
        if !self.stream {
            self.whole.extend_from_slice(&data);
            return self.whole.len() <= WHOLE_MAX;
        }
        if let Some(first) = self.first.take() {
            let (tx, rx) = mpsc::channel(PIECES);
            let head = self.head.take().unwrap_or_default();
            if first.send(Answer::Stream(head, rx)).is_err() {
                return false;
            }
            self.body = Some(tx);
        }
        match &self.body {
            Some(b) => b.send(Piece::Data(data)).await.is_ok(),
            None => false,
        }
    }

    /// Forgets what the caller hasn't seen.
    fn restart(&mut self) {
        self.whole.clear();
        self.head = None;
    }

    fn finish(&mut self) {
        let head = self.head.take().unwrap_or_default();
        if let Some(first) = self.first.take() {
            let _ = first.send(Answer::Whole(head, self.whole.split().freeze()));
        }
        self.body = None;
    }

    async fn fail(&mut self, problem: Problem) {
        match (self.first.take(), &self.body) {
            (Some(first), _) => drop(first.send(Answer::None(problem))),
            (None, Some(b)) => drop(b.send(Piece::Broken(problem)).await),
            (None, None) => {}
        }
    }
}

fn event(body: Body) -> Event {
    match body {
        Body::Chunk(c) => {
            let events = events::count(&c.data);
            Event::Chunk {
                seq: c.seq,
                data: c.data,
                events,
            }
        }
        Body::End(e) => Event::End {
            count: e.count,
            digest: e.digest,
        },
        Body::Refuse(r) if code(r.code) == Code::AlreadyAttempted => {
            Event::Claimed(r.owner.map(|o| Owner {
                token: o.token,
                address: o.address,
                incarnation: o.incarnation,
            }))
        }
        Body::Refuse(r) => Event::Refused(heard(&r)),
        Body::Fail(f) => Event::Failed(Failed {
            code: code(f.code),
            known: f.known,
            crashed: f.crashed,
        }),
        // Nothing else belongs here; a peer that sends it can't be trusted with the rest.
        _ => Event::Lost,
    }
}

fn heard(r: &Refuse) -> NotRun {
    let retry = (r.retry > 0).then(|| Micros::from_millis(r.retry));
    NotRun::heard(code(r.code), retry)
}

fn code(n: u32) -> Code {
    Code::from_number(n).unwrap_or(Code::Internal)
}

fn joined(o: Owner) -> Option<Current> {
    let address = o.address.parse().ok()?;
    Some(Current {
        address,
        life: o.incarnation,
        token: o.token,
    })
}

/// A refused connection means that the process is gone; anything else may pass.
fn gone(e: &WireError) -> Event {
    match e {
        WireError::Io(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => Event::Gone,
        _ => Event::Lost,
    }
}

/// The final answer to a request that crashes its targets; an earlier attempt may have run.
fn convicted(before: &Failure) -> Failure {
    Failure {
        code: Code::Quarantined,
        outcome: before.outcome,
        retry: None,
    }
}

fn none() -> Failure {
    Failure {
        code: Code::NoTarget,
        outcome: Outcome::NotRun,
        retry: Some(Micros::from_secs(1)),
    }
}
