//! Model check of the operator's configuration across restores of the store: enumerates all
//! histories of two processes with lost, delayed and reordered messages, up to small limits.

use std::collections::HashSet;

use bytes::Bytes;
use gate::node::{ClusterState, OperatorRow, Source};
use model::{Micros, Position};

/// Number of versions of the configuration that the operator writes.
const MAX_VERSION: u64 = 3;
/// Highest era of the store.
const MAX_ERA: u64 = 2;
/// Maximum number of messages in transit at a time.
const MAX_MESSAGES: usize = 2;

/// A row of the configuration: its store position, and the operator's version in it.
type Row = (Position, u64);

/// State of a process: the known row and the version in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
struct Process {
    row: Row,
    in_force: u64,
}

impl Process {
    /// Applies a row with the code under test.
    fn apply_row(self, row: Row) -> Self {
        let mut cluster = ClusterState::default();
        let now = Micros::from_secs(100);
        for (at, version) in [(Position::default(), self.in_force), self.row, row] {
            if version > 0 {
                let value = Bytes::from(config(version));
                cluster.apply_row(now, "config", OperatorRow { at, value }, Source::Table);
            }
        }
        let plan = cluster.plan.as_ref().expect("a plan");
        let known = &cluster.operator_rows["config"];
        let version = if known.at == row.0 { row.1 } else { self.row.1 };
        Self {
            row: (known.at, version),
            in_force: plan.version(),
        }
    }
}

fn config(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[],"services":[],"tenants":[],"limits":{{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":1000,"idle_timeout_ms":3000}}}}"#
    )
}

/// State of the whole system.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// Row in the store.
    store: Row,
    /// Newest version in the store.
    newest_version: u64,
    /// Row and newest version in the backup that the store may be restored from.
    backup: (Row, u64),
    /// Newest version that the operator has written.
    newest_written: u64,
    processes: [Process; 2],
    /// Rows in transit, each with the process that receives it.
    messages: Vec<(usize, Row)>,
}

impl State {
    fn initial() -> Self {
        let row = (Position::new(1, 1), 1);
        Self {
            store: row,
            newest_version: 1,
            backup: (row, 1),
            newest_written: 1,
            processes: [Process::default().apply_row(row); 2],
            messages: Vec::new(),
        }
    }

    fn write(&self, version: u64) -> Self {
        let mut next = self.clone();
        next.newest_version += 1;
        next.store = (
            Position::new(self.store.0.era, next.newest_version),
            version,
        );
        next.newest_written = version.max(self.newest_written);
        next
    }

    fn restore(&self) -> Self {
        let mut next = self.clone();
        let era = self.store.0.era + 1;
        let ((at, version), newest_version) = self.backup;
        next.store = (Position::new(era, at.version), version);
        next.newest_version = newest_version;
        next
    }

    fn send(&self, to: usize, row: Row) -> Self {
        let mut next = self.clone();
        next.messages.push((to, row));
        next.messages.sort_unstable();
        next
    }

    fn deliver(&self, i: usize) -> Self {
        let mut next = self.clone();
        let (to, row) = next.messages.remove(i);
        next.processes[to] = self.processes[to].apply_row(row);
        next
    }

    /// All states that may follow this one.
    fn successors(&self) -> Vec<Self> {
        let mut successors = Vec::new();
        if self.newest_written < MAX_VERSION {
            successors.push(self.write(self.newest_written + 1));
        }
        if self.store.1 < self.newest_written {
            // The operator writes the newest version again after a restore.
            successors.push(self.write(self.newest_written));
        }
        if self.store.0.era < MAX_ERA {
            successors.push(self.restore());
            let mut backed_up = self.clone();
            backed_up.backup = (self.store, self.newest_version);
            successors.push(backed_up);
        }
        if self.messages.len() < MAX_MESSAGES {
            for to in 0..2 {
                successors.push(self.send(to, self.store));
                successors.push(self.send(to, self.processes[1 - to].row));
            }
        }
        for i in 0..self.messages.len() {
            successors.push(self.deliver(i));
            let mut lost = self.clone();
            lost.messages.remove(i);
            successors.push(lost);
        }
        successors
    }
}

/// Guards against a process that applies an older row, or a row of an earlier era, and so goes back
/// to a configuration that the operator has replaced.
#[test]
fn no_order_of_messages_restores_a_replaced_configuration() {
    let mut seen = HashSet::new();
    let mut states = vec![State::initial()];
    while !states.is_empty() {
        let mut next = Vec::new();
        for state in &states {
            for step in state.successors() {
                for (before, after) in state.processes.iter().zip(&step.processes) {
                    assert!(after.in_force >= before.in_force, "{state:?}\n{step:?}");
                    assert!(after.row.0 >= before.row.0, "{state:?}\n{step:?}");
                }
                if seen.insert(step.clone()) {
                    next.push(step);
                }
            }
        }
        states = next;
    }
    println!("{} states", seen.len());
    let restored = |s: &State| s.store.0.era == MAX_ERA && s.newest_written == MAX_VERSION;
    assert!(seen.iter().any(restored));
    for state in &seen {
        // Once messages are delivered, each process has the store's row and the operator's newest
        // version.
        let mut last = state.clone();
        if last.store.1 < last.newest_written {
            last = last.write(last.newest_written);
        }
        let last_row = last.store;
        for p in &last.processes {
            let p = p.apply_row(last_row);
            assert_eq!(
                (p.row, p.in_force),
                (last_row, last.newest_written),
                "{state:?}"
            );
        }
    }
}
