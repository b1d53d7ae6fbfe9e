//! Errors of connections and datagrams between processes of a fleet.

use std::io;

use thiserror::Error;

/// An error on a connection or in a datagram.
#[derive(Debug, Error)]
pub enum WireError {
    /// The connection broke.
    #[error("connection: {0}")]
    Io(#[from] io::Error),
    /// The bytes can't be decoded as a message.
    #[error("undecodable message: {0}")]
    Decode(#[from] prost::DecodeError),
    /// The seal matches none of the accepted keys: the sender isn't part of the fleet, or its key
    /// was rotated out.
    #[error("message is not sealed with the fleet's key")]
    Seal,
    /// The message is too short to contain a seal.
    #[error("message of {0} bytes is truncated")]
    Short(usize),
    /// The message exceeds the size limit.
    #[error("message of {0} bytes is too large")]
    Large(usize),
    /// A frame's length prefix exceeds the limit, for example because the peer uses another
    /// protocol.
    #[error("frame length exceeds the limit")]
    Length,
    /// The connection ended within a frame.
    #[error("connection ended within a frame")]
    Cut,
    /// The message is not valid in this state of the connection.
    #[error("unexpected message")]
    Unexpected,
    /// The peer closed the connection.
    #[error("connection closed by peer")]
    Closed,
    /// The text of a key isn't 64 hexadecimal digits.
    #[error("a fleet key is 64 hexadecimal digits")]
    BadKey,
}
