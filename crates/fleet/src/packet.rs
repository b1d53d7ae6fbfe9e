//! Datagrams and answers to pulls as `prost` messages.
//!
//! Decoding validates everything: a field out of range yields a [`PacketError`], never a panic,
//! since a member of another release or with faulty memory may also hold the key.

use std::net::{IpAddr, SocketAddr};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use model::{Incarnation, MemberId, Micros};
use prost::encoding::WireType;
use prost::Message;
use thiserror::Error;

use crate::seal::{Keyring, SealError, OVERHEAD};
use crate::{Conviction, Digest, Member, MemberState, Role};

/// Largest datagram. It fits the smallest common path MTU, so that no datagram is fragmented and
/// lost when one fragment is.
pub const DATAGRAM_MAX: usize = 1_200;
/// Largest body inside a seal.
pub(crate) const BODY_MAX: usize = DATAGRAM_MAX - OVERHEAD;
/// Longest text field in a member's description, in bytes.
const TEXT_MAX: usize = 255;

/// Why a datagram or an answer was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PacketError {
    /// Authentication failed.
    #[error(transparent)]
    Seal(#[from] SealError),
    /// Larger than [`DATAGRAM_MAX`].
    #[error("datagram too large: {0} bytes")]
    Large(usize),
    /// Not a valid message.
    #[error("invalid message: {0}")]
    Format(#[from] prost::DecodeError),
    /// An address that is neither IPv4 nor IPv6.
    #[error("invalid address length: {0} bytes")]
    Addr(usize),
    /// A digest of the wrong length.
    #[error("invalid digest length: {0} bytes")]
    Digest(usize),
    /// An unknown enum value.
    #[error("unknown kind or state: {0}")]
    Number(i32),
    /// A text field that is too long.
    #[error("text field too long: {0} bytes")]
    Text(usize),
    /// A member without its description.
    #[error("member without description")]
    Detail,
    /// A configuration text that does not match its digest.
    #[error("configuration text does not match its digest")]
    Mismatch,
}

/// Kind of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Kind {
    /// Carries updates; needs no reply.
    Gossip = 0,
    /// Requests an [`Kind::Ack`].
    Ping = 1,
    /// Acknowledges a ping or a join request.
    Ack = 2,
    /// Requests an indirect probe of another member.
    PingReq = 3,
    /// The member probed on request sent no ack.
    Nack = 4,
    /// Requests an [`Kind::Ack`] that describes the receiver and some other members.
    Join = 5,
    /// Reports to the member that wrote a configuration that it is in force on the sender.
    Report = 6,
}

/// Wire form of [`MemberState`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum State {
    Alive = 0,
    Leaving = 1,
    Suspect = 2,
    Dead = 3,
    Left = 4,
}

/// A datagram: the sender's own state, then updates about other members.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Packet {
    /// A [`Kind`].
    #[prost(enumeration = "Kind", tag = "1")]
    pub kind: i32,
    /// Sequence number; matches a reply to its request.
    #[prost(fixed32, tag = "2")]
    pub seq: u32,
    /// Id of the sender.
    #[prost(fixed64, tag = "3")]
    pub from: u64,
    /// Incarnation of the sender.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// State of the sender, as it announces it.
    #[prost(enumeration = "State", tag = "5")]
    pub state: i32,
    /// Version of the sender's configuration.
    #[prost(uint64, tag = "6")]
    pub version: u64,
    /// Digest of that configuration.
    #[prost(bytes = "bytes", tag = "7")]
    pub digest: Bytes,
    /// Whether that digest is known to be the table's.
    #[prost(bool, tag = "8")]
    pub proven: bool,
    /// The member that wrote that configuration; zero if no reports are expected.
    #[prost(fixed64, tag = "9")]
    pub origin: u64,
    /// Digest of the sender's view.
    #[prost(fixed64, tag = "10")]
    pub view: u64,
    /// The member that the datagram is for or about; zero for any.
    #[prost(fixed64, tag = "11")]
    pub to: u64,
    /// Address of the member to probe.
    #[prost(bytes = "bytes", tag = "12")]
    pub addr: Bytes,
    /// Whether the receiver is unknown to the sender and should send its description.
    #[prost(bool, tag = "13")]
    pub ask: bool,
    /// Updates about members.
    #[prost(message, repeated, tag = "14")]
    pub updates: Vec<Update>,
    /// Convictions.
    #[prost(message, repeated, tag = "15")]
    pub marks: Vec<Mark>,
}

/// A claim about one member.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Update {
    /// Id of the member.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Incarnation of the member.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Claimed state.
    #[prost(enumeration = "State", tag = "3")]
    pub state: i32,
    /// The member that suspects it.
    #[prost(fixed64, tag = "4")]
    pub by: u64,
    /// Its description, for receivers that lack it. Decoded only if the update is new, since most
    /// updates arrive many times.
    #[prost(bytes = "bytes", optional, tag = "5")]
    pub detail: Option<Bytes>,
}

/// Description of a member.
#[derive(Clone, PartialEq, prost::Message)]
struct Detail {
    #[prost(bool, tag = "1")]
    sidecar: bool,
    #[prost(string, tag = "2")]
    host: String,
    #[prost(string, tag = "3")]
    domain: String,
    #[prost(string, tag = "4")]
    region: String,
    #[prost(bytes = "bytes", tag = "5")]
    udp: Bytes,
    #[prost(bytes = "bytes", tag = "6")]
    tcp: Bytes,
    #[prost(bytes = "bytes", optional, tag = "7")]
    http: Option<Bytes>,
    #[prost(string, optional, tag = "8")]
    pool: Option<String>,
    #[prost(string, tag = "9")]
    tags: String,
}

/// A conviction, with its expiry as wall-clock time.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Mark {
    /// Upper half of the fingerprint.
    #[prost(fixed64, tag = "1")]
    pub high: u64,
    /// Lower half of the fingerprint.
    #[prost(fixed64, tag = "2")]
    pub low: u64,
    /// Expiry, in microseconds since 1970.
    #[prost(uint64, tag = "3")]
    pub until: u64,
}

impl Packet {
    /// A datagram of the given kind; the sender fields are filled in by `Fleet::send`.
    pub(crate) fn new(kind: Kind, seq: u32) -> Self {
        Self {
            kind: kind as i32,
            seq,
            ..Self::default()
        }
    }

    /// Encodes and seals the datagram.
    pub fn seal(&self, keys: &Keyring) -> Bytes {
        keys.seal(&self.encode_to_vec())
    }

    /// Appends an encoded update to an encoded datagram.
    pub(crate) fn append(body: &mut Vec<u8>, update: &[u8]) {
        prost::encoding::encode_key(14, WireType::LengthDelimited, body);
        prost::encoding::encode_varint(update.len() as u64, body);
        body.extend_from_slice(update);
    }

    /// Opens and validates a received datagram.
    pub fn open(keys: &Keyring, bytes: Bytes) -> Result<Self, PacketError> {
        if bytes.len() > DATAGRAM_MAX {
            return Err(PacketError::Large(bytes.len()));
        }
        let p = Self::decode(keys.open(bytes)?)?;
        Kind::try_from(p.kind).map_err(|_| PacketError::Number(p.kind))?;
        member_state_from_wire(p.state)?;
        Digest::from_wire(&p.digest)?;
        p.updates
            .iter()
            .try_for_each(|u| member_state_from_wire(u.state).map(drop))?;
        Ok(p)
    }

    /// The sender's claim about itself.
    pub(crate) fn header(&self) -> Update {
        Update {
            id: self.from,
            incarnation: self.incarnation,
            state: self.state,
            by: 0,
            detail: None,
        }
    }
}

impl Update {
    /// An update without description, for receivers that already have the description.
    pub(crate) fn brief(m: &Member, by: MemberId) -> Self {
        Self {
            id: m.id.0,
            incarnation: m.incarnation.0,
            state: wire_state(m.state) as i32,
            by: by.0,
            detail: None,
        }
    }

    /// An update with the description of the member.
    pub(crate) fn full(m: &Member) -> Self {
        let detail = Detail {
            sidecar: m.role == Role::Sidecar,
            host: m.host.clone(),
            domain: m.domain.clone(),
            region: m.region.clone(),
            udp: put_addr(m.udp),
            tcp: put_addr(m.tcp),
            http: m.http.map(put_addr),
            pool: m.pool.clone(),
            tags: m.tags.clone(),
        };
        Self {
            detail: Some(detail.encode_to_vec().into()),
            ..Self::brief(m, MemberId(0))
        }
    }

    /// Whether both updates claim the same state of the same incarnation.
    pub(crate) fn same_claim(&self, o: &Self) -> bool {
        (self.id, self.incarnation, self.state) == (o.id, o.incarnation, o.state)
    }

    /// The claimed state.
    pub(crate) fn member_state(&self) -> MemberState {
        member_state_from_wire(self.state).unwrap_or(MemberState::Suspect)
    }

    /// The member described by the update.
    pub(crate) fn member(&self) -> Result<Member, PacketError> {
        let detail = self.detail.clone().ok_or(PacketError::Detail)?;
        let d = Detail::decode(detail)?;
        d.check()?;
        Ok(Member {
            id: MemberId(self.id),
            role: if d.sidecar {
                Role::Sidecar
            } else {
                Role::Entry
            },
            host: d.host,
            domain: d.domain,
            region: d.region,
            udp: addr(&d.udp)?,
            tcp: addr(&d.tcp)?,
            http: d.http.as_ref().map(addr).transpose()?,
            pool: d.pool,
            tags: d.tags,
            incarnation: Incarnation(self.incarnation),
            state: member_state_from_wire(self.state)?,
        })
    }
}

impl Detail {
    /// Rejects text fields that are too long.
    fn check(&self) -> Result<(), PacketError> {
        let texts = [&self.host, &self.domain, &self.region, &self.tags];
        let texts = texts.into_iter().chain(&self.pool);
        let long = texts.map(String::len).find(|&n| n > TEXT_MAX);
        if let Some(n) = long {
            return Err(PacketError::Text(n));
        }
        Ok(())
    }
}

impl Mark {
    /// Encodes a fingerprint and its expiry.
    pub(crate) fn new(fingerprint: u128, until: Micros) -> Self {
        Self {
            high: (fingerprint >> 64) as u64,
            low: fingerprint as u64,
            until: until.0,
        }
    }

    /// Decodes the conviction.
    pub(crate) fn read(&self) -> Conviction {
        Conviction {
            fingerprint: u128::from(self.high) << 64 | u128::from(self.low),
            until: Micros(self.until),
        }
    }
}

/// Encodes an address as four or sixteen bytes and a port.
pub(crate) fn put_addr(a: SocketAddr) -> Bytes {
    let mut b = BytesMut::with_capacity(18);
    match a.ip() {
        IpAddr::V4(ip) => b.put_slice(&ip.octets()),
        IpAddr::V6(ip) => b.put_slice(&ip.octets()),
    }
    b.put_u16(a.port());
    b.freeze()
}

/// Decodes an address.
pub(crate) fn addr(b: &Bytes) -> Result<SocketAddr, PacketError> {
    let mut r = &b[..];
    let ip: IpAddr = match b.len() {
        6 => r.get_u32().to_be_bytes().into(),
        18 => r.get_u128().to_be_bytes().into(),
        n => return Err(PacketError::Addr(n)),
    };
    Ok(SocketAddr::new(ip, r.get_u16()))
}

fn member_state_from_wire(n: i32) -> Result<MemberState, PacketError> {
    match State::try_from(n) {
        Ok(State::Alive) => Ok(MemberState::Alive),
        Ok(State::Leaving) => Ok(MemberState::Leaving),
        Ok(State::Suspect) => Ok(MemberState::Suspect),
        Ok(State::Dead) => Ok(MemberState::Dead),
        Ok(State::Left) => Ok(MemberState::Left),
        Err(_) => Err(PacketError::Number(n)),
    }
}

pub(crate) fn wire_state(s: MemberState) -> State {
    match s {
        MemberState::Alive => State::Alive,
        MemberState::Leaving => State::Leaving,
        MemberState::Suspect => State::Suspect,
        MemberState::Dead => State::Dead,
        MemberState::Left => State::Left,
    }
}
