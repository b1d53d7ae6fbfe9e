//! Leases: a holder that stands still, and random schedules of several.

mod common;

use common::{seeded, Loss, Table};
use contract::lease::Config;
use contract::{Lease, LeaseStep, Reply};
use model::Micros;
use proptest::prelude::*;

/// A process that wants the lease, with its call on the way.
#[derive(Clone, Debug)]
struct Holder {
    lease: Lease,
    step: LeaseStep,
    /// The table's reply, still on its way back.
    reply: Option<Reply>,
    /// The last time at which it had the right, with its number and whether it gave it up itself.
    had: Option<(Micros, u64)>,
    released: bool,
    /// Its clock is ahead by this.
    ahead: Micros,
}

impl Holder {
    fn new(config: Config, who: usize, ahead: Micros) -> Self {
        let mut lease = Lease::new(config, "lease", who.to_string());
        let step = lease.tick(ahead);
        Self {
            lease,
            step,
            reply: None,
            had: None,
            released: false,
            ahead,
        }
    }

    fn tick(&mut self, now: Micros) {
        let now = now + self.ahead;
        if let LeaseStep::Sleep(until) = self.step {
            if until <= now && !self.lease.is_released() {
                self.step = self.lease.tick(now);
            }
        }
    }

    /// The table takes its call; the reply is on its way.
    fn call(&mut self, table: &mut Table, loss: Loss) {
        if let (LeaseStep::Call(request), None) = (&self.step, &self.reply) {
            self.reply = Some(table.call(request.clone(), loss));
        }
    }

    fn receive(&mut self, now: Micros) {
        if let Some(reply) = self.reply.take() {
            self.step = self.lease.step(now + self.ahead, reply);
        }
    }

    fn valid(&self, now: Micros) -> Option<u64> {
        self.lease.valid(now + self.ahead)
    }

    /// Takes all steps that it can take now, with a table that answers.
    fn settle(&mut self, table: &mut Table, now: Micros) {
        self.tick(now);
        while matches!(self.step, LeaseStep::Call(_)) {
            self.call(table, Loss::Good);
            self.receive(now);
        }
    }
}

const fn s(n: u64) -> Micros {
    Micros::from_secs(n)
}

fn config(size: usize, settle: Micros) -> Config {
    Config {
        size,
        settle,
        ..Config::default()
    }
}

fn pair(config: Config) -> (Table, Holder, Holder) {
    let one = Holder::new(config, 1, Micros::ZERO);
    let two = Holder::new(config, 2, s(1_000));
    (Table::default(), one, two)
}

/// Guards against a holder that orders after a pause, over the weights of the new holder.
#[test]
fn paused_holder_loses_its_right_before_another_has_one() {
    let (mut table, mut one, mut two) = pair(config(1, Micros::ZERO));
    one.settle(&mut table, s(0));
    two.settle(&mut table, s(0));
    assert_eq!(one.valid(s(0)), Some(1));
    // From here on the first one stands still.
    let mut lost = None;
    let mut won = None;
    for t in 0..30 {
        two.settle(&mut table, s(t));
        lost = lost.or((one.valid(s(t)).is_none()).then_some(t));
        won = won.or(two.valid(s(t)).map(|f| (t, f)));
    }
    let (lost, (won, fence)) = (lost.expect("lost"), won.expect("won"));
    assert!(lost < won, "lost at {lost} s, won at {won} s");
    assert_eq!(fence, 2, "a number above the paused one's");
    one.settle(&mut table, s(30));
    assert_eq!(one.valid(s(30)), None, "it goes on and finds another");
}

/// Guards against a late order of the old holder at an engine that ignores fencing tokens.
#[test]
fn new_holder_waits_out_the_old_ones_orders() {
    for (settle, what) in [(s(0), "checks numbers"), (s(5), "ignores them")] {
        let (mut table, mut one, mut two) = pair(config(1, settle));
        one.settle(&mut table, s(0));
        let mut won = None;
        let mut right = None;
        for t in 0..40 {
            two.settle(&mut table, s(t));
            let holds = String::from_utf8_lossy(&table.value()).contains("\"who\":\"2\"");
            won = won.or(holds.then_some(t));
            right = right.or(two.valid(s(t)).map(|_| t));
        }
        let (won, right) = (won.expect("won"), right.expect("right"));
        assert_eq!(s(right - won), settle, "an engine that {what}");
    }
}

/// Guards against acting while orders of an evicted holder may be on their way.
#[test]
fn orders_of_the_silent_are_waited_out_by_all_who_follow() {
    let set = config(1, s(5));
    let (mut table, mut one, mut two) = pair(set);
    let mut three = Holder::new(set, 3, s(50));
    one.settle(&mut table, s(0));
    let mut evicted = None;
    let mut right = None;
    for t in 0..40 {
        two.settle(&mut table, s(t));
        let holds = String::from_utf8_lossy(&table.value()).contains("\"who\":\"2\"");
        if holds && evicted.is_none() {
            evicted = Some(t);
            two.lease.release();
        }
        three.settle(&mut table, s(t));
        right = right.or(three.valid(s(t)).map(|_| t));
    }
    let (evicted, right) = (evicted.expect("evicted"), right.expect("right"));
    assert!(
        right >= evicted + 5,
        "evicted at {evicted} s, another acts at {right} s"
    );
}

/// Guards against more loads at a time than a pool has permits.
#[test]
fn no_more_hold_permits_than_there_are() {
    let set = config(2, Micros::ZERO);
    let mut table = Table::default();
    let mut all: Vec<_> = (0..5).map(|i| Holder::new(set, i, s(i as u64))).collect();
    let mut served = std::collections::BTreeSet::new();
    for t in 0..60 {
        for h in &mut all {
            h.settle(&mut table, s(t));
        }
        let valid: Vec<usize> = (0..5).filter(|i| all[*i].valid(s(t)).is_some()).collect();
        assert!(valid.len() <= 2, "{valid:?} at {t} s");
        served.extend(valid.iter().copied());
        // Each is done after some seconds.
        if let (0, Some(first)) = (t % 5, valid.first()) {
            all[*first].lease.release();
        }
    }
    assert_eq!(served.len(), 5, "each had its turn");
}

/// Guards against a right that outlives its term, or doesn't come back.
#[test]
fn right_ends_by_itself_while_the_table_is_away() {
    struct Case {
        what: &'static str,
        loss: Loss,
    }
    let cases = [
        Case {
            what: "away",
            loss: Loss::Down,
        },
        Case {
            what: "answers lost, no effect",
            loss: Loss::LostBefore,
        },
        Case {
            what: "answers lost after the effect",
            loss: Loss::LostAfter,
        },
        Case {
            what: "calls late",
            loss: Loss::Late,
        },
    ];
    for c in cases {
        let (mut table, mut one, _) = pair(config(1, Micros::ZERO));
        one.settle(&mut table, s(0));
        assert_eq!(one.valid(s(0)), Some(1), "{}", c.what);
        for t in 0..20 {
            one.tick(s(t));
            one.call(&mut table, c.loss);
            one.receive(s(t));
            assert_eq!(one.valid(s(t)).is_some(), t < 8, "{} at {t} s", c.what);
        }
        for t in 20..24 {
            one.settle(&mut table, s(t));
        }
        assert_eq!(one.valid(s(24)), Some(1), "{}", c.what);
    }
}

/// Guards against a holder that waits for itself after a lost answer.
#[test]
fn lost_answer_of_any_write_costs_a_round_only() {
    for lost in 0..6 {
        let (mut table, mut one, _) = pair(config(1, Micros::ZERO));
        let mut calls = 0;
        for t in 0..8 {
            one.tick(s(t));
            while matches!(one.step, LeaseStep::Call(_)) {
                let loss = if calls == lost {
                    Loss::LostAfter
                } else {
                    Loss::Good
                };
                calls += 1;
                one.call(&mut table, loss);
                one.receive(s(t));
            }
        }
        assert_eq!(one.valid(s(7)), Some(1), "call {lost}");
        let row = String::from_utf8_lossy(&table.value()).into_owned();
        assert_eq!(row.matches("who").count(), 1, "call {lost}: {row}");
    }
}

/// Guards against a process that acts on a place in the row which its own earlier lease gives up.
#[test]
fn later_lease_of_a_process_waits_for_its_earlier_one() {
    let (mut table, mut one, mut two) = pair(config(1, Micros::ZERO));
    one.settle(&mut table, s(0));
    one.lease.release();
    let mut again = Holder::new(config(1, Micros::ZERO), 1, Micros::ZERO);
    let mut both = Vec::new();
    let mut served = [false; 2];
    two.settle(&mut table, s(1));
    for t in 2..40 {
        for h in [&mut again, &mut one, &mut two] {
            h.settle(&mut table, s(t));
        }
        let valid = [again.valid(s(t)), two.valid(s(t))];
        both.extend(valid.iter().all(Option::is_some).then_some(t));
        served = [0, 1].map(|i| served[i] || valid[i].is_some());
        if t == 20 {
            again.lease.release();
            two.lease.release();
        }
    }
    assert!(both.is_empty(), "two act at {both:?} s");
    assert!(served.iter().any(|s| *s), "neither acts");
}

/// Guards against a place in the row that is given up and stays taken until it expires.
#[test]
fn lease_that_is_given_up_leaves_the_row() {
    struct Case {
        what: &'static str,
        /// Whether it is given up before its first write is answered.
        early: bool,
        loss: Loss,
    }
    #[rustfmt::skip]
    let cases = [
        Case { what: "held", early: false, loss: Loss::Good },
        Case { what: "held, the table away", early: false, loss: Loss::Down },
        Case { what: "held, answer lost before the effect", early: false, loss: Loss::LostBefore },
        Case { what: "held, answer lost after the effect", early: false, loss: Loss::LostAfter },
        Case { what: "its first write on the way", early: true, loss: Loss::Good },
    ];
    for c in cases {
        let (mut table, mut one, _) = pair(config(1, Micros::ZERO));
        one.call(&mut table, Loss::Good);
        one.receive(s(0));
        one.call(&mut table, Loss::Good);
        if c.early {
            one.lease.release();
        }
        one.receive(s(0));
        one.lease.release();
        for t in [2, 3] {
            one.tick(s(t));
            one.call(&mut table, Loss::Good);
            one.receive(s(t));
            one.call(&mut table, if t == 2 { c.loss } else { Loss::Good });
            one.receive(s(t));
        }
        for t in 4..8 {
            one.settle(&mut table, s(t));
        }
        let row = String::from_utf8_lossy(&table.value()).into_owned();
        assert!(one.lease.is_released(), "{}: {row}", c.what);
        assert_eq!(row.matches("who").count(), 0, "{}: {row}", c.what);
    }
}

/// Guards against a right that runs out because a call without an answer is repeated too late.
#[test]
fn call_without_an_answer_is_repeated_soon() {
    for loss in [Loss::LostBefore, Loss::LostAfter] {
        let (mut table, mut one, _) = pair(config(1, Micros::ZERO));
        one.call(&mut table, Loss::Good);
        one.receive(s(0));
        one.call(&mut table, loss);
        one.receive(s(0));
        assert_eq!(one.valid(s(0)), None);
        one.settle(&mut table, s(1));
        assert_eq!(one.valid(s(1)), Some(1), "{loss:?}");
    }
}

#[derive(Clone, Debug)]
enum Turn {
    Pass(u64),
    Tick(usize),
    Call(usize, Loss),
    Receive(usize),
    Deliver(usize),
    Release(usize),
    /// A whole round with a table that answers.
    Round(usize),
}

const CONTENDERS: usize = 3;

fn turn() -> impl Strategy<Value = Turn> {
    prop_oneof![
        4 => (0..4_000_u64).prop_map(Turn::Pass),
        6 => (0..CONTENDERS).prop_map(Turn::Tick),
        6 => (0..CONTENDERS, Loss::any()).prop_map(|(i, f)| Turn::Call(i, f)),
        6 => (0..CONTENDERS).prop_map(Turn::Receive),
        1 => any::<usize>().prop_map(Turn::Deliver),
        1 => (0..CONTENDERS).prop_map(Turn::Release),
        8 => (0..CONTENDERS).prop_map(Turn::Round),
    ]
}

/// Contenders on one row, watched at every step.
struct Watch {
    config: Config,
    table: Table,
    all: Vec<Holder>,
    now: Micros,
}

impl Watch {
    fn new(config: Config) -> Self {
        let ahead = |i: usize| s(1_000 * i as u64);
        let one = |i: usize| Holder::new(config, i, ahead(i));
        Self {
            config,
            table: Table::default(),
            all: (0..CONTENDERS).map(one).collect(),
            now: Micros::ZERO,
        }
    }

    fn take(&mut self, turn: Turn) {
        match turn {
            Turn::Pass(ms) => self.now = self.now + Micros::from_millis(ms),
            Turn::Tick(i) => self.all[i].tick(self.now),
            Turn::Call(i, loss) => self.all[i].call(&mut self.table, loss),
            Turn::Receive(i) => self.all[i].receive(self.now),
            Turn::Deliver(which) => self.table.deliver(which),
            Turn::Round(i) => {
                self.all[i].receive(self.now);
                self.all[i].settle(&mut self.table, self.now);
            }
            Turn::Release(i) => {
                self.all[i].lease.release();
                self.all[i].released = true;
            }
        }
    }

    fn check(&mut self) {
        let now = self.now;
        let valid: Vec<_> = self.all.iter().map(|h| h.valid(now)).collect();
        let count = valid.iter().flatten().count();
        assert!(count <= self.config.size, "{valid:?} all act");
        for (i, fence) in valid.iter().enumerate() {
            let Some(fence) = fence else { continue };
            let before = self.all.iter().enumerate().filter(|(j, _)| *j != i);
            let ended = before.filter(|(j, _)| valid[*j].is_none());
            for (j, other) in ended.filter_map(|(j, h)| Some((j, h.had?))) {
                let ((at, number), gone) = (other, self.all[j].released);
                let fresh = self.all[i].had.is_none_or(|(_, f)| f != *fence);
                if fresh && self.config.size == 1 {
                    assert!(number < *fence, "{j} had {number}, {i} has {fence}");
                }
                if fresh && self.config.size == 1 && !gone {
                    let gap = now.since(at);
                    assert!(gap >= self.config.settle, "{i} acts {gap:?} after {j}");
                }
            }
        }
        for (h, fence) in self.all.iter_mut().zip(valid) {
            h.had = fence.map(|f| (now, f)).or(h.had);
        }
    }
}

proptest! {
    #![proptest_config(seeded(3_000))]

    /// Calls are lost and late, holders stand still: never do more act than may, numbers only
    /// grow, and orders of a silent holder are waited out.
    #[test]
    fn never_do_more_act_than_may(
        size in 1..3_usize,
        settle in prop_oneof![Just(0_u64), Just(5)],
        turns in prop::collection::vec(turn(), 1..300),
    ) {
        let mut watch = Watch::new(config(size, s(settle)));
        for turn in turns {
            watch.take(turn);
            watch.check();
        }
    }
}
