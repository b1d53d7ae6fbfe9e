//! What a driver tells a [`Fleet`](crate::Fleet), and what it is told to do.

use std::net::SocketAddr;

use bytes::Bytes;
use model::{MemberId, Micros, Version};
use thiserror::Error;

use crate::{Answer, Conviction, Digest, Member};

/// The newest configuration in the platform's table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableRow {
    /// Its version.
    pub version: Version,
    /// The digest of its text.
    pub digest: Digest,
    /// Its text.
    pub text: Bytes,
}

/// The table gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the platform's table gave no answer")]
pub struct TableUnavailable;

/// What a read of the table gave.
pub type TableRead = Result<Option<TableRow>, TableUnavailable>;

/// A host as the platform's lagging list has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostEntry {
    /// Its name, as in [`Member::host`].
    pub name: String,
    /// Whether the platform has announced that it goes.
    pub leaving: bool,
}

/// How much a pull asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PullScope {
    /// The configuration alone.
    Config,
    /// The configuration, all members and all convictions.
    All,
}

/// Something happened outside.
#[derive(Clone, Debug)]
pub enum Event {
    /// The time asked for by [`Action::WakeAt`] has come.
    Tick,
    /// A datagram came in.
    Datagram {
        /// Its source.
        from: SocketAddr,
        /// What it holds.
        bytes: Bytes,
    },
    /// Addresses to join through; replaces those given before.
    Seeds(Vec<SocketAddr>),
    /// The platform's list of hosts.
    Hosts(Vec<HostEntry>),
    /// The answer to [`Action::ReadTable`].
    Table(TableRead),
    /// The answer to [`Action::Pull`].
    Pulled {
        /// Who answered.
        from: MemberId,
        /// What it answered.
        answer: Answer,
    },
    /// A pull came to nothing.
    PullFailed {
        /// Who was asked.
        from: MemberId,
    },
    /// This process wrote a configuration to the table and knows that it took effect.
    Accepted(TableRow),
    /// A request was found here to crash its targets; the others are told.
    Convicted(Conviction),
    /// Ask every live member which version it has, until all have the current one.
    PollVersions,
    /// This process will stop: finish what runs, take nothing new.
    Leave,
    /// This process stops now.
    Quit,
}

/// Something to do outside.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// Sealed bytes.
        bytes: Bytes,
    },
    /// Ask a member over TCP; answer with [`Event::Pulled`] or [`Event::PullFailed`].
    Pull {
        /// Whom.
        from: MemberId,
        /// Where it answers.
        tcp: SocketAddr,
        /// What to ask for.
        scope: PullScope,
    },
    /// Read the newest row of the table; answer with [`Event::Table`].
    ReadTable,
    /// Put this configuration in force.
    Adopt(TableRow),
    /// A live member is new here.
    Joined(Member),
    /// A live member's state or description changed.
    Changed(Member),
    /// A member is dead or has left.
    Gone(MemberId),
    /// Another process found that this request crashes its targets: refuse it.
    Convict(Conviction),
    /// Give an [`Event::Tick`] at this time; a later one replaces it.
    WakeAt(Micros),
}
