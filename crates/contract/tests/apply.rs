//! An operator's change: every reply at every step, and random schedules.

mod common;

use common::{seeded, Loss, Table};
use contract::apply::{Apply, ApplyStep, Change, Head, PastChange, CONFIGURATION_KEY, MAX_READS};
use contract::{Reply, Request, Row};
use proptest::prelude::*;

fn change(operation: impl Into<String>, base: Option<u64>) -> Change {
    let operation = operation.into();
    Change {
        text: format!("text of {operation}"),
        base,
        author: format!("author of {operation}"),
        operation,
        at: 1,
    }
}

fn head(version: u64, operation: &str) -> Head {
    Head {
        version,
        operation: operation.to_owned(),
        author: format!("author of {operation}"),
        ..Head::default()
    }
}

fn row(head: &Head) -> Reply {
    Reply::Row(Some(Row {
        version: head.version,
        value: serde_json::to_vec(head).expect("a head").into(),
    }))
}

/// A row in which an operation is an earlier one.
fn past(operation: &str) -> Reply {
    let earlier = PastChange {
        version: 5,
        operation: operation.to_owned(),
        ..PastChange::default()
    };
    row(&Head {
        past: vec![earlier],
        ..head(6, "b")
    })
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Want {
    Accepted(u64),
    Stale(u64, &'static str),
    Down,
    Unknown,
    Corrupt,
    Read,
    Write(u64),
}

fn matches(step: &ApplyStep, want: &Want) -> bool {
    match (step, want) {
        (ApplyStep::Accepted(v), Want::Accepted(w)) => v == w,
        (ApplyStep::Stale(s), Want::Stale(v, operation)) => {
            s.version == *v
                && s.operation == *operation
                && s.author == format!("author of {operation}")
        }
        (ApplyStep::Down, Want::Down)
        | (ApplyStep::Unknown, Want::Unknown)
        | (ApplyStep::Corrupt, Want::Corrupt) => true,
        (ApplyStep::Call(Request::Read { key }), Want::Read) => key == CONFIGURATION_KEY,
        (ApplyStep::Call(Request::Write { key, version, .. }), Want::Write(w)) => {
            key == CONFIGURATION_KEY && version == w
        }
        _ => false,
    }
}

/// Two operators change the configuration at once, or the table's answer is lost. The wrong step
/// overwrites one's change unnoticed, or tells one "failed" of a change that holds.
#[test]
fn each_reply_leads_where_it_should() {
    use Reply::{Conflict, Down, Lost, Row, Written};
    struct Case {
        what: &'static str,
        base: Option<u64>,
        replies: Vec<Reply>,
        want: Want,
    }
    let at = |v, o| row(&head(v, o));
    #[rustfmt::skip]
    let cases = [
        Case { what: "nothing yet", base: None, replies: vec![], want: Want::Read },
        Case { what: "the first ever", base: None, replies: vec![Row(None)], want: Want::Write(0) },
        Case { what: "the first ever, accepted", base: None, replies: vec![Row(None), Written(1)], want: Want::Accepted(1) },
        Case { what: "from this version", base: Some(4), replies: vec![at(4, "b")], want: Want::Write(4) },
        Case { what: "from this version, accepted", base: Some(4), replies: vec![at(4, "b"), Written(5)], want: Want::Accepted(5) },
        Case { what: "from an older version", base: Some(3), replies: vec![at(4, "b")], want: Want::Stale(4, "b") },
        Case { what: "from a version that never was", base: Some(9), replies: vec![at(4, "b")], want: Want::Stale(4, "b") },
        Case { what: "from whatever is there", base: None, replies: vec![at(4, "b")], want: Want::Write(4) },
        Case { what: "another wrote in between", base: None, replies: vec![at(4, "b"), Conflict], want: Want::Read },
        Case { what: "another wrote in between, told", base: None, replies: vec![at(4, "b"), Conflict, at(5, "c")], want: Want::Stale(5, "c") },
        Case { what: "answer lost", base: Some(4), replies: vec![at(4, "b"), Lost], want: Want::Read },
        Case { what: "lost, took effect", base: Some(4), replies: vec![at(4, "b"), Lost, at(5, "a")], want: Want::Accepted(5) },
        Case { what: "lost, took effect, another since", base: Some(4), replies: vec![at(4, "b"), Lost, past("a")], want: Want::Accepted(5) },
        Case { what: "lost, no effect", base: Some(4), replies: vec![at(4, "b"), Lost, at(4, "b")], want: Want::Write(4) },
        Case { what: "lost, another was first", base: Some(4), replies: vec![at(4, "b"), Lost, at(5, "c")], want: Want::Stale(5, "c") },
        Case { what: "sent again", base: Some(4), replies: vec![at(5, "a")], want: Want::Accepted(5) },
        Case { what: "sent again after others", base: Some(4), replies: vec![past("a")], want: Want::Accepted(5) },
        Case { what: "away from the start", base: None, replies: vec![Down; MAX_READS as usize], want: Want::Down },
        Case { what: "lost reads only", base: None, replies: vec![Lost; MAX_READS as usize], want: Want::Down },
        Case { what: "lost, then away", base: None, replies: [vec![at(4, "b")], vec![Lost; MAX_READS as usize]].concat(), want: Want::Unknown },
        Case { what: "unreadable", base: None, replies: vec![Row(Some(contract::Row { version: 1, value: "x".into() }))], want: Want::Corrupt },
    ];
    for c in cases {
        let mut apply = Apply::new(change("a", c.base));
        let first = apply.start();
        let step = c.replies.into_iter().fold(first, |_, r| apply.step(r));
        assert!(
            matches(&step, &c.want),
            "{}: {step:?}, not {:?}",
            c.what,
            c.want
        );
    }
}

/// Operators at work on one row.
struct Office {
    table: Table,
    all: Vec<(Apply, ApplyStep, Option<u64>)>,
    /// Every state that the row has had.
    heads: Vec<Head>,
}

impl Office {
    fn new(bases: &[Option<u64>]) -> Self {
        let one = |(i, base): (usize, &Option<u64>)| {
            let mut apply = Apply::new(change(i.to_string(), *base));
            let first = apply.start();
            (apply, first, *base)
        };
        Self {
            table: Table::default(),
            all: bases.iter().enumerate().map(one).collect(),
            heads: vec![Head::default()],
        }
    }

    fn step(&mut self, who: usize, loss: Loss) {
        let (apply, step, _) = &mut self.all[who];
        if let ApplyStep::Call(request) = step.clone() {
            *step = apply.step(self.table.call(request, loss));
        }
    }

    /// Takes note of the row and checks what must hold at every step.
    fn check(&mut self) {
        if let Ok(head) = serde_json::from_slice::<Head>(&self.table.value()) {
            let last = self.heads.last().expect("a first state");
            if head != *last {
                assert_eq!(
                    head.version,
                    last.version + 1,
                    "a version twice or left out"
                );
                self.heads.push(head);
            }
        }
        for (i, (_, step, base)) in self.all.iter().enumerate() {
            let operation = i.to_string();
            let made: Vec<u64> = self
                .heads
                .iter()
                .filter(|h| h.operation == operation)
                .map(|h| h.version)
                .collect();
            assert!(made.len() <= 1, "change {i} was made twice: {made:?}");
            match step {
                ApplyStep::Accepted(v) => {
                    assert_eq!(made, [*v], "change {i}");
                    assert!(
                        base.is_none_or(|b| b + 1 == *v),
                        "change {i} overwrote another"
                    );
                }
                ApplyStep::Stale(s) => {
                    assert_eq!(
                        made, [0; 0],
                        "change {i} was made, its author told otherwise"
                    );
                    let winner = self
                        .heads
                        .iter()
                        .any(|h| h.version == s.version && h.operation == s.operation);
                    assert!(winner, "change {i}: nobody's change named as the winner");
                }
                ApplyStep::Down => assert_eq!(made, [0; 0], "change {i}"),
                _ => {}
            }
        }
    }
}

#[derive(Clone, Debug)]
enum Turn {
    Step(usize, Loss),
    Deliver(usize),
}

fn turn() -> impl Strategy<Value = Turn> {
    prop_oneof![
        6 => (0..4_usize, Loss::any()).prop_map(|(i, f)| Turn::Step(i, f)),
        1 => any::<usize>().prop_map(Turn::Deliver),
    ]
}

proptest! {
    #![proptest_config(seeded(4_000))]

    /// Four operators, answers lost, writes late: no version twice, no change twice, none
    /// overwritten by one who started from before it, and each told the truth.
    #[test]
    fn operators_are_told_the_truth_in_any_schedule(
        bases in prop::collection::vec(prop::option::of(0..4_u64), 4),
        turns in prop::collection::vec(turn(), 1..80),
    ) {
        let mut office = Office::new(&bases);
        for turn in turns {
            match turn {
                Turn::Step(who, loss) => office.step(who, loss),
                Turn::Deliver(which) => office.table.deliver(which),
            }
            office.check();
        }
        while !office.table.late.is_empty() {
            office.table.deliver(0);
            office.check();
        }
    }
}
