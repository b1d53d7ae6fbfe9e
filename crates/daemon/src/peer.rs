//! The peer port: other processes of the fleet connect here.
//!
//! Every process answers pulls; a sidecar also takes exchanges. A connection that sends what the
//! wire doesn't allow is dropped, counted and logged, and harms no other.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::timeout;
use wire::{Body, Keys, Rx, Text, Tx, WireError};

use crate::log;
use crate::membership::{Command, CommandSender};
use crate::meter;

/// Longest handshake.
const HANDSHAKE: Duration = Duration::from_secs(2);
/// Longest time without a question on a connection.
const IDLE: Duration = Duration::from_secs(60);
/// Pause after a connection couldn't be accepted, so that others can close.
const PAUSE: Duration = Duration::from_millis(100);

/// What a process does with a connection's frames, besides answering pulls.
pub trait ExchangeHandler: Send + Sync + 'static {
    /// Takes the frame that begins an exchange and carries it to its end.
    fn exchange(
        self: &Arc<Self>,
        body: Body,
        tx: &mut Tx,
        rx: &mut Rx,
    ) -> impl Future<Output = Result<(), WireError>> + Send;
}

/// A process that answers pulls only.
#[derive(Clone, Copy, Debug)]
pub struct PullsOnly;

impl ExchangeHandler for PullsOnly {
    async fn exchange(self: &Arc<Self>, _: Body, _: &mut Tx, _: &mut Rx) -> Result<(), WireError> {
        Err(WireError::Unexpected)
    }
}

/// Accepts connections for ever.
pub async fn listen(
    listener: TcpListener,
    keys: Keys,
    members: CommandSender,
    handler: Arc<impl ExchangeHandler>,
) {
    loop {
        let Ok((tcp, _)) = listener.accept().await else {
            // Out of descriptors; waiting lets some close.
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        let (keys, members, handler) = (keys.clone(), members.clone(), Arc::clone(&handler));
        tokio::spawn(async move {
            if let Err(e) = connection(tcp, &keys, &members, &handler).await {
                fault(&e);
            }
        });
    }
}

async fn connection(
    tcp: TcpStream,
    keys: &Keys,
    members: &CommandSender,
    handler: &Arc<impl ExchangeHandler>,
) -> Result<(), WireError> {
    let shake = wire::accept(tcp, keys, rand::random());
    let (mut tx, mut rx) = timeout(HANDSHAKE, shake)
        .await
        .map_err(|_| WireError::Closed)??;
    loop {
        let Ok(body) = timeout(IDLE, rx.next()).await else {
            return Ok(());
        };
        match body? {
            Body::Pull(p) => {
                let (out, answer) = oneshot::channel();
                let _ = members.send(Command::Pull(p.data, out));
                let data = answer.await.map_err(|_| WireError::Closed)?;
                tx.send(Text { data }).await?;
            }
            // Confirmations of an exchange that has ended meanwhile.
            Body::Ack(_) | Body::Cancel(_) => {}
            body => handler.exchange(body, &mut tx, &mut rx).await?,
        }
    }
}

fn fault(e: &WireError) {
    match e {
        WireError::Closed | WireError::Io(_) => {}
        e => {
            metrics::counter!(meter::PEER_FAULTS).increment(1);
            spdlog::warn!(logger: log::fleet(), "peer connection dropped: {e}");
        }
    }
}
