//! The peer port, to which other processes of the fleet connect.
//!
//! Every process answers pulls; a sidecar also accepts exchanges. A connection that violates the
//! protocol is dropped, counted and logged, without effect on the other connections.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use overload::Connection;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::timeout;
use wire::{Body, Keys, Rx, Text, Tx, WireError};

use crate::listener;
use crate::log;
use crate::membership::{Command, CommandSender};
use crate::meter;

/// Maximum duration of a handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time without a frame, after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Handles the frames of a connection other than pulls.
pub trait ExchangeHandler: Send + Sync + 'static {
    /// Handles an exchange that begins with the frame `body`, until its end.
    fn exchange(
        self: &Arc<Self>,
        body: Body,
        tx: &mut Tx,
        rx: &mut Rx,
    ) -> impl Future<Output = Result<(), WireError>> + Send;
}

/// Handler of a process that accepts no exchanges.
#[derive(Clone, Copy, Debug)]
pub struct PullsOnly;

impl ExchangeHandler for PullsOnly {
    async fn exchange(self: &Arc<Self>, _: Body, _: &mut Tx, _: &mut Rx) -> Result<(), WireError> {
        Err(WireError::Unexpected)
    }
}

/// Accepts connections; never returns.
pub async fn listen(
    listener: TcpListener,
    keys: Keys,
    membership: CommandSender,
    handler: Arc<impl ExchangeHandler>,
) {
    // Only connections that haven't shown a key are limited.
    let strangers = listener::other_connections();
    tokio::spawn(listener::check(
        "peers",
        strangers.clone(),
        listener::OTHER_TIMEOUTS,
    ));
    loop {
        let (tcp, stranger) = overload::accept::accept(&listener, &strangers).await;
        let (keys, membership, handler) = (keys.clone(), membership.clone(), Arc::clone(&handler));
        tokio::spawn(async move {
            if let Err(e) = connection(tcp, stranger, &keys, &membership, &handler).await {
                record_fault(&e);
            }
        });
    }
}

async fn connection(
    tcp: TcpStream,
    stranger: Connection,
    keys: &Keys,
    membership: &CommandSender,
    handler: &Arc<impl ExchangeHandler>,
) -> Result<(), WireError> {
    let handshake = wire::accept(tcp, keys, rand::random());
    let (mut tx, mut rx) = tokio::select! {
        opened = timeout(HANDSHAKE_TIMEOUT, handshake) => opened.map_err(|_| WireError::Closed)??,
        () = stranger.evicted() => return Err(WireError::Closed),
    };
    drop(stranger);
    loop {
        let Ok(body) = timeout(IDLE_TIMEOUT, rx.next()).await else {
            return Ok(());
        };
        match body? {
            Body::Pull(p) => {
                let (out, answer) = oneshot::channel();
                let _ = membership.send(Command::Pull(p.data, out));
                let data = answer.await.map_err(|_| WireError::Closed)?;
                tx.send(Text { data }).await?;
            }
            // Late frames of an exchange that has ended.
            Body::Ack(_) | Body::Cancel(_) => {}
            body => handler.exchange(body, &mut tx, &mut rx).await?,
        }
    }
}

/// Counts and logs a violation of the protocol.
fn record_fault(e: &WireError) {
    match e {
        WireError::Closed | WireError::Io(_) => {}
        e => {
            metrics::counter!(meter::PEER_FAULTS).increment(1);
            spdlog::warn!(logger: log::fleet(), "peer connection dropped: {e}");
        }
    }
}
