//! What the system's own processes say to one another, and how it is framed and authenticated.
//!
//! Two ways are used between an entry and a sidecar. *Probes* are single datagrams ([`Packet`])
//! that may be lost; a lost probe costs one candidate. *Exchanges* are streams of [`Frame`]s on a
//! TCP connection that carries one exchange at a time ([`Tx`], [`Rx`]). Both are sealed with the
//! fleet's key ([`Keys`]), so that a stray or hostile sender can neither place work nor forge an
//! answer. The message types are written by hand with `prost`'s derive, so that the build needs
//! no generator.

pub mod bind;
pub mod channel;
pub mod error;
pub mod frame;
pub mod packet;
pub mod seal;

pub use bind::bind_both;
pub use channel::{accept, connect, Rx, Tx};
pub use error::WireError;
pub use frame::{
    Accepted, Ack, Beat, Body, Cancel, Chunk, End, Fail, Frame, Head, Header, Join, Open, Pull,
    Refuse, Resume, Text,
};
pub use packet::{Finding, Findings, Inquiry, Mark, Message, Offer, Packet, Probe, State, Suspect};
pub use seal::{Key, Keys};

/// Largest frame either side accepts, in bytes.
pub const FRAME_MAX: usize = 16 << 20;
/// Largest datagram either side sends or accepts, in bytes; fits one Ethernet frame.
pub const PACKET_MAX: usize = 1_200;
