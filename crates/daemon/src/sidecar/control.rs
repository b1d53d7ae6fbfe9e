//! The control thread of a sidecar: the queue, the cache index, probes.

use std::collections::VecDeque;
use std::io;
use std::thread::JoinHandle;

use bytes::Bytes;
use model::{BlockHash, Class, Code, Incarnation, Micros};
use prefix::{Index, Marks, Need};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use wire::{Keys, Message, Offer, Packet, Probe, State, PACKET_MAX};

use crate::clock;
use crate::settings::{Settings, Sidecar};

/// What a request asks of the target.
#[derive(Clone, Debug)]
pub struct Work {
    /// Team.
    pub team: String,
    /// Weight of the team.
    pub share: u32,
    /// How urgent it is.
    pub class: Class,
    /// Blocks of its prompt.
    pub chain: Vec<BlockHash>,
    /// Tokens that the answer may have.
    pub output: u32,
    /// When the answer is of no more use.
    pub deadline: Micros,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Targets that died under it before.
    pub strikes: u32,
}

/// Why a request doesn't get its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub code: Code,
    /// When to come back.
    pub retry: Option<Micros>,
}

/// How an exchange that had its turn went.
#[derive(Clone, Debug)]
pub struct Finished {
    /// When it had its turn.
    pub started: Micros,
    /// When its first byte came.
    pub first: Option<Micros>,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Whether the answer is whole.
    pub whole: bool,
    /// Whether the target died under it.
    pub crashed: bool,
}

/// What traffic tells control.
#[derive(Debug)]
pub enum Ask {
    /// A request wants its turn.
    Enqueue {
        /// What it asks.
        work: Work,
        /// Told when its turn comes.
        grant: oneshot::Sender<Result<(), Refusal>>,
    },
    /// An exchange gave its slot back.
    Finished(Finished),
    /// The target's load; `None` if it doesn't answer.
    Load(Option<Load>),
    /// Cache events.
    Events(Vec<prefix::Event>),
    /// The whole cache.
    Cache(Incarnation, u64, Vec<prefix::Block>),
    /// Another member's question.
    Pull(Bytes, oneshot::Sender<Bytes>),
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
}

/// Traffic's way to the control thread.
#[derive(Clone, Debug)]
pub struct Asker {
    ask: mpsc::UnboundedSender<Ask>,
    up: watch::Receiver<bool>,
    need: watch::Receiver<u64>,
}

/// Control's end of it.
#[derive(Debug)]
pub struct Asked {
    ask: mpsc::UnboundedReceiver<Ask>,
    up: watch::Sender<bool>,
    need: watch::Sender<u64>,
}

impl Asker {
    /// Tells control something; it is lost if control has stopped.
    pub fn send(&self, ask: Ask) {
        let _ = self.ask.send(ask);
    }

    /// Waits until the target is found to be down.
    pub async fn down(&self) {
        let mut up = self.up.clone();
        if up.wait_for(|up| !up).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until control wants the engine's whole cache.
    pub async fn wanted(&mut self) {
        if self.need.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Answers another member's question.
    pub async fn pull(&self, data: Bytes) -> Option<Bytes> {
        let (tx, rx) = oneshot::channel();
        self.send(Ask::Pull(data, tx));
        rx.await.ok()
    }
}

/// A new way to a control thread.
pub fn channel() -> (Asker, Asked) {
    let (tx, rx) = mpsc::unbounded_channel();
    let (up, is_up) = watch::channel(true);
    let (need, needed) = watch::channel(0);
    (
        Asker {
            ask: tx,
            up: is_up,
            need: needed,
        },
        Asked { ask: rx, up, need },
    )
}

/// Starts the control thread.
pub fn spawn(
    settings: &Settings,
    role: &Sidecar,
    udp: UdpSocket,
    life: u64,
    asked: Asked,
) -> io::Result<JoinHandle<()>> {
    let udp = udp.into_std()?;
    let keys = settings.keys.clone();
    let slots = role.slots;
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            let run = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            let Ok(run) = run else { return };
            run.block_on(async move {
                let Ok(udp) = UdpSocket::from_std(udp) else {
                    return;
                };
                let state = Control {
                    keys,
                    life,
                    slots,
                    running: 0,
                    queue: VecDeque::new(),
                    index: Index::new(prefix::Config::default(), "", ""),
                    engine: Incarnation(0),
                    asked,
                };
                state.run(udp).await;
            });
        })
}

struct Control {
    keys: Keys,
    life: u64,
    slots: usize,
    running: usize,
    queue: VecDeque<(Work, oneshot::Sender<Result<(), Refusal>>)>,
    index: Index,
    engine: Incarnation,
    asked: Asked,
}

impl Control {
    async fn run(mut self, udp: UdpSocket) {
        let mut buf = vec![0; PACKET_MAX + 1];
        loop {
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
            }
        }
    }

    fn ask(&mut self, ask: Ask) {
        let now = clock::now();
        match ask {
            Ask::Enqueue { work, grant } => self.queue.push_back((work, grant)),
            Ask::Finished(_) => self.running -= 1,
            Ask::Load(load) => self.load(load),
            Ask::Events(events) => {
                for e in events {
                    let need = self.index.apply(now, e);
                    self.want(need);
                }
            }
            Ask::Cache(life, seq, blocks) => {
                let need = self.index.reset(now, life, seq, blocks);
                self.want(need);
            }
            Ask::Pull(..) => {}
        }
        self.admit(now);
    }

    fn admit(&mut self, now: Micros) {
        while self.running < self.slots {
            let Some((work, grant)) = self.queue.pop_front() else {
                break;
            };
            if grant.send(Ok(())).is_ok() {
                self.running += 1;
                self.index.expect(now, &work.chain);
            }
        }
    }

    fn load(&mut self, load: Option<Load>) {
        self.asked.up.send_replace(load.is_some());
        if let Some(l) = load {
            if l.weights != self.index.weights() {
                self.index = Index::new(prefix::Config::default(), l.model, l.weights);
                self.asked.need.send_modify(|n| *n += 1);
            }
            self.engine = l.incarnation;
        }
    }

    fn want(&mut self, need: Need) {
        if need == Need::Snapshot {
            self.asked.need.send_modify(|n| *n += 1);
        }
    }

    fn packet(&mut self, bytes: &Bytes) -> Option<Bytes> {
        match Packet::open(bytes, &self.keys) {
            Ok(Message::Probe(p)) => Packet::seal(self.offer(&p), &self.keys).ok(),
            _ => {
                metrics::counter!("clementinestep_probe_faults_total").increment(1);
                None
            }
        }
    }

    fn offer(&self, p: &Probe) -> Offer {
        let points = p.marks.iter().map(|m| prefix::Mark {
            blocks: m.blocks,
            hash: BlockHash(m.hash),
        });
        Offer {
            id: p.id,
            incarnation: self.life,
            engine: self.engine.0,
            matched: self.index.matched(&Marks::from_points(points)),
            wait: 1_000 * (self.running + self.queue.len()) as u64,
            prefill: 400_000,
            state: State::Serving.into(),
            convicted: false,
            retry: 0,
        }
    }
}
