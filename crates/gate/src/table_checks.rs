//! Confirmation of the tables that every process follows by held calls.
//!
//! [`policy::staleness`] decides when a process checks its copy. A process whose check or held call has
//! confirmed its copy sends its positions to the others, and one that receives lower positions than its own
//! answers with these.

use std::cell::RefCell;
use std::net::SocketAddr;

use model::{Micros, Position};
use platform::store::{MEMBERS_TABLE, OPERATOR_TABLE};
use policy::staleness::{Config, Report, Staleness};
use rand::seq::IteratorRandom;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use crate::node::{ClusterState, SharedNode, Source};
use crate::update::{self, RowPosition, TablePositions, Update};

/// Number of processes to which a process that starts sends its positions.
const START_PEERS: usize = 8;

/// A table that every process follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Table {
    /// The operator's rows.
    Operator,
    /// The system's processes.
    Members,
}

impl Table {
    /// Name of the table in the store.
    pub fn name(self) -> &'static str {
        match self {
            Self::Operator => OPERATOR_TABLE,
            Self::Members => MEMBERS_TABLE,
        }
    }
}

/// State of one table.
#[derive(Debug)]
struct Checks {
    staleness: RefCell<Staleness>,
    /// Notified when the time of the next check has changed.
    changed: Notify,
}

/// State of all tables.
#[derive(Debug)]
pub struct TableChecks {
    /// Rank of this process.
    rank: u64,
    operator: Checks,
    members: Checks,
}

impl TableChecks {
    /// State of a process that has read nothing yet.
    pub fn new(host: &str) -> Self {
        let rank = xxh3_64(host.as_bytes());
        let checks = |config| Checks {
            staleness: RefCell::new(Staleness::new(config, rank, Micros::ZERO, rand::random())),
            changed: Notify::new(),
        };
        Self {
            rank,
            operator: checks(Config::default()),
            // Only the processes themselves write their rows, so a newer position is always received from one.
            members: checks(Config {
                max_age: None,
                ..Config::default()
            }),
        }
    }

    fn of(&self, table: Table) -> &Checks {
        match table {
            Table::Operator => &self.operator,
            Table::Members => &self.members,
        }
    }

    /// Whether the operator's rows lack a confirmation that should have arrived.
    pub fn is_unconfirmed(&self, now: Micros) -> bool {
        let staleness = self.operator.staleness.borrow();
        staleness.is_behind(now) || staleness.is_overdue(now)
    }

    /// Time since the operator's rows were last confirmed.
    pub fn operator_age(&self, now: Micros) -> Micros {
        self.operator.staleness.borrow().age(now)
    }
}

/// Position of the newest row that is known of a table.
fn position(cluster: &ClusterState, table: Table) -> Position {
    match table {
        Table::Operator => cluster.operator_position(),
        Table::Members => cluster.members_position,
    }
}

/// Records that a held call for a table begins.
pub fn record_call(node: &SharedNode, table: Table) {
    let checks = node.tables.of(table);
    checks.staleness.borrow_mut().call(node.now());
}

/// Waits until the copy of a table has to be checked.
pub async fn check_due(node: &SharedNode, table: Table) {
    let checks = node.tables.of(table);
    loop {
        let next = checks.staleness.borrow().next_check();
        let left = match next {
            Some(at) if at <= node.now() => return,
            Some(at) => at.since(node.now()),
            None => Micros(u64::MAX),
        };
        // Both ends lead to another look at the time of the next check.
        let _ = timeout(left.into(), checks.changed.notified()).await;
    }
}

/// Records an answer of the store to a read or held call, with which the copy of a table is complete, and
/// sends it to the other processes if they need it.
pub fn confirm(node: &SharedNode, socket: &UdpSocket, table: Table) {
    let position = position(&node.cluster.borrow(), table);
    let checks = node.tables.of(table);
    let is_needed = checks.staleness.borrow_mut().confirm(node.now(), position);
    if is_needed {
        announce(node, socket);
    }
}

/// Records the answer to a check that began at `started`, after its rows were applied.
pub fn record_check(node: &SharedNode, socket: &UdpSocket, table: Table, started: Micros) {
    let position = position(&node.cluster.borrow(), table);
    let checks = node.tables.of(table);
    let is_needed = checks.staleness.borrow_mut().checked(started, position);
    if is_needed {
        announce(node, socket);
    }
}

/// Records that a check of a table has failed that began at `started`.
pub fn record_failure(node: &SharedNode, table: Table, started: Micros) {
    let checks = node.tables.of(table);
    checks.staleness.borrow_mut().failed(started);
}

/// Sends this process's positions to all other processes.
fn announce(node: &SharedNode, socket: &UdpSocket) {
    let cluster = node.cluster.borrow();
    let members = cluster.members.values().map(|m| m.addr);
    update::send(socket, &own_positions(node, &cluster, false), members);
}

/// Sends this process's positions to some other processes, after its row was added to the members.
pub fn announce_start(node: &SharedNode, socket: &UdpSocket) {
    let cluster = node.cluster.borrow();
    let members = cluster.members.values().map(|m| m.addr);
    let some = members.choose_multiple(&mut rand::rng(), START_PEERS);
    update::send(socket, &own_positions(node, &cluster, false), some);
}

fn own_positions(node: &SharedNode, cluster: &ClusterState, reply: bool) -> Update {
    let at = |table| {
        let position = position(cluster, table);
        (position > Position::default()).then_some(RowPosition {
            era: position.era,
            version: position.version,
        })
    };
    let age = node.tables.operator_age(node.now()).as_millis();
    Update {
        entry: true,
        tables: Some(TablePositions {
            rank: node.tables.rank,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            operator: at(Table::Operator),
            members: at(Table::Members),
            reply,
            checked: node.tables.operator.staleness.borrow().has_checked(),
        }),
        ..Update::default()
    }
}

/// Records the positions of another process, and answers with this process's positions if they are higher.
pub fn receive(node: &SharedNode, socket: &UdpSocket, from: SocketAddr, received: &TablePositions) {
    let mut is_lower = false;
    for (table, theirs) in [
        (Table::Operator, received.operator),
        (Table::Members, received.members),
    ] {
        let Some(theirs) = theirs.map(|p| Position::new(p.era, p.version)) else {
            continue;
        };
        node.raise_era(theirs.era, Source::Peer);
        let own = position(&node.cluster.borrow(), table);
        let report = Report {
            position: theirs,
            age: Micros::from_millis(received.age_ms.into()),
            rank: received.rank,
            checked: received.checked,
        };
        let checks = node.tables.of(table);
        let draw = rand::random();
        let mut staleness = checks.staleness.borrow_mut();
        staleness.receive(node.now(), own, report, draw);
        checks.changed.notify_one();
        is_lower |= theirs < own;
    }
    if is_lower && !received.reply {
        let reply = own_positions(node, &node.cluster.borrow(), true);
        update::send(socket, &reply, [from]);
    }
}
