//! A TCP connection between two of our processes, framed and sealed.
//!
//! The connecting side sends a nonce sealed with the fleet's key, the accepting side answers with
//! its own, and both derive one key for each direction. A frame's seal covers its number, so a
//! connection that something tampered with ends in [`WireError::Seal`], never in wrong data.

use std::io;

use bytes::{Bytes, BytesMut};
use futures::stream::{SplitSink, SplitStream};
use futures::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::error::WireError;
use crate::frame::{Body, Frame};
use crate::seal::{opened, sealed, Key, Keys, SEAL_LEN};
use crate::FRAME_MAX;

const NONCE: usize = 16;
/// What a length prefix may say before the other side has shown that it has a key; the codec
/// makes room for that much at once.
const HELLO: usize = SEAL_LEN + NONCE;

type Stream = Framed<TcpStream, LengthDelimitedCodec>;

/// The sending half.
#[derive(Debug)]
pub struct Tx {
    sink: SplitSink<Stream, Bytes>,
    key: Key,
    count: u64,
}

/// The receiving half.
#[derive(Debug)]
pub struct Rx {
    stream: SplitStream<Stream>,
    key: Key,
    count: u64,
}

/// Opens the connecting side of a connection; `nonce` must be fresh.
pub async fn connect(
    tcp: TcpStream,
    keys: &Keys,
    nonce: [u8; NONCE],
) -> Result<(Tx, Rx), WireError> {
    let mut stream = framed(tcp)?;
    stream.send(keys.seal(&nonce)).await?;
    let message = next(&mut stream).await?;
    let (server, key) = keys.open(&message)?;
    widen(&mut stream);
    Ok(halves(stream, key, &nonce, &server, true))
}

/// Opens the accepting side of a connection; `nonce` must be fresh.
pub async fn accept(
    tcp: TcpStream,
    keys: &Keys,
    nonce: [u8; NONCE],
) -> Result<(Tx, Rx), WireError> {
    let mut stream = framed(tcp)?;
    let message = next(&mut stream).await?;
    let (client, key) = keys.open(&message)?;
    widen(&mut stream);
    stream.send(sealed(key, 0, &nonce)).await?;
    Ok(halves(stream, key, &client, &nonce, false))
}

impl Tx {
    /// Sends one frame now.
    pub async fn send(&mut self, body: impl Into<Body>) -> Result<(), WireError> {
        self.feed(body).await?;
        self.flush().await
    }

    /// Puts a frame into the buffer.
    pub async fn feed(&mut self, body: impl Into<Body>) -> Result<(), WireError> {
        let payload = Frame::new(body).encode_to_vec();
        if payload.len() > FRAME_MAX {
            return Err(WireError::Large(payload.len()));
        }
        let out = sealed(&self.key, self.count, &payload);
        self.count += 1;
        Ok(self.sink.feed(out).await?)
    }

    /// Sends what is in the buffer.
    pub async fn flush(&mut self) -> Result<(), WireError> {
        Ok(self.sink.flush().await?)
    }
}

impl Rx {
    /// The next frame; safe to drop while waiting.
    pub async fn next(&mut self) -> Result<Body, WireError> {
        let message = received(self.stream.next().await)?;
        let payload = opened(&self.key, self.count, &message)?;
        self.count += 1;
        Frame::decode(payload)?.body.ok_or(WireError::Unexpected)
    }
}

fn framed(tcp: TcpStream) -> Result<Stream, WireError> {
    tcp.set_nodelay(true)?;
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(HELLO)
        .new_codec();
    Ok(Framed::new(tcp, codec))
}

async fn next(stream: &mut Stream) -> Result<Bytes, WireError> {
    received(stream.next().await)
}

/// Allows whole frames.
fn widen(stream: &mut Stream) {
    stream.codec_mut().set_max_frame_length(FRAME_MAX + 64);
}

fn received(got: Option<io::Result<BytesMut>>) -> Result<Bytes, WireError> {
    match got {
        Some(Ok(message)) => Ok(message.freeze()),
        Some(Err(e)) => Err(match e.kind() {
            // These two kinds are the codec's; faults of the connection have others.
            io::ErrorKind::InvalidData => WireError::Length,
            io::ErrorKind::Other => WireError::Cut,
            _ => WireError::Io(e),
        }),
        None => Err(WireError::Closed),
    }
}

fn halves(stream: Stream, key: &Key, client: &[u8], server: &[u8], ours: bool) -> (Tx, Rx) {
    let up = key.derive("up", client, server);
    let down = key.derive("down", client, server);
    let (sink, stream) = stream.split();
    let (tx, rx) = if ours { (up, down) } else { (down, up) };
    (
        Tx {
            sink,
            key: tx,
            count: 0,
        },
        Rx {
            stream,
            key: rx,
            count: 0,
        },
    )
}
