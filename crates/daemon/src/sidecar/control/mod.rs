//! The control thread of a sidecar: decisions, probes, membership, planned stop.
//!
//! One loop takes whatever comes first (a message from traffic, a probe, membership's turn, the
//! time for something) and then does what has become due. Nothing in it waits for the target or
//! for a caller: probes and heartbeats would be late meanwhile.

mod fleet;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use model::{Code, MemberId, Micros, Version};
use policy::drain::{self, Drain};
use policy::liveness::{Check, Liveness, State};
use prefix::Need;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};
use wire::{Keys, PACKET_MAX};

use crate::clock;
use crate::log;
use crate::membership::{self, LocalMember, Membership};
use crate::meter;
use crate::settings::{Settings, Sidecar};
use crate::sidecar::ask::{Ask, Asked, Grant, Health, Load};
use crate::sidecar::decide::{Decide, Found, Refusal};
use crate::sidecar::news::News;
use crate::view::{self, SharedView, View};

/// Longest sleep of the control thread.
const SLEEP: Duration = Duration::from_millis(250);

/// What the control thread is given.
#[derive(Debug)]
pub struct Start {
    /// Settings of the process.
    pub settings: Settings,
    /// Settings of the role.
    pub role: Sidecar,
    /// What the fleet is told of this process.
    pub me: LocalMember,
    /// Socket for probes.
    pub probes: std::net::UdpSocket,
    /// Socket for membership.
    pub gossip: std::net::UdpSocket,
    /// Messages from traffic.
    pub asked: Asked,
    /// Where the fleet's view goes.
    pub view: SharedView,
    /// Messages for membership.
    pub members: mpsc::UnboundedReceiver<membership::Command>,
    /// Convictions for membership.
    pub convict: membership::CommandSender,
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
    let life = s.me.incarnation;
    let rank = view::rank(&s.role.pool, s.me.peer);
    let notice = s.settings.notice.into();
    let shared = Arc::clone(&s.view);
    let members = Membership::new(&s.settings, s.me, gossip, shared, s.members)?;
    let state = Control {
        keys: s.settings.keys.clone(),
        life,
        decide: Decide::new(s.role.kind, s.role.slots, MemberId(life)),
        liveness: Liveness::default(),
        drain: Drain::new(drain::Config { notice }, drain::Role::Sidecar),
        members,
        asked: s.asked,
        news: News::new(s.convict.clone()),
        convict: s.convict,
        rng: SmallRng::from_os_rng(),
        pool: s.role.pool,
        quiet: None,
        view: s.view,
        version: Version(0),
        rank,
        peers: HashMap::new(),
        seen: Arc::default(),
    };
    state.run(udp).await;
    Ok(())
}

struct Control {
    keys: Keys,
    life: u64,
    decide: Decide<Grant>,
    liveness: Liveness,
    drain: Drain,
    members: Membership,
    convict: membership::CommandSender,
    asked: Asked,
    /// Of requests that crashed the target.
    news: News,
    rng: SmallRng,
    pool: String,
    /// Told once nothing runs at the target.
    quiet: Option<oneshot::Sender<()>>,
    view: SharedView,
    /// Version that the decisions follow.
    version: Version,
    /// Rank of this target among those of the pool.
    rank: u64,
    /// The other sidecars of the pool, as of a view.
    peers: HashMap<u64, SocketAddr>,
    seen: Arc<View>,
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
                    if let Some(answer) = self.packet(&bytes) {
                        let _ = udp.send_to(&answer, from).await;
                    }
                },
                on = self.members.run_once() => if !on {
                    return;
                },
                () = tokio::time::sleep(wait.unwrap_or(SLEEP).min(SLEEP)) => {}
            }
            self.marks();
            self.tune();
            self.follow();
            self.news.tell(clock::now());
            self.grant();
            if let Some((inquiry, to)) = self.inquiry() {
                for peer in to {
                    // A datagram that can't be sent is one that was lost; the next one repeats it.
                    let _ = udp.send_to(&inquiry, peer).await;
                }
            }
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
            Ask::Served(run) => self.decide.served(now, run),
            Ask::Progress(run, events) => self.decide.progress(now, run, events),
            Ask::Finished(run, events) => self.decide.finished(now, run, events),
            Ask::Taken => self.step(drain::Event::Taken),
            Ask::Ended => self.step(drain::Event::Ended),
            Ask::Load(load) => self.found(load),
            Ask::Missed(check) => self.missed(now, check),
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
        refuse(self.decide.rejected(), Code::Quarantined, None);
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

    /// Moves the planned stop on.
    fn step(&mut self, event: drain::Event) {
        let mut out = Vec::new();
        self.drain.step(clock::now(), event, &mut out);
        for action in out {
            match action {
                drain::Action::Announce => {
                    spdlog::info!(logger: log::sidecar(), "leaving, taking nothing new");
                    let _ = self.convict.send(membership::Command::Leave);
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

    /// The target said its load.
    fn found(&mut self, l: Load) {
        self.liveness.checked(clock::now(), Check::Answered);
        self.health(Health {
            state: State::Alive,
            life: l.incarnation,
        });
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

    /// The target didn't say its load.
    fn missed(&mut self, now: Micros, check: Check) {
        self.liveness.checked(now, check);
        self.liveness.received(self.asked.received());
        let state = self.liveness.state(now);
        if state == State::Alive {
            return;
        }
        let life = self.decide.life();
        self.health(Health { state, life });
        let back = self.decide.down();
        refuse(back, Code::NoTarget, Some(Micros::from_secs(1)));
    }

    /// Publishes what the target was found to be.
    fn health(&self, found: Health) {
        let changes = |h: &mut Health| std::mem::replace(h, found) != found;
        if !self.asked.health.send_if_modified(changes) {
            return;
        }
        match found.state {
            State::Alive => {
                spdlog::info!(logger: log::sidecar(), "target is in incarnation {}", found.life);
            }
            State::Unresponsive => spdlog::warn!(
                logger: log::sidecar(),
                "target answers no check and sends nothing; its requests continue, new ones are refused"
            ),
            State::Hung => spdlog::warn!(
                logger: log::sidecar(),
                "target has been silent for too long; requests that may be repeated move elsewhere"
            ),
            State::Exited => spdlog::warn!(
                logger: log::sidecar(),
                "target refuses connections; its requests are lost"
            ),
        }
    }

    /// Asks for the engine's whole cache, if it is needed.
    fn want(&mut self, need: Need) {
        if need == Need::Snapshot {
            self.asked.need.send_modify(|n| *n += 1);
        }
    }
}

fn refuse(grants: Vec<Grant>, code: Code, retry: Option<Micros>) {
    for g in grants {
        metrics::counter!(meter::REFUSED, "code" => code.as_str()).increment(1);
        let _ = g.send(Err(Refusal { code, retry }));
    }
}
