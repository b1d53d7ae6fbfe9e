//! A request that may run once: every reply at every step, and random schedules.

mod common;

use bytes::Bytes;
use common::{seeded, Loss, Table};
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
enum Want {
    Ours,
    Theirs,
    Unreadable,
    Refuse,
    Read,
    Write(u64),
}

fn seen(step: &ClaimStep) -> Want {
    match step {
        ClaimStep::Acquired => Want::Ours,
        ClaimStep::HeldByOther(Some(_)) => Want::Theirs,
        ClaimStep::HeldByOther(None) => Want::Unreadable,
        ClaimStep::Refuse => Want::Refuse,
        ClaimStep::Call(Request::Read { .. }) => Want::Read,
        ClaimStep::Call(Request::Write { version, .. }) => Want::Write(*version),
    }
}

/// The same vote comes twice through two entries, or the table's answer is lost. A step too many
/// would count a voter twice; a step too few would refuse one who could be served.
#[test]
fn each_reply_leads_where_it_should() {
    use Reply::{Conflict, Down, Lost, Row, Written};
    struct Case {
        what: &'static str,
        replies: Vec<Reply>,
        want: Want,
    }
    #[rustfmt::skip]
    let cases = [
        Case { what: "nothing yet", replies: vec![], want: Want::Write(0) },
        Case { what: "inserted", replies: vec![Written(1)], want: Want::Ours },
        Case { what: "surely not inserted", replies: vec![Down], want: Want::Refuse },
        Case { what: "another's row is there", replies: vec![Conflict], want: Want::Read },
        Case { what: "another's row", replies: vec![Conflict, held("b")], want: Want::Theirs },
        Case { what: "a row nobody can read", replies: vec![Conflict, row(1, "x")], want: Want::Unreadable },
        Case { what: "answer lost", replies: vec![Lost], want: Want::Read },
        Case { what: "lost, took effect", replies: vec![Lost, held("a")], want: Want::Ours },
        Case { what: "lost, another was first", replies: vec![Lost, held("b")], want: Want::Theirs },
        Case { what: "lost, no effect", replies: vec![Lost, Row(None)], want: Want::Write(0) },
        Case { what: "lost, no effect, then late", replies: vec![Lost, Row(None), Conflict, held("a")], want: Want::Ours },
        Case { what: "lost, then away", replies: vec![Lost, Down], want: Want::Read },
        Case { what: "lost and away for good", replies: vec![Lost, Down, Lost, Down], want: Want::Refuse },
        Case { what: "lost again and again", replies: vec![Lost, Row(None), Lost, Row(None), Lost, Row(None)], want: Want::Refuse },
        Case { what: "given back", replies: vec![Conflict, held("")], want: Want::Write(3) },
        Case { what: "given back, taken", replies: vec![Conflict, held(""), Written(4)], want: Want::Ours },
        Case { what: "given back, another was first", replies: vec![Conflict, held(""), Conflict, held("b")], want: Want::Theirs },
        Case { what: "given back, answer lost", replies: vec![Conflict, held(""), Lost, held("a")], want: Want::Ours },
    ];
    for c in cases {
        let step = run(&mut claim("a"), c.replies);
        assert_eq!(seen(&step), c.want, "{}", c.what);
    }
}

/// Whatever the table answers, in whatever order: a claim ends after a few calls, and it is ours
/// only if the table has said so in the last reply.
#[test]
fn every_sequence_of_replies_ends_and_none_claims_without_proof() {
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
    /// Those that gave their claim back before they ran.
    back: Vec<bool>,
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
            back: vec![false; n],
        }
    }

    fn step(&mut self, who: usize, loss: Loss) {
        let (claim, step) = &mut self.all[who];
        if let ClaimStep::Call(request) = step.clone() {
            *step = claim.step(self.table.call(request, loss));
        }
    }

    /// Gives a claim back instead of running it.
    fn release(&mut self, who: usize, loss: Loss) {
        let (claim, step) = &self.all[who];
        if *step == ClaimStep::Acquired && !self.back[who] {
            self.back[who] = true;
            self.table.call(claim.release(), loss);
        }
    }

    /// Who runs it.
    fn owners(&self) -> Vec<usize> {
        let ours = |i: &usize| self.all[*i].1 == ClaimStep::Acquired && !self.back[*i];
        (0..self.all.len()).filter(ours).collect()
    }

    fn check(&self) {
        let owners = self.owners();
        assert!(owners.len() <= 1, "{owners:?} all run it");
        if let Some(owner) = owners.first() {
            let held: Holder = serde_json::from_slice(&self.table.value()).expect("a holder");
            assert_eq!(held.token, owner.to_string(), "the owner's row was lost");
        }
    }
}

#[derive(Clone, Debug)]
enum Turn {
    Step(usize, Loss),
    Release(usize, Loss),
    Deliver(usize),
}

fn turn() -> impl Strategy<Value = Turn> {
    prop_oneof![
        8 => (0..3_usize, Loss::any()).prop_map(|(i, f)| Turn::Step(i, f)),
        1 => (0..3_usize, Loss::any()).prop_map(|(i, f)| Turn::Release(i, f)),
        2 => any::<usize>().prop_map(Turn::Deliver),
    ]
}

proptest! {
    #![proptest_config(seeded(4_000))]

    /// Answers are lost, writes come late, contenders stand still for as long as they like: at
    /// most one runs the request, and nobody takes its claim away.
    #[test]
    fn at_most_one_claims_in_any_schedule(turns in prop::collection::vec(turn(), 1..60)) {
        let mut race = Race::new(3);
        for turn in turns {
            match turn {
                Turn::Step(who, loss) => race.step(who, loss),
                Turn::Release(who, loss) => race.release(who, loss),
                Turn::Deliver(which) => race.table.deliver(which),
            }
            race.check();
        }
    }

    /// A table that answers lets somebody run the request: a claim that refused everybody would
    /// keep the first promise too.
    #[test]
    fn one_claims_if_the_table_answers(order in prop::collection::vec(0..3_usize, 40)) {
        let mut race = Race::new(3);
        for who in order.into_iter().chain([0, 1, 2].repeat(4)) {
            race.step(who, Loss::Good);
            race.check();
        }
        prop_assert_eq!(race.owners().len(), 1);
    }
}
