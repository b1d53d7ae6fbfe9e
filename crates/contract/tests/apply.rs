//! Changes of the configuration: sequences of replies, and random schedules of several operators.

mod common;

use common::{seeded, Fault, Table};
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

/// A row whose history contains an operation.
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
enum Expected {
    Accepted(u64),
    Stale(u64, &'static str),
    Down,
    Unknown,
    Corrupt,
    Read,
    Write(u64),
}

fn matches(step: &ApplyStep, expected: &Expected) -> bool {
    match (step, expected) {
        (ApplyStep::Accepted(v), Expected::Accepted(w)) => v == w,
        (ApplyStep::Stale(s), Expected::Stale(v, operation)) => {
            s.version == *v
                && s.operation == *operation
                && s.author == format!("author of {operation}")
        }
        (ApplyStep::Down, Expected::Down)
        | (ApplyStep::Unknown, Expected::Unknown)
        | (ApplyStep::Corrupt, Expected::Corrupt) => true,
        (ApplyStep::Call(Request::Read { key }), Expected::Read) => key == CONFIGURATION_KEY,
        (ApplyStep::Call(Request::Write { key, version, .. }), Expected::Write(w)) => {
            key == CONFIGURATION_KEY && version == w
        }
        _ => false,
    }
}

/// Guards against a change that is overwritten unnoticed, and against reporting an accepted change
/// as failed, when two operators make changes at once or an answer of the table is lost.
#[test]
fn each_reply_leads_to_the_right_step() {
    use Reply::{Conflict, Down, Lost, Row, Written};
    struct Case {
        what: &'static str,
        base: Option<u64>,
        replies: Vec<Reply>,
        expected: Expected,
    }
    let at = |v, o| row(&head(v, o));
    #[rustfmt::skip]
    let cases = [
        Case { what: "nothing yet", base: None, replies: vec![], expected: Expected::Read },
        Case { what: "the first ever", base: None, replies: vec![Row(None)], expected: Expected::Write(0) },
        Case { what: "the first ever, accepted", base: None, replies: vec![Row(None), Written(1)], expected: Expected::Accepted(1) },
        Case { what: "from this version", base: Some(4), replies: vec![at(4, "b")], expected: Expected::Write(4) },
        Case { what: "from this version, accepted", base: Some(4), replies: vec![at(4, "b"), Written(5)], expected: Expected::Accepted(5) },
        Case { what: "from an older version", base: Some(3), replies: vec![at(4, "b")], expected: Expected::Stale(4, "b") },
        Case { what: "from a version that doesn't exist", base: Some(9), replies: vec![at(4, "b")], expected: Expected::Stale(4, "b") },
        Case { what: "from any version", base: None, replies: vec![at(4, "b")], expected: Expected::Write(4) },
        Case { what: "another wrote in between", base: None, replies: vec![at(4, "b"), Conflict], expected: Expected::Read },
        Case { what: "another wrote in between, reported", base: None, replies: vec![at(4, "b"), Conflict, at(5, "c")], expected: Expected::Stale(5, "c") },
        Case { what: "answer lost", base: Some(4), replies: vec![at(4, "b"), Lost], expected: Expected::Read },
        Case { what: "lost, took effect", base: Some(4), replies: vec![at(4, "b"), Lost, at(5, "a")], expected: Expected::Accepted(5) },
        Case { what: "lost, took effect, another since", base: Some(4), replies: vec![at(4, "b"), Lost, past("a")], expected: Expected::Accepted(5) },
        Case { what: "lost, no effect", base: Some(4), replies: vec![at(4, "b"), Lost, at(4, "b")], expected: Expected::Write(4) },
        Case { what: "lost, another was first", base: Some(4), replies: vec![at(4, "b"), Lost, at(5, "c")], expected: Expected::Stale(5, "c") },
        Case { what: "sent again", base: Some(4), replies: vec![at(5, "a")], expected: Expected::Accepted(5) },
        Case { what: "sent again after others", base: Some(4), replies: vec![past("a")], expected: Expected::Accepted(5) },
        Case { what: "table down from the start", base: None, replies: vec![Down; MAX_READS as usize], expected: Expected::Down },
        Case { what: "lost reads only", base: None, replies: vec![Lost; MAX_READS as usize], expected: Expected::Down },
        Case { what: "write lost, then reads lost", base: None, replies: [vec![at(4, "b")], vec![Lost; MAX_READS as usize]].concat(), expected: Expected::Unknown },
        Case { what: "unreadable", base: None, replies: vec![Row(Some(contract::Row { version: 1, value: "x".into() }))], expected: Expected::Corrupt },
    ];
    for c in cases {
        let mut apply = Apply::new(change("a", c.base));
        let first = apply.start();
        let step = c.replies.into_iter().fold(first, |_, r| apply.step(r));
        assert!(
            matches(&step, &c.expected),
            "{}: {step:?}, not {:?}",
            c.what,
            c.expected
        );
    }
}

/// Operators that make changes to one row.
struct Operators {
    table: Table,
    all: Vec<(Apply, ApplyStep, Option<u64>)>,
    /// Every state that the row has had.
    heads: Vec<Head>,
}

impl Operators {
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

    fn step(&mut self, operator: usize, fault: Fault) {
        let (apply, step, _) = &mut self.all[operator];
        if let ApplyStep::Call(request) = step.clone() {
            *step = apply.step(self.table.call(request, fault));
        }
    }

    /// Records the row's state and checks what must hold after every step.
    fn check(&mut self) {
        if let Ok(head) = serde_json::from_slice::<Head>(&self.table.value()) {
            let last = self.heads.last().expect("a first state");
            if head != *last {
                assert_eq!(
                    head.version,
                    last.version + 1,
                    "a version was repeated or skipped"
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
                    assert_eq!(made, [0; 0], "change {i} was made but reported as stale");
                    let winner = self
                        .heads
                        .iter()
                        .any(|h| h.version == s.version && h.operation == s.operation);
                    assert!(winner, "change {i}: the reported winner is not a change");
                }
                ApplyStep::Down => assert_eq!(made, [0; 0], "change {i}"),
                _ => {}
            }
        }
    }
}

#[derive(Clone, Debug)]
enum Op {
    Step(usize, Fault),
    Deliver(usize),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (0..4_usize, Fault::any()).prop_map(|(i, f)| Op::Step(i, f)),
        1 => any::<usize>().prop_map(Op::Deliver),
    ]
}

proptest! {
    #![proptest_config(seeded(4_000))]

    /// Guards against repeated versions, changes made twice or overwritten, and wrong results for
    /// operators when answers are lost and writes take effect late.
    #[test]
    fn operators_get_the_true_result_in_any_schedule(
        bases in prop::collection::vec(prop::option::of(0..4_u64), 4),
        ops in prop::collection::vec(op(), 1..80),
    ) {
        let mut operators = Operators::new(&bases);
        for op in ops {
            match op {
                Op::Step(operator, fault) => operators.step(operator, fault),
                Op::Deliver(which) => operators.table.deliver(which),
            }
            operators.check();
        }
        while !operators.table.late.is_empty() {
            operators.table.deliver(0);
            operators.check();
        }
    }
}
