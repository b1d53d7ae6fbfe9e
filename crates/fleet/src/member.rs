//! What processes know of one another.

use std::net::SocketAddr;

use model::{Incarnation, MemberId};

/// What a process does for the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// Takes callers' requests.
    Entry,
    /// Stands beside one target.
    Sidecar,
}

/// What is believed of a process; later variants win within one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// It works.
    Alive,
    /// It works, but has announced that it will stop.
    Leaving,
    /// It didn't answer and may yet refute that.
    Suspect,
    /// It didn't refute the suspicion in time.
    Dead,
    /// It said goodbye, or a later life took its address.
    Left,
}

impl MemberState {
    /// Whether it may still do work.
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Leaving | Self::Suspect)
    }
}

/// A process of the system.
///
/// `incarnation` starts at the wall clock's microseconds when the process starts, so that a
/// later life at the same address has a higher one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Drawn at random when it starts; never zero, which stands for nobody in datagrams.
    pub id: MemberId,
    /// What it does.
    pub role: Role,
    /// The host it runs on, as the platform names it.
    pub host: String,
    /// Its failure domain.
    pub domain: String,
    /// Its region.
    pub region: String,
    /// Where it takes datagrams.
    pub udp: SocketAddr,
    /// Where it answers pulls and exchanges.
    pub tcp: SocketAddr,
    /// Where it answers callers and operators.
    pub http: Option<SocketAddr>,
    /// The pool its target belongs to.
    pub pool: Option<String>,
    /// A few words for its peers, such as the weights it serves.
    pub tags: String,
    /// Raised by itself alone.
    pub incarnation: Incarnation,
    /// What is believed of it.
    pub state: MemberState,
}

impl Member {
    /// What decides between two reports of one member.
    pub(crate) const fn rank(&self) -> (u64, MemberState) {
        (self.incarnation.0, self.state)
    }
}
