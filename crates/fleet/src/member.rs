//! Members of the fleet and their states.

use std::net::SocketAddr;

use model::{Incarnation, MemberId};

/// Role of a process in the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// Accepts callers' requests.
    Entry,
    /// Runs beside one target.
    Sidecar,
}

/// State of a member; within one incarnation, later variants override earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// Working.
    Alive,
    /// Working, but has announced that it will stop.
    Leaving,
    /// Did not answer a probe; can still refute the suspicion.
    Suspect,
    /// Did not refute the suspicion in time.
    Dead,
    /// Announced its departure, or a later process took its address.
    Left,
}

impl MemberState {
    /// Whether the member may still do work.
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Leaving | Self::Suspect)
    }
}

/// A process of the system.
///
/// `incarnation` starts at the wall clock's microseconds at the start of the process, so that a
/// later process at the same address has a higher one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Random id drawn at the start; never zero, which means no member in datagrams.
    pub id: MemberId,
    /// Role of the process.
    pub role: Role,
    /// The host it runs on, as named by the platform.
    pub host: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Region of the host.
    pub region: String,
    /// Address for gossip datagrams.
    pub udp: SocketAddr,
    /// Address for pulls and exchanges.
    pub tcp: SocketAddr,
    /// Address for callers and operators.
    pub http: Option<SocketAddr>,
    /// Pool of its target.
    pub pool: Option<String>,
    /// Free text for other members, such as the weights it serves.
    pub tags: String,
    /// Incarnation; raised only by the member itself.
    pub incarnation: Incarnation,
    /// State as known to this process.
    pub state: MemberState,
}

impl Member {
    /// Precedence between two claims about one member; the higher one wins.
    pub(crate) const fn rank(&self) -> (u64, MemberState) {
        (self.incarnation.0, self.state)
    }
}
