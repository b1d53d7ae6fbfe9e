//! Claims on requests: sequences of replies, and random schedules of several contenders.

mod common;

use bytes::Bytes;
use common::{seeded, Fault, Table};
use contract::claim::{Claim, ClaimStep, Holder, MAX_READS};
use contract::{Reply, Request, Row};
use proptest::prelude::*;

fn holder(token: impl Into<String>) -> Holder {
    Holder {
        token: token.into(),
        address: "127.0.0.1:1".to_owned(),
        incarnation: 7,
        since: 1,
        body: "b".to_owned(),
    }
}

fn claim(token: impl Into<String>) -> Claim {
    Claim::new("team", "key", holder(token))
}

fn row(version: u64, value: impl Into<Bytes>) -> Reply {
    let value = value.into();
    Reply::Row(Some(Row { version, value }))
}

fn held(token: &str) -> Reply {
    row(3, serde_json::to_vec(&holder(token)).expect("a holder"))
}

fn run(claim: &mut Claim, replies: impl IntoIterator<Item = Reply>) -> ClaimStep {
    let first = claim.start();
    replies.into_iter().fold(first, |_, r| claim.step(r))
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    Acquired,
    HeldByOther,
    Unreadable,
    Refuse,
    Read,
    Write(u64),
}

fn summary(step: &ClaimStep) -> Expected {
    match step {
        ClaimStep::Acquired => Expected::Acquired,
        ClaimStep::HeldByOther(Some(_)) => Expected::HeldByOther,
        ClaimStep::HeldByOther(None) => Expected::Unreadable,
        ClaimStep::Refuse => Expected::Refuse,
        ClaimStep::Call(Request::Read { .. }) => Expected::Read,
        ClaimStep::Call(Request::Write { version, .. }) => Expected::Write(*version),
    }
}

/// Guards against a second run of a vote that arrives through two entries or whose claim's answer is
/// lost, and against refusing a vote that could run.
#[test]
fn each_reply_leads_to_the_right_step() {
    use Reply::{Conflict, Down, Lost, Row, Written};
    struct Case {
        what: &'static str,
        replies: Vec<Reply>,
        expected: Expected,
    }
    #[rustfmt::skip]
    let cases = [
        Case { what: "nothing yet", replies: vec![], expected: Expected::Write(0) },
        Case { what: "inserted", replies: vec![Written(1)], expected: Expected::Acquired },
        Case { what: "certainly not inserted", replies: vec![Down], expected: Expected::Refuse },
        Case { what: "another's row is there", replies: vec![Conflict], expected: Expected::Read },
        Case { what: "another's row", replies: vec![Conflict, held("b")], expected: Expected::HeldByOther },
        Case { what: "undecodable row", replies: vec![Conflict, row(1, "x")], expected: Expected::Unreadable },
        Case { what: "answer lost", replies: vec![Lost], expected: Expected::Read },
        Case { what: "lost, took effect", replies: vec![Lost, held("a")], expected: Expected::Acquired },
        Case { what: "lost, another was first", replies: vec![Lost, held("b")], expected: Expected::HeldByOther },
        Case { what: "lost, no effect", replies: vec![Lost, Row(None)], expected: Expected::Write(0) },
        Case { what: "lost, no effect, then late", replies: vec![Lost, Row(None), Conflict, held("a")], expected: Expected::Acquired },
        Case { what: "lost, then table down", replies: vec![Lost, Down], expected: Expected::Read },
        Case { what: "lost, table stays down", replies: vec![Lost, Down, Lost, Down], expected: Expected::Refuse },
        Case { what: "lost again and again", replies: vec![Lost, Row(None), Lost, Row(None), Lost, Row(None)], expected: Expected::Refuse },
        Case { what: "released", replies: vec![Conflict, held("")], expected: Expected::Write(3) },
        Case { what: "released, taken", replies: vec![Conflict, held(""), Written(4)], expected: Expected::Acquired },
        Case { what: "released, another was first", replies: vec![Conflict, held(""), Conflict, held("b")], expected: Expected::HeldByOther },
        Case { what: "released, answer lost", replies: vec![Conflict, held(""), Lost, held("a")], expected: Expected::Acquired },
    ];
    for c in cases {
        let step = run(&mut claim("a"), c.replies);
        assert_eq!(summary(&step), c.expected, "{}", c.what);
    }
}

/// Guards against a claim that never ends, or that is held without proof from the last reply, for
/// every sequence of replies.
#[test]
fn every_sequence_of_replies_ends_and_none_acquires_without_proof() {
    fn walk(claim: &Claim, step: &ClaimStep, depth: u32, ends: &mut u32) {
        assert!(depth <= 3 * MAX_READS + 2, "no end");
        let replies = match step {
            ClaimStep::Call(Request::Read { .. }) => vec![
                Reply::Row(None),
                held("a"),
                held("b"),
                held(""),
                row(1, "x"),
                Reply::Down,
                Reply::Lost,
            ],
            ClaimStep::Call(Request::Write { .. }) => {
                vec![Reply::Written(1), Reply::Conflict, Reply::Down, Reply::Lost]
            }
            _ => {
                *ends += 1;
                return;
            }
        };
        for reply in replies {
            let mut next = claim.clone();
            let step = next.step(reply.clone());
            let proof = matches!(reply, Reply::Written(_)) || reply == held("a");
            assert_eq!(step == ClaimStep::Acquired, proof, "after {reply:?}");
            walk(&next, &step, depth + 1, ends);
        }
    }
    let first = claim("a");
    let mut ends = 0;
    walk(&first, &first.start(), 0, &mut ends);
    assert!(ends > 500, "only {ends} sequences were walked");
}

/// Contenders for one request, as when it is sent again through other entries.
struct Race {
    table: Table,
    all: Vec<(Claim, ClaimStep)>,
    /// Contenders that released their claim before they ran the request.
    released: Vec<bool>,
}

impl Race {
    fn new(n: usize) -> Self {
        let one = |i: usize| {
            let claim = claim(i.to_string());
            let first = claim.start();
            (claim, first)
        };
        Self {
            table: Table::default(),
            all: (0..n).map(one).collect(),
            released: vec![false; n],
        }
    }

    fn step(&mut self, contender: usize, fault: Fault) {
        let (claim, step) = &mut self.all[contender];
        if let ClaimStep::Call(request) = step.clone() {
            *step = claim.step(self.table.call(request, fault));
        }
    }

    /// Releases a claim instead of running the request.
    fn release(&mut self, contender: usize, fault: Fault) {
        let (claim, step) = &self.all[contender];
        if *step == ClaimStep::Acquired && !self.released[contender] {
            self.released[contender] = true;
            self.table.call(claim.release(), fault);
        }
    }

    /// Contenders that run the request.
    fn owners(&self) -> Vec<usize> {
        let runs = |i: &usize| self.all[*i].1 == ClaimStep::Acquired && !self.released[*i];
        (0..self.all.len()).filter(runs).collect()
    }

    fn check(&self) {
        let owners = self.owners();
        assert!(owners.len() <= 1, "{owners:?} all run the request");
        if let Some(owner) = owners.first() {
            let held: Holder = serde_json::from_slice(&self.table.value()).expect("a holder");
            assert_eq!(held.token, owner.to_string(), "the owner's row was lost");
        }
    }
}

#[derive(Clone, Debug)]
enum Op {
    Step(usize, Fault),
    Release(usize, Fault),
    Deliver(usize),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        8 => (0..3_usize, Fault::any()).prop_map(|(i, f)| Op::Step(i, f)),
        1 => (0..3_usize, Fault::any()).prop_map(|(i, f)| Op::Release(i, f)),
        2 => any::<usize>().prop_map(Op::Deliver),
    ]
}

proptest! {
    #![proptest_config(seeded(4_000))]

    /// Guards against two contenders that run the request, and against a lost claim, when answers
    /// are lost, writes take effect late and contenders are paused.
    #[test]
    fn at_most_one_claims_in_any_schedule(ops in prop::collection::vec(op(), 1..60)) {
        let mut race = Race::new(3);
        for op in ops {
            match op {
                Op::Step(contender, fault) => race.step(contender, fault),
                Op::Release(contender, fault) => race.release(contender, fault),
                Op::Deliver(which) => race.table.deliver(which),
            }
            race.check();
        }
    }

    /// Guards against claims that refuse every contender, which would also prevent a second run.
    #[test]
    fn one_claims_if_the_table_answers(order in prop::collection::vec(0..3_usize, 40)) {
        let mut race = Race::new(3);
        for contender in order.into_iter().chain([0, 1, 2].repeat(4)) {
            race.step(contender, Fault::None);
            race.check();
        }
        prop_assert_eq!(race.owners().len(), 1);
    }
}
