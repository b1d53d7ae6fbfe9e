//! Input and output of a [`Fleet`](crate::Fleet): events from its driver and actions for it.

use std::net::SocketAddr;

use bytes::Bytes;
use model::{MemberId, Micros, Version};
use thiserror::Error;

use crate::{Answer, Conviction, Digest, Member};

/// The newest configuration in the platform's table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableRow {
    /// Version of the configuration.
    pub version: Version,
    /// Digest of the text.
    pub digest: Digest,
    /// Text of the configuration.
    pub text: Bytes,
}

/// The table did not answer a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the platform's table did not answer")]
pub struct TableUnavailable;

/// Result of a read of the table.
pub type TableRead = Result<Option<TableRow>, TableUnavailable>;

/// A host in the platform's host list, which lags behind the real state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostEntry {
    /// Name of the host, as in [`Member::host`].
    pub name: String,
    /// Whether the platform has announced that the host is leaving.
    pub leaving: bool,
}

/// What a pull asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PullScope {
    /// The configuration alone.
    Config,
    /// The configuration, all members and all convictions.
    All,
}

/// An event from outside the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// The time requested by [`Action::WakeAt`] has come.
    Tick,
    /// A datagram was received.
    Datagram {
        /// Address of the sender.
        from: SocketAddr,
        /// Sealed content.
        bytes: Bytes,
    },
    /// Seed addresses to join through; replaces earlier ones.
    Seeds(Vec<SocketAddr>),
    /// The platform's host list.
    Hosts(Vec<HostEntry>),
    /// Result of [`Action::ReadTable`].
    Table(TableRead),
    /// Result of [`Action::Pull`].
    Pulled {
        /// The member that was asked.
        from: MemberId,
        /// The answer.
        answer: Answer,
    },
    /// A pull failed.
    PullFailed {
        /// The member that was asked.
        from: MemberId,
    },
    /// This process wrote a configuration to the table, and the table confirmed it.
    Accepted(TableRow),
    /// This process found a request that crashes its targets; the conviction is gossiped.
    Convicted(Conviction),
    /// Poll all live members for their version until all have the current one.
    PollVersions,
    /// This process will stop: it finishes running work and accepts no new work.
    Leave,
    /// This process stops now.
    Quit,
}

/// An action for the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Destination.
        to: SocketAddr,
        /// Sealed content.
        bytes: Bytes,
    },
    /// Pull from a member over TCP; answer with [`Event::Pulled`] or [`Event::PullFailed`].
    Pull {
        /// The member to ask.
        from: MemberId,
        /// Its address for pulls.
        tcp: SocketAddr,
        /// What to ask for.
        scope: PullScope,
    },
    /// Read the newest row of the table; answer with [`Event::Table`].
    ReadTable,
    /// Put this configuration in force.
    Adopt(TableRow),
    /// A live member was added to the view.
    Joined(Member),
    /// The state or description of a live member changed.
    Changed(Member),
    /// A member is dead or has left.
    Gone(MemberId),
    /// Another process found that this request crashes its targets: refuse it.
    Convict(Conviction),
    /// Deliver [`Event::Tick`] at this time; replaces the time requested before.
    WakeAt(Micros),
}
