//! Probes to sidecars and the offers that they return.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use model::{BlockHash, Class, PoolKey};
use prefix::Marks;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::timeout;
use wire::{Keys, Message, Offer, Packet, Probe, PACKET_MAX};

use crate::meter;

/// Longest wait for an offer. A round trip between failure domains takes 2 to 3 ms.
const OFFER_TIMEOUT: Duration = Duration::from_millis(8);

/// What the choice of a replica depends on.
#[derive(Clone, Debug)]
pub struct Criteria {
    /// Pool of the targets.
    pub pool: PoolKey,
    /// Class of the request.
    pub class: Class,
    /// Hashes of the prompt's blocks.
    pub chain: Vec<BlockHash>,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Team that sends the request.
    pub team: String,
}

/// Sends probes and matches offers to them.
#[derive(Debug)]
pub struct Prober {
    udp: UdpSocket,
    keys: Keys,
    /// Receivers of the offers, by probe id.
    pending: Mutex<HashMap<u64, oneshot::Sender<Offer>>>,
}

impl Prober {
    /// Prober that sends from this socket.
    pub fn new(udp: UdpSocket, keys: Keys) -> Arc<Self> {
        Arc::new(Self {
            udp,
            keys,
            pending: Mutex::default(),
        })
    }

    /// Receives offers; never returns.
    pub async fn listen(self: Arc<Self>) {
        let mut buf = vec![0; PACKET_MAX + 1];
        loop {
            let Ok((n, _)) = self.udp.recv_from(&mut buf).await else {
                continue;
            };
            let bytes = Bytes::copy_from_slice(&buf[..n]);
            let Ok(Message::Offer(o)) = Packet::open(&bytes, &self.keys) else {
                metrics::counter!(meter::OFFER_FAULTS).increment(1);
                continue;
            };
            // An offer that arrives after the timeout of its probe, or a second time, has no
            // receiver.
            match self.lock().remove(&o.id) {
                Some(tx) => {
                    let _ = tx.send(o);
                }
                None => metrics::counter!(meter::OFFERS_UNASKED).increment(1),
            }
        }
    }

    /// Probes one sidecar and waits for its offer.
    pub async fn probe(&self, to: SocketAddr, criteria: &Criteria, marks: &Marks) -> Option<Offer> {
        let id = rand::random();
        let (tx, rx) = oneshot::channel();
        self.lock().insert(id, tx);
        let offer = match self.send(id, to, criteria, marks).await {
            Some(()) => timeout(OFFER_TIMEOUT, rx).await.ok().and_then(Result::ok),
            None => None,
        };
        self.lock().remove(&id);
        let outcome = if offer.is_some() { "answered" } else { "lost" };
        metrics::counter!(meter::PROBES, "outcome" => outcome).increment(1);
        offer
    }

    async fn send(
        &self,
        id: u64,
        to: SocketAddr,
        criteria: &Criteria,
        marks: &Marks,
    ) -> Option<()> {
        let points = marks.points().iter().map(|m| wire::Mark {
            blocks: m.blocks,
            hash: m.hash.0,
        });
        let probe = Probe {
            id,
            class: criteria.class.index() as u32,
            marks: points.collect(),
            blocks: marks.blocks(),
            fingerprint: criteria.fingerprint,
            team: criteria.team.clone(),
        };
        let bytes = Packet::seal(probe, &self.keys).ok()?;
        metrics::counter!(meter::PROBE_BYTES).increment(bytes.len() as u64);
        self.udp.send_to(&bytes, to).await.ok().map(|_| ())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<Offer>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
