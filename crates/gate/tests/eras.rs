//! All orders of small histories of the store: restores, lost and late messages, two processes.

use std::collections::HashSet;

use bytes::Bytes;
use gate::node::{ClusterState, OperatorRow, Source};
use model::{Micros, Position};

/// Operator's versions of the configuration.
const VERSIONS: u64 = 3;
/// Eras of the store.
const ERAS: u64 = 2;
/// Messages under way at a time.
const UNDER_WAY: usize = 2;

/// A row of the configuration: where it was written, and the operator's version in it.
type Row = (Position, u64);

/// What a process has: the row and the version in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
struct Process {
    row: Row,
    force: u64,
}

impl Process {
    /// Takes over a row the way that processes do.
    fn adopt(self, row: Row) -> Self {
        let mut cluster = ClusterState::default();
        let now = Micros::from_secs(100);
        for (at, version) in [(Position::default(), self.force), self.row, row] {
            if version > 0 {
                let value = Bytes::from(config(version));
                cluster.apply_row(now, "config", OperatorRow { at, value }, Source::Table);
            }
        }
        let plan = cluster.plan.as_ref().expect("a plan");
        let kept = &cluster.operator_rows["config"];
        let version = if kept.at == row.0 { row.1 } else { self.row.1 };
        Self {
            row: (kept.at, version),
            force: plan.version(),
        }
    }
}

fn config(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[],"services":[],"tenants":[],"limits":{{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":1000,"idle_timeout_ms":3000}}}}"#
    )
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// The store's row, its newest version and the copy that it may come back from.
    store: Row,
    newest: u64,
    copy: (Row, u64),
    /// The newest version that the operator has written.
    written: u64,
    processes: [Process; 2],
    /// Rows on their way to a process.
    messages: Vec<(usize, Row)>,
}

impl State {
    fn first() -> Self {
        let row = (Position::new(1, 1), 1);
        Self {
            store: row,
            newest: 1,
            copy: (row, 1),
            written: 1,
            processes: [Process::default().adopt(row); 2],
            messages: Vec::new(),
        }
    }

    fn write(&self, version: u64) -> Self {
        let mut next = self.clone();
        next.newest += 1;
        next.store = (Position::new(self.store.0.era, next.newest), version);
        next.written = version.max(self.written);
        next
    }

    fn restore(&self) -> Self {
        let mut next = self.clone();
        let era = self.store.0.era + 1;
        let ((at, version), newest) = self.copy;
        next.store = (Position::new(era, at.version), version);
        next.newest = newest;
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
        next.processes[to] = self.processes[to].adopt(row);
        next
    }

    /// All states that may follow.
    fn steps(&self) -> Vec<Self> {
        let mut steps = Vec::new();
        if self.written < VERSIONS {
            steps.push(self.write(self.written + 1));
        }
        if self.store.1 < self.written {
            // What the operator wrote is written again after a restore.
            steps.push(self.write(self.written));
        }
        if self.store.0.era < ERAS {
            steps.push(self.restore());
            let mut copied = self.clone();
            copied.copy = (self.store, self.newest);
            steps.push(copied);
        }
        if self.messages.len() < UNDER_WAY {
            for to in 0..2 {
                steps.push(self.send(to, self.store));
                steps.push(self.send(to, self.processes[1 - to].row));
            }
        }
        for i in 0..self.messages.len() {
            steps.push(self.deliver(i));
            let mut lost = self.clone();
            lost.messages.remove(i);
            steps.push(lost);
        }
        steps
    }
}

/// An older row, or one of an era before a restore, brings back what the operator has replaced.
#[test]
fn no_order_of_messages_brings_back_what_was_replaced() {
    let mut seen = HashSet::new();
    let mut states = vec![State::first()];
    while !states.is_empty() {
        let mut next = Vec::new();
        for state in &states {
            for step in state.steps() {
                for (before, after) in state.processes.iter().zip(&step.processes) {
                    assert!(after.force >= before.force, "{state:?}\n{step:?}");
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
    let restored = |s: &State| s.store.0.era == ERAS && s.written == VERSIONS;
    assert!(seen.iter().any(restored));
    for state in &seen {
        // Once messages get through, each process has the store's row and the operator's newest version.
        let mut last = state.clone();
        if last.store.1 < last.written {
            last = last.write(last.written);
        }
        let last_row = last.store;
        for p in &last.processes {
            let p = p.adopt(last_row);
            assert_eq!((p.row, p.force), (last_row, last.written), "{state:?}");
        }
    }
}
