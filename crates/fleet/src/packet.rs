//! Datagrams and pull answers as `prost` messages.
//!
//! Decoding trusts nothing: a field out of range is a [`PacketError`], never a panic, since a
//! member of another release or with broken memory may hold the key too.

use std::net::{IpAddr, SocketAddr};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use model::{Incarnation, MemberId, Micros};
use prost::encoding::WireType;
use prost::Message;
use thiserror::Error;

use crate::seal::{Keyring, SealError, OVERHEAD};
use crate::{Conviction, Digest, Member, MemberState, Role};

/// Largest datagram: fits the smallest usual path MTU, so that none is fragmented and lost whole
/// when one fragment is.
pub const DATAGRAM_MAX: usize = 1_200;
/// Largest body under a seal.
pub(crate) const BODY_MAX: usize = DATAGRAM_MAX - OVERHEAD;
/// Longest text in a member's description.
const TEXT_MAX: usize = 255;

/// Why a datagram or an answer can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PacketError {
    /// Its seal doesn't hold.
    #[error(transparent)]
    Seal(#[from] SealError),
    /// Larger than [`DATAGRAM_MAX`].
    #[error("a datagram of {0} bytes is too large")]
    Large(usize),
    /// Not of this format.
    #[error("a message can't be decoded: {0}")]
    Format(#[from] prost::DecodeError),
    /// An address of neither family.
    #[error("an address has {0} bytes")]
    Addr(usize),
    /// A digest of the wrong length.
    #[error("a digest has {0} bytes")]
    Digest(usize),
    /// A number that names nothing.
    #[error("the number {0} names no kind, state or role")]
    Number(i32),
    /// A description with a text that is too long.
    #[error("a text of {0} bytes is too long")]
    Text(usize),
    /// A member that is described without a part it must have.
    #[error("a member lacks its description")]
    Detail,
    /// Text that doesn't match its digest.
    #[error("a configuration doesn't match its digest")]
    Mismatch,
}

/// What a datagram is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Kind {
    /// Carries updates and asks for nothing.
    Gossip = 0,
    /// Asks for an [`Kind::Ack`].
    Ping = 1,
    /// Answers a ping.
    Ack = 2,
    /// Asks to ping another member.
    PingReq = 3,
    /// The other member didn't answer the one who was asked.
    Nack = 4,
    /// Asks for an [`Kind::Ack`] that describes the sender and some others.
    Join = 5,
    /// Tells whoever accepted a configuration that it is in force here.
    Report = 6,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum State {
    Alive = 0,
    Leaving = 1,
    Suspect = 2,
    Dead = 3,
    Left = 4,
}

/// A datagram: the sender's own state, then updates about others.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Packet {
    /// A [`Kind`].
    #[prost(enumeration = "Kind", tag = "1")]
    pub kind: i32,
    /// Ties an answer to its question.
    #[prost(fixed32, tag = "2")]
    pub seq: u32,
    /// The sender.
    #[prost(fixed64, tag = "3")]
    pub from: u64,
    /// The sender's incarnation.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// What the sender says of itself.
    #[prost(enumeration = "State", tag = "5")]
    pub state: i32,
    /// The sender's configuration.
    #[prost(uint64, tag = "6")]
    pub version: u64,
    /// Digest of that configuration.
    #[prost(bytes = "bytes", tag = "7")]
    pub digest: Bytes,
    /// Whether the digest is known to be the table's.
    #[prost(bool, tag = "8")]
    pub proven: bool,
    /// Who accepted that configuration; zero if nobody waits for reports.
    #[prost(fixed64, tag = "9")]
    pub origin: u64,
    /// Digest of the sender's view.
    #[prost(fixed64, tag = "10")]
    pub view: u64,
    /// Whom it is for or about; zero for anyone.
    #[prost(fixed64, tag = "11")]
    pub to: u64,
    /// Address of the member to ping.
    #[prost(bytes = "bytes", tag = "12")]
    pub addr: Bytes,
    /// The sender doesn't know the receiver and wants its description.
    #[prost(bool, tag = "13")]
    pub ask: bool,
    /// Updates about members.
    #[prost(message, repeated, tag = "14")]
    pub updates: Vec<Update>,
    /// Convictions.
    #[prost(message, repeated, tag = "15")]
    pub marks: Vec<Mark>,
}

/// A report about one member.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Update {
    /// About whom.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Which incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// What is reported.
    #[prost(enumeration = "State", tag = "3")]
    pub state: i32,
    /// Who suspects it.
    #[prost(fixed64, tag = "4")]
    pub by: u64,
    /// Its description, for those that don't know it; decoded only if it is news, since most
    /// updates are heard many times.
    #[prost(bytes = "bytes", optional, tag = "5")]
    pub detail: Option<Bytes>,
}

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

/// A conviction, with its expiry on the wall clock.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Mark {
    /// Upper half of the fingerprint.
    #[prost(fixed64, tag = "1")]
    pub high: u64,
    /// Lower half of the fingerprint.
    #[prost(fixed64, tag = "2")]
    pub low: u64,
    /// Microseconds since 1970.
    #[prost(uint64, tag = "3")]
    pub until: u64,
}

impl Packet {
    /// A datagram of a kind, still without its sender.
    pub(crate) fn new(kind: Kind, seq: u32) -> Self {
        Self {
            kind: kind as i32,
            seq,
            ..Self::default()
        }
    }

    /// Seals it for sending.
    pub fn seal(&self, keys: &Keyring) -> Bytes {
        keys.seal(&self.encode_to_vec())
    }

    /// Adds an update that is encoded already to an encoded datagram.
    pub(crate) fn append(body: &mut Vec<u8>, update: &[u8]) {
        prost::encoding::encode_key(14, WireType::LengthDelimited, body);
        prost::encoding::encode_varint(update.len() as u64, body);
        body.extend_from_slice(update);
    }

    /// Opens and checks what came in.
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

    /// The sender's report about itself.
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
    /// A report that only those can use that know the member.
    pub(crate) fn brief(m: &Member, by: MemberId) -> Self {
        Self {
            id: m.id.0,
            incarnation: m.incarnation.0,
            state: wire_state(m.state) as i32,
            by: by.0,
            detail: None,
        }
    }

    /// A report with the member's description.
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

    /// Whether both say the same of the same life.
    pub(crate) fn same_claim(&self, o: &Self) -> bool {
        (self.id, self.incarnation, self.state) == (o.id, o.incarnation, o.state)
    }

    /// What is reported.
    pub(crate) fn member_state(&self) -> MemberState {
        member_state_from_wire(self.state).unwrap_or(MemberState::Suspect)
    }

    /// The member it describes, if it does.
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
    pub(crate) fn new(fingerprint: u128, until: Micros) -> Self {
        Self {
            high: (fingerprint >> 64) as u64,
            low: fingerprint as u64,
            until: until.0,
        }
    }

    pub(crate) fn read(&self) -> Conviction {
        Conviction {
            fingerprint: u128::from(self.high) << 64 | u128::from(self.low),
            until: Micros(self.until),
        }
    }
}

/// An address as four or sixteen bytes and a port.
pub(crate) fn put_addr(a: SocketAddr) -> Bytes {
    let mut b = BytesMut::with_capacity(18);
    match a.ip() {
        IpAddr::V4(ip) => b.put_slice(&ip.octets()),
        IpAddr::V6(ip) => b.put_slice(&ip.octets()),
    }
    b.put_u16(a.port());
    b.freeze()
}

/// Reads an address.
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
