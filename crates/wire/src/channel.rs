//! Framed and authenticated TCP connection between two processes of a fleet.
//!
//! The connecting side sends a nonce sealed with the fleet's key, the accepting side replies with
//! its own nonce, and both derive a key for each direction. A frame's seal covers its sequence
//! number, so that tampering with a connection causes [`WireError::Seal`], never wrong data.

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

const NONCE_LEN: usize = 16;
/// Maximum frame length before the peer has proved that it has a key. The codec allocates a buffer
/// of the length in the prefix at once, so an unauthenticated peer must not choose a large one.
const HANDSHAKE_LEN: usize = SEAL_LEN + NONCE_LEN;

type Stream = Framed<TcpStream, LengthDelimitedCodec>;

/// The sending half of a connection.
#[derive(Debug)]
pub struct Tx {
    sink: SplitSink<Stream, Bytes>,
    key: Key,
    count: u64,
}

/// The receiving half of a connection.
#[derive(Debug)]
pub struct Rx {
    stream: SplitStream<Stream>,
    key: Key,
    count: u64,
}

/// Performs the handshake on the connecting side; `nonce` must be new for each connection.
pub async fn connect(
    tcp: TcpStream,
    keys: &Keys,
    nonce: [u8; NONCE_LEN],
) -> Result<(Tx, Rx), WireError> {
    let mut stream = framed(tcp)?;
    stream.send(keys.seal(&nonce)).await?;
    let message = next(&mut stream).await?;
    let (server, key) = keys.open(&message)?;
    allow_full_frames(&mut stream);
    Ok(split(stream, key, &nonce, &server, true))
}

/// Performs the handshake on the accepting side; `nonce` must be new for each connection.
pub async fn accept(
    tcp: TcpStream,
    keys: &Keys,
    nonce: [u8; NONCE_LEN],
) -> Result<(Tx, Rx), WireError> {
    let mut stream = framed(tcp)?;
    let message = next(&mut stream).await?;
    let (client, key) = keys.open(&message)?;
    allow_full_frames(&mut stream);
    stream.send(sealed(key, 0, &nonce)).await?;
    Ok(split(stream, key, &client, &nonce, false))
}

impl Tx {
    /// Sends one frame immediately.
    pub async fn send(&mut self, body: impl Into<Body>) -> Result<(), WireError> {
        self.feed(body).await?;
        self.flush().await
    }

    /// Adds a frame to the send buffer.
    pub async fn feed(&mut self, body: impl Into<Body>) -> Result<(), WireError> {
        let payload = Frame::new(body).encode_to_vec();
        if payload.len() > FRAME_MAX {
            return Err(WireError::Large(payload.len()));
        }
        let out = sealed(&self.key, self.count, &payload);
        self.count += 1;
        Ok(self.sink.feed(out).await?)
    }

    /// Sends the buffered frames.
    pub async fn flush(&mut self) -> Result<(), WireError> {
        Ok(self.sink.flush().await?)
    }
}

impl Rx {
    /// Waits for the next frame; cancel-safe.
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
        .max_frame_length(HANDSHAKE_LEN)
        .new_codec();
    Ok(Framed::new(tcp, codec))
}

async fn next(stream: &mut Stream) -> Result<Bytes, WireError> {
    received(stream.next().await)
}

/// Raises the length limit after the handshake.
fn allow_full_frames(stream: &mut Stream) {
    stream.codec_mut().set_max_frame_length(FRAME_MAX + 64);
}

fn received(item: Option<io::Result<BytesMut>>) -> Result<Bytes, WireError> {
    match item {
        Some(Ok(message)) => Ok(message.freeze()),
        Some(Err(e)) => Err(match e.kind() {
            // The codec uses these two kinds; errors of the connection have other kinds.
            io::ErrorKind::InvalidData => WireError::Length,
            io::ErrorKind::Other => WireError::Cut,
            _ => WireError::Io(e),
        }),
        None => Err(WireError::Closed),
    }
}

fn split(stream: Stream, key: &Key, client: &[u8], server: &[u8], is_client: bool) -> (Tx, Rx) {
    let up = key.derive("up", client, server);
    let down = key.derive("down", client, server);
    let (sink, stream) = stream.split();
    let (tx, rx) = if is_client { (up, down) } else { (down, up) };
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
