//! Origins of streams that a process keeps for others: drives [`policy::stream_origin`] with
//! datagrams. Entries and sidecars are holders.

use std::cell::RefCell;
use std::net::SocketAddr;

use model::Micros;
use policy::stream_origin::{BuildKey, Origins, Peer, StreamKey};
use site::Role;
use tokio::net::UdpSocket;

use crate::meter;
use crate::node::{ClusterState, Member};
use crate::update::{self, OriginKind, StreamOrigin, Update};

/// Longest time for which a process keeps an origin for another one.
const MAX_KEEP: Micros = Micros::from_secs(120);

/// What another process says about an origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Statement {
    /// It answers a query of this process.
    Answer { known: bool },
    /// It keeps what this process has sent.
    Confirmation,
}

/// The other processes, as [`policy::stream_origin`] needs them. A sidecar without an engine that
/// `listed` accepts has ended with it.
pub(crate) fn members(
    cluster: &ClusterState,
    listed: impl Fn(SocketAddr) -> bool,
) -> policy::stream_origin::Members {
    let of_role = |role| {
        let members = cluster.members.values().filter(move |m| m.role == role);
        members.filter(|m| m.engine.is_none_or(&listed))
    };
    let peer = |m: &Member| Peer {
        addr: m.addr,
        domain: m.domain,
    };
    policy::stream_origin::Members {
        entries: of_role(Role::Entry).map(peer).collect(),
        sidecars: of_role(Role::Sidecar).map(peer).collect(),
    }
}

/// Encodes an origin; `build` is the build and the time left for which it is kept.
pub(crate) fn encode(
    kind: OriginKind,
    stream: StreamKey,
    build: Option<(BuildKey, Micros)>,
) -> Update {
    Update {
        entry: true,
        origin: Some(StreamOrigin {
            kind: kind.into(),
            stream: stream.0,
            build: build.map(|(b, _)| b.0),
            keep_ms: build.map_or(0, |(_, left)| left.as_millis() as u32),
        }),
        ..Update::default()
    }
}

/// Receives a record, confirmation, query or answer; records and queries are answered at once.
pub(crate) fn receive(
    origins: &RefCell<Origins>,
    now: Micros,
    socket: &UdpSocket,
    from: SocketAddr,
    received: &StreamOrigin,
) -> Option<Statement> {
    let stream = StreamKey(received.stream);
    let mut origins = origins.borrow_mut();
    if let Some(build) = received.build {
        let keep = Micros::from_millis(received.keep_ms.into()).min(MAX_KEEP);
        origins.record(now, stream, BuildKey(build), now + keep);
    }
    match OriginKind::try_from(received.kind) {
        Ok(OriginKind::Record) => {
            let confirmation = encode(OriginKind::Confirmation, stream, None);
            update::send(socket, &confirmation, [from]);
            None
        }
        Ok(OriginKind::Query) => {
            let known = origins.get(now, stream);
            let known = known.map(|(build, until)| (build, until.since(now)));
            update::send(socket, &encode(OriginKind::Answer, stream, known), [from]);
            None
        }
        Ok(OriginKind::Answer) => Some(Statement::Answer {
            known: received.build.is_some(),
        }),
        Ok(OriginKind::Confirmation) => Some(Statement::Confirmation),
        Err(_) => {
            meter::increment(meter::BAD_UPDATES, "reason", "origin");
            None
        }
    }
}
