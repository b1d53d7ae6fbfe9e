//! The control thread of a sidecar: decisions, probes, membership, planned stop.

use std::io;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use fleet::Conviction;
use model::{BlockHash, Class, Code, Incarnation, MemberId, Micros, Version};
use policy::drain::{self, Drain};
use prefix::{Marks, Need};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use wire::{Keys, Message, Offer, Packet, Probe, PACKET_MAX};

use crate::clock;
use crate::log;
use crate::mark::{self, Mark};
use crate::member::{self, Me, Membership};
use crate::meter;
use crate::settings::{Settings, Sidecar};
use crate::sidecar::decide::{Decide, Found, Question, Refusal, RunKey, State, Work};
use crate::tune::Tuning;
use crate::view::Shared;

/// Told when a request's turn comes, or that it doesn't.
pub type Grant = oneshot::Sender<Result<RunKey, Refusal>>;

/// Longest sleep of the control thread.
const SLEEP: Duration = Duration::from_millis(250);

/// What traffic tells control.
#[derive(Debug)]
pub enum Ask {
    /// A request wants its turn.
    Enqueue {
        /// What it asks.
        work: Work,
        /// Told when its turn comes.
        grant: Grant,
    },
    /// The target sent a first byte.
    First(RunKey),
    /// The target died under a request.
    Crashed(RunKey),
    /// So many more events of a stream came.
    Progress(RunKey, u64),
    /// A request that had its turn has ended, after so many more events of its stream.
    Finished(RunKey, u64),
    /// An exchange began.
    Taken,
    /// An exchange has ended and its entry knows.
    Ended,
    /// The target's load; `None` if it doesn't answer.
    Load(Option<Load>),
    /// Cache events.
    Events(Vec<prefix::Event>),
    /// The whole cache.
    Cache(Incarnation, u64, Vec<prefix::Block>),
    /// Leave the target alone for an order; told once nothing runs there. The engine's own
    /// report of what runs lags and can't be used for this.
    Quiet(oneshot::Sender<()>),
    /// The order is over.
    Unquiet,
    /// The process is told to stop.
    Stop,
}

/// What a target reports of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Its life.
    pub incarnation: Incarnation,
    /// Model it serves.
    pub model: String,
    /// Weights it serves.
    pub weights: String,
    /// Whether it is loading others.
    pub loading: bool,
}

/// What the target was found to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Health {
    /// Whether it answers.
    pub up: bool,
    /// Its life.
    pub life: Incarnation,
}

/// Traffic's way to the control thread.
#[derive(Clone, Debug)]
pub struct Asker {
    ask: mpsc::UnboundedSender<Ask>,
    health: watch::Receiver<Health>,
    need: watch::Receiver<u64>,
    gone: watch::Receiver<bool>,
}

/// Control's end of it.
#[derive(Debug)]
pub struct Asked {
    ask: mpsc::UnboundedReceiver<Ask>,
    health: watch::Sender<Health>,
    need: watch::Sender<u64>,
    gone: watch::Sender<bool>,
}

impl Asker {
    /// Tells control something; it is lost if control has stopped.
    pub fn send(&self, ask: Ask) {
        let _ = self.ask.send(ask);
    }

    /// What the target was last found to be.
    pub fn health(&self) -> Health {
        *self.health.borrow()
    }

    /// Waits until the target is found to be down or in another life. The first life found is not
    /// another one than that which wasn't known yet: a sidecar that serves as soon as it starts
    /// would else break off its first requests, and hold a crash against them.
    pub async fn lost(&self, mut life: Incarnation) {
        let mut health = self.health.clone();
        let is_lost = |h: &Health| {
            if life == Incarnation(0) {
                life = h.life;
            }
            !h.up || h.life != life
        };
        let stopped = health.wait_for(is_lost).await.is_err();
        if stopped {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until control wants the engine's whole cache.
    pub async fn wanted(&mut self) {
        if self.need.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until the process may exit.
    pub async fn exit(&mut self) {
        let _ = self.gone.wait_for(|g| *g).await;
    }
}

/// A new way to a control thread.
pub fn channel() -> (Asker, Asked) {
    let (tx, rx) = mpsc::unbounded_channel();
    let first = Health {
        up: true,
        life: Incarnation(0),
    };
    let (health, is_healthy) = watch::channel(first);
    let (need, needed) = watch::channel(0);
    let (gone, is_gone) = watch::channel(false);
    let asker = Asker {
        ask: tx,
        health: is_healthy,
        need: needed,
        gone: is_gone,
    };
    let asked = Asked {
        ask: rx,
        health,
        need,
        gone,
    };
    (asker, asked)
}

/// What the control thread is given.
#[derive(Debug)]
pub struct Start {
    /// Settings of the process.
    pub settings: Settings,
    /// Settings of the role.
    pub role: Sidecar,
    /// What the fleet is told of this process.
    pub me: Me,
    /// Socket for probes.
    pub probes: std::net::UdpSocket,
    /// Socket for membership.
    pub gossip: std::net::UdpSocket,
    /// Messages from traffic.
    pub asked: Asked,
    /// Where the fleet's view goes.
    pub view: Shared,
    /// Messages for membership.
    pub members: mpsc::UnboundedReceiver<member::Ask>,
    /// Convictions for membership.
    pub convict: member::Asker,
}

/// Starts the control thread.
pub fn spawn(start: Start) -> io::Result<JoinHandle<io::Result<()>>> {
    let name = "control".to_owned();
    std::thread::Builder::new().name(name).spawn(move || {
        let run = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        run.block_on(control(start))
    })
}

async fn control(start: Start) -> io::Result<()> {
    let s = start;
    let udp = UdpSocket::from_std(s.probes)?;
    let gossip = UdpSocket::from_std(s.gossip)?;
    let life = s.me.life;
    let notice = s.settings.notice.into();
    let view = s.view;
    let shared = Arc::clone(&view);
    let members = Membership::new(&s.settings, s.me, gossip, shared, s.members)?;
    let state = Control {
        keys: s.settings.keys.clone(),
        life,
        decide: Decide::new(s.role.kind, s.role.slots, MemberId(life)),
        drain: Drain::new(drain::Config { notice }, drain::Role::Sidecar),
        members,
        convict: s.convict,
        asked: s.asked,
        news: Vec::new(),
        rng: SmallRng::from_os_rng(),
        pool: s.role.pool,
        quiet: None,
        view,
        version: Version(0),
    };
    state.run(udp).await;
    Ok(())
}

struct Control {
    keys: Keys,
    life: u64,
    decide: Decide<Grant>,
    drain: Drain,
    members: Membership,
    convict: member::Asker,
    asked: Asked,
    /// Of requests that crashed the target.
    news: Vec<News>,
    rng: SmallRng,
    pool: String,
    /// Told once nothing runs at the target.
    quiet: Option<oneshot::Sender<()>>,
    view: Shared,
    /// Version that the decisions follow.
    version: Version,
}

/// What the fleet is told more than once.
struct News {
    mark: Mark,
    at: Micros,
    left: u32,
}

impl Control {
    async fn run(mut self, udp: UdpSocket) {
        let mut buf = vec![0; PACKET_MAX + 1];
        loop {
            let wake = [self.decide.wake(), self.drain.wake()];
            let wake = wake.into_iter().flatten().min();
            let wait = wake.map(|w| Duration::from(w.since(clock::now())));
            tokio::select! {
                ask = self.asked.ask.recv() => match ask {
                    Some(a) => self.ask(a),
                    None => return,
                },
                got = udp.recv_from(&mut buf) => if let Ok((n, from)) = got {
                    let bytes = Bytes::copy_from_slice(&buf[..n]);
                    if let Some(offer) = self.packet(&bytes) {
                        let _ = udp.send_to(&offer, from).await;
                    }
                },
                on = self.members.run_once() => if !on {
                    return;
                },
                () = tokio::time::sleep(wait.unwrap_or(SLEEP).min(SLEEP)) => {}
            }
            self.marks();
            self.tune();
            self.tell(clock::now());
            self.grant();
            self.step(drain::Event::Tick);
        }
    }

    fn ask(&mut self, ask: Ask) {
        let now = clock::now();
        match ask {
            Ask::Enqueue { work, grant } => {
                let taken = self.decide.open(now, work, grant, &mut self.rng);
                if let Err((grant, r)) = taken {
                    metrics::counter!(meter::REFUSED, "code" => r.code.as_str()).increment(1);
                    let _ = grant.send(Err(r));
                }
            }
            Ask::First(run) => self.decide.first(now, run),
            Ask::Crashed(run) => self.crashed(now, run),
            Ask::Progress(run, events) => self.decide.progress(now, run, events),
            Ask::Finished(run, events) => self.decide.finished(now, run, events),
            Ask::Taken => self.step(drain::Event::Taken),
            Ask::Ended => self.step(drain::Event::Ended),
            Ask::Load(load) => self.load(load),
            Ask::Events(events) => {
                for e in events {
                    let need = self.decide.event(now, e);
                    self.want(need);
                }
            }
            Ask::Cache(life, seq, blocks) => {
                let need = self.decide.listed(now, life, seq, blocks);
                self.want(need);
            }
            Ask::Quiet(done) => {
                let back = self.decide.quiet(true);
                refuse(back, Code::Draining, None);
                self.quiet = Some(done);
            }
            Ask::Unquiet => {
                self.decide.quiet(false);
                self.quiet = None;
            }
            Ask::Stop => self.step(drain::Event::Stop),
        }
    }

    /// Gives turns to whoever may have one, and back what is too late.
    fn grant(&mut self) {
        let now = clock::now();
        for (grant, r) in self.decide.expire(now, &mut self.rng) {
            refuse(vec![grant], r.code, r.retry);
        }
        while let Some(g) = self.decide.next(now) {
            // Its caller may have gone while it waited.
            if g.grant.send(Ok(g.run)).is_err() {
                self.decide.finished(now, g.run, 0);
            }
        }
        if self.decide.running() == 0 {
            if let Some(done) = self.quiet.take() {
                let _ = done.send(());
            }
        }
        let need = self.decide.tick(now);
        self.want(need);
        metrics::gauge!(meter::BLOCKS).set(self.decide.blocks() as f64);
        metrics::gauge!(meter::QUEUE).set(self.decide.waiting() as f64);
        metrics::gauge!(meter::RUNNING).set(self.decide.running() as f64);
    }

    fn step(&mut self, event: drain::Event) {
        let mut out = Vec::new();
        self.drain.step(clock::now(), event, &mut out);
        for action in out {
            match action {
                drain::Action::Announce => {
                    spdlog::info!(logger: log::sidecar(), "leaving, taking nothing new");
                    let _ = self.convict.send(member::Ask::Leave);
                }
                drain::Action::GiveBack => {
                    let back = self.decide.leave();
                    refuse(back, Code::Draining, None);
                }
                drain::Action::Close => {}
                drain::Action::Exit => {
                    self.asked.gone.send_replace(true);
                }
            }
        }
    }

    fn load(&mut self, load: Option<Load>) {
        let Some(l) = load else {
            if self.asked.health.borrow().up {
                spdlog::warn!(logger: log::sidecar(), "target doesn't answer");
                let life = self.decide.life();
                self.asked.health.send_replace(Health { up: false, life });
            }
            let back = self.decide.down();
            return refuse(back, Code::NoTarget, Some(Micros::from_secs(1)));
        };
        let now = Health {
            up: true,
            life: l.incarnation,
        };
        let before = *self.asked.health.borrow();
        if before != now {
            spdlog::info!(logger: log::sidecar(), "target is in life {}", l.incarnation);
            self.asked.health.send_replace(now);
        }
        let found = Found {
            life: l.incarnation,
            model: &l.model,
            weights: &l.weights,
            loading: l.loading,
        };
        if self.decide.engine(clock::now(), &found) {
            self.members.set_tags(l.weights);
            self.want(Need::Snapshot);
        }
    }

    fn crashed(&mut self, now: Micros, run: RunKey) {
        let Some(mark) = self.decide.crashed(now, run) else {
            return;
        };
        spdlog::warn!(
            logger: log::sidecar(),
            "target died under request {:016x}, convicted: {}", mark.print, mark.convicted
        );
        self.spread(now, mark);
    }

    /// Tells the fleet of a suspect or a conviction, and again for those whom a rumour misses.
    fn spread(&mut self, now: Micros, mark: Mark) {
        let left = mark::ROUNDS;
        self.news.push(News {
            mark,
            at: now,
            left,
        });
        self.tell(now);
    }

    fn tell(&mut self, now: Micros) {
        for n in self.news.iter_mut().filter(|n| n.at <= now) {
            n.left -= 1;
            n.at = now + mark::ROUND.into();
            // A later end makes it news again.
            let news = Conviction {
                fingerprint: n.mark.encode(),
                until: now + mark::lasts(),
            };
            let _ = self.convict.send(member::Ask::Convict(news));
        }
        self.news.retain(|n| n.left > 0);
    }

    /// Takes over what other processes found of requests.
    fn marks(&mut self) {
        let now = clock::now();
        while let Some(c) = self.members.convicted() {
            let mark = Mark::decode(c.fingerprint);
            if self.decide.told(now, mark, c.until) {
                // Two sent at the same moment crashed one target each, and nobody else may have
                // heard of both.
                let convicted = true;
                self.spread(now, Mark { convicted, ..mark });
            }
        }
    }

    /// Follows a configuration that has come into force.
    fn tune(&mut self) {
        let view = self.view.load();
        if view.version == self.version {
            return;
        }
        self.version = view.version;
        if let Some(rules) = &view.rules {
            let config = rules.config();
            let most = config.pool.get(&self.pool).and_then(|p| p.concurrency);
            self.decide.tune(&Tuning::from(config), most);
        }
    }

    fn want(&mut self, need: Need) {
        if need == Need::Snapshot {
            self.asked.need.send_modify(|n| *n += 1);
        }
    }

    fn packet(&mut self, bytes: &Bytes) -> Option<Bytes> {
        match Packet::open(bytes, &self.keys) {
            Ok(Message::Probe(p)) => Packet::seal(self.offer(p), &self.keys).ok(),
            _ => {
                metrics::counter!(meter::PROBE_FAULTS).increment(1);
                None
            }
        }
    }

    fn offer(&mut self, p: Probe) -> Offer {
        let points = p.marks.iter().map(|m| prefix::Mark {
            blocks: m.blocks,
            hash: BlockHash(m.hash),
        });
        let question = Question {
            probe: p.id,
            team: p.team,
            class: Class::from_index(p.class as usize),
            marks: Marks::from_points(points),
            blocks: p.blocks,
            fingerprint: p.fingerprint,
        };
        let told = self.decide.offer(clock::now(), &question);
        let state = match self.decide.state() {
            State::Serving if told.refusal.is_some() => wire::State::Full,
            State::Serving => wire::State::Serving,
            State::Loading => wire::State::Loading,
            State::Leaving => wire::State::Leaving,
            State::Down => wire::State::Down,
        };
        let retry = told.refusal.and_then(|r| r.retry);
        Offer {
            id: p.id,
            incarnation: self.life,
            engine: self.decide.life().0,
            matched: told.matched,
            wait: told.wait.0,
            prefill: told.prefill.0.saturating_mul(1_000),
            state: state.into(),
            convicted: told.convicted,
            retry: retry.map_or(0, Micros::as_millis),
            busy: (told.busy * 1e3) as u32,
        }
    }
}

fn refuse(grants: Vec<Grant>, code: Code, retry: Option<Micros>) {
    for g in grants {
        metrics::counter!(meter::REFUSED, "code" => code.as_str()).increment(1);
        let _ = g.send(Err(Refusal { code, retry }));
    }
}
