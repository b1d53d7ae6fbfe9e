//! What can go wrong between two of our processes.

use std::io;

use thiserror::Error;

/// A fault on a connection or in a datagram.
#[derive(Debug, Error)]
pub enum WireError {
    /// The connection broke.
    #[error("connection: {0}")]
    Io(#[from] io::Error),
    /// The bytes decode to no message.
    #[error("undecodable message: {0}")]
    Decode(#[from] prost::DecodeError),
    /// The seal fits none of our keys; a stranger, or a key that was rotated out.
    #[error("message is not sealed with the fleet's key")]
    Seal,
    /// Too short to hold a seal.
    #[error("message of {0} bytes is truncated")]
    Short(usize),
    /// Larger than either side may send.
    #[error("message of {0} bytes is too large")]
    Large(usize),
    /// A frame's length is beyond what either side sends, as when a stranger speaks another
    /// protocol.
    #[error("frame is longer than any of ours")]
    Length,
    /// The connection ended within a frame.
    #[error("connection ended within a frame")]
    Cut,
    /// A message that doesn't belong here.
    #[error("unexpected message")]
    Unexpected,
    /// The peer closed the connection.
    #[error("connection closed by peer")]
    Closed,
    /// A key that isn't 64 hexadecimal digits.
    #[error("a fleet key is 64 hexadecimal digits")]
    BadKey,
}
