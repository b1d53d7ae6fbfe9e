//! Origins of streams that a process keeps for others: drives [`policy::stream_origin`] with
//! datagrams. Entries and sidecars are holders.

use std::cell::RefCell;
use std::net::SocketAddr;

use model::Micros;
use policy::stream_origin::{BuildKey, Origins, StreamKey};
use tokio::net::UdpSocket;

use crate::meter;
use crate::node::ClusterState;
use crate::update::{self, OriginKind, StreamOrigin, Update};

/// Longest time for which a process keeps an origin for another one.
const MAX_KEEP: Micros = Micros::from_secs(120);

/// An answer to a query of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Answer {
    pub(crate) stream: StreamKey,
    pub(crate) known: bool,
}

/// The other processes, as [`policy::stream_origin`] needs them.
pub(crate) fn members(cluster: &ClusterState) -> policy::stream_origin::Members {
    policy::stream_origin::Members {
        entries: cluster.entries().collect(),
        sidecars: cluster.sidecars().map(|m| m.addr).collect(),
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

/// Receives a record, query or answer; a query is answered at once.
pub(crate) fn receive(
    origins: &RefCell<Origins>,
    now: Micros,
    socket: &UdpSocket,
    from: SocketAddr,
    received: &StreamOrigin,
) -> Option<Answer> {
    let stream = StreamKey(received.stream);
    let mut origins = origins.borrow_mut();
    if let Some(build) = received.build {
        let keep = Micros::from_millis(received.keep_ms.into()).min(MAX_KEEP);
        origins.record(now, stream, BuildKey(build), now + keep);
    }
    match OriginKind::try_from(received.kind) {
        Ok(OriginKind::Record) => None,
        Ok(OriginKind::Query) => {
            let known = origins.get(now, stream);
            let known = known.map(|(build, until)| (build, until.since(now)));
            update::send(socket, &encode(OriginKind::Answer, stream, known), [from]);
            None
        }
        Ok(OriginKind::Answer) => Some(Answer {
            stream,
            known: received.build.is_some(),
        }),
        Err(_) => {
            meter::increment(meter::BAD_UPDATES, "reason", "origin");
            None
        }
    }
}
