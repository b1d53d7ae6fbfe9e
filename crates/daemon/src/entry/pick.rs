//! Which sidecars a request is offered to, in order.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use model::{BlockHash, Class, PoolKey, TargetKey};
use prefix::Marks;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::timeout;
use wire::{Keys, Message, Offer, Packet, Probe, State, PACKET_MAX};

use crate::entry::Context;
use crate::view::View;

/// Longest wait for offers. A round trip between failure domains takes two or three milliseconds.
const WAIT: Duration = Duration::from_millis(8);
/// Sidecars probed at once.
const PROBES: usize = 4;

/// What the choice depends on.
#[derive(Clone, Debug)]
pub struct Wanted {
    /// Pool.
    pub pool: PoolKey,
    /// How urgent it is.
    pub class: Class,
    /// Blocks of the prompt.
    pub chain: Vec<BlockHash>,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Team.
    pub team: String,
}

/// A sidecar to offer a request to.
#[derive(Clone, Debug)]
pub struct Picked {
    /// The target behind it.
    pub target: TargetKey,
    /// Its exchange address.
    pub address: SocketAddr,
    /// Its life, if it said so; else 0.
    pub life: u64,
}

/// Sends probes and matches offers to them.
#[derive(Debug)]
pub struct Picker {
    udp: UdpSocket,
    keys: Keys,
    pending: Mutex<HashMap<u64, oneshot::Sender<Offer>>>,
}

impl Picker {
    /// Probes from this socket.
    pub fn new(udp: UdpSocket, keys: Keys) -> Self {
        Self {
            udp,
            keys,
            pending: Mutex::default(),
        }
    }

    /// Sidecars for a request, the best first; those tried before are left out.
    pub async fn pick(&self, view: &View, want: &Wanted, tried: &[TargetKey]) -> Vec<Picked> {
        let front = want
            .chain
            .first()
            .copied()
            .unwrap_or(BlockHash(rand::random()));
        let mut all: Vec<_> = view
            .world
            .pool_targets(want.pool)
            .filter(|(k, _)| !tried.contains(k))
            .map(|(k, t)| (prefix::rank(front, t.member.0), k, t.probe, t.exchange))
            .collect();
        all.sort_unstable_by_key(|t| std::cmp::Reverse(t.0));
        all.truncate(PROBES);
        let marks = Marks::new(&want.chain);
        let asked = all.iter().map(|t| self.probe(t.2, want, &marks));
        let offers = futures::future::join_all(asked).await;
        let mut out: Vec<_> = all
            .iter()
            .zip(offers)
            .filter(|(_, o)| o.as_ref().is_none_or(|o| o.state() == State::Serving))
            .map(|((_, target, _, address), o)| {
                let life = o.as_ref().map_or(0, |o| o.incarnation);
                (
                    cost(o.as_ref(), marks.blocks()),
                    Picked {
                        target: *target,
                        address: *address,
                        life,
                    },
                )
            })
            .collect();
        out.sort_by_key(|(cost, _)| *cost);
        out.into_iter().map(|(_, p)| p).collect()
    }

    async fn probe(&self, to: SocketAddr, want: &Wanted, marks: &Marks) -> Option<Offer> {
        let id = rand::random();
        let (tx, rx) = oneshot::channel();
        self.lock().insert(id, tx);
        let offer = match self.send(id, to, want, marks).await {
            Some(()) => timeout(WAIT, rx).await.ok().and_then(Result::ok),
            None => None,
        };
        self.lock().remove(&id);
        offer
    }

    async fn send(&self, id: u64, to: SocketAddr, want: &Wanted, marks: &Marks) -> Option<()> {
        let points = marks.points().iter();
        let probe = Probe {
            id,
            class: want.class.index() as u32,
            marks: points
                .map(|m| wire::Mark {
                    blocks: m.blocks,
                    hash: m.hash.0,
                })
                .collect(),
            blocks: marks.blocks(),
            fingerprint: want.fingerprint,
            team: want.team.clone(),
        };
        let bytes = Packet::seal(probe, &self.keys).ok()?;
        self.udp.send_to(&bytes, to).await.ok().map(|_| ())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u64, oneshot::Sender<Offer>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Receives offers for ever.
pub fn listen(cx: &Arc<Context>) {
    let cx = Arc::clone(cx);
    tokio::spawn(async move {
        let mut buf = vec![0; PACKET_MAX + 1];
        loop {
            let Ok((n, _)) = cx.picker.udp.recv_from(&mut buf).await else {
                continue;
            };
            let bytes = Bytes::copy_from_slice(&buf[..n]);
            let Ok(Message::Offer(o)) = Packet::open(&bytes, &cx.picker.keys) else {
                metrics::counter!("clementinestep_offer_faults_total").increment(1);
                continue;
            };
            // An offer that comes after its probe was given up has nobody to go to.
            if let Some(tx) = cx.picker.lock().remove(&o.id) {
                let _ = tx.send(o);
            }
        }
    });
}

/// Nanoseconds until a first token; a sidecar that didn't answer comes last.
fn cost(offer: Option<&Offer>, blocks: u32) -> u64 {
    let Some(o) = offer else { return u64::MAX };
    let missing = u64::from(blocks.saturating_sub(o.matched));
    o.wait
        .saturating_mul(1_000)
        .saturating_add(missing.saturating_mul(o.prefill))
}
