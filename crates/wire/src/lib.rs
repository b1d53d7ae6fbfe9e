//! Messages between the processes of a fleet, with their framing and authentication.
//!
//! An entry and a sidecar communicate in two ways. *Probes* are single datagrams ([`Packet`]) that
//! may be lost; a lost probe only means one candidate fewer. *Exchanges* are streams of [`Frame`]s
//! on a TCP connection that carries one exchange at a time ([`Tx`], [`Rx`]). Both are
//! authenticated with the fleet's key ([`Keys`]), so that a stray or hostile sender can neither
//! submit requests nor forge answers. The message types are written by hand with the derive macros
//! of `prost`, so that the build needs no code generator.

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
    Accepted, Ack, Beat, Body, Cancel, Chunk, End, Fail, Frame, Head, Header, Join, Open, Peer,
    Pull, Refuse, Resume, Text,
};
pub use packet::{Finding, Findings, Inquiry, Mark, Message, Offer, Packet, Probe, State, Suspect};
pub use seal::{Key, Keys};

/// Maximum size of a frame, in bytes.
pub const FRAME_MAX: usize = 16 << 20;
/// Maximum size of a datagram, in bytes; fits into one Ethernet frame.
pub const PACKET_MAX: usize = 1_200;
