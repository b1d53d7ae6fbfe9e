//! Leases: a paused holder, and random schedules of several contenders.

mod common;

use common::{seeded, Fault, Table};
use contract::lease::Config;
use contract::{Lease, LeaseStep, Reply};
use model::Micros;
use proptest::prelude::*;

/// A process that contends for the lease, with its call in flight.
#[derive(Clone, Debug)]
struct Holder {
    lease: Lease,
    step: LeaseStep,
    /// The table's reply, not yet received.
    reply: Option<Reply>,
    /// Last time at which the lease was valid, with its fencing token.
    last_valid: Option<(Micros, u64)>,
    /// Whether the process released the lease itself.
    released: bool,
    /// Difference between the process's clock and the test's.
    ahead: Micros,
}

impl Holder {
    fn new(config: Config, process: usize, ahead: Micros) -> Self {
        let mut lease = Lease::new(config, "lease", process.to_string());
        let step = lease.tick(ahead);
        Self {
            lease,
            step,
            reply: None,
            last_valid: None,
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

    /// Performs the call at the table; the reply is received later.
    fn call(&mut self, table: &mut Table, fault: Fault) {
        if let (LeaseStep::Call(request), None) = (&self.step, &self.reply) {
            self.reply = Some(table.call(request.clone(), fault));
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

    /// Makes all steps that are possible now, with a table that answers.
    fn settle(&mut self, table: &mut Table, now: Micros) {
        self.tick(now);
        while matches!(self.step, LeaseStep::Call(_)) {
            self.call(table, Fault::None);
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

/// Guards against a holder that sends orders after a pause and overwrites the new holder's weights.
#[test]
fn paused_holder_loses_the_lease_before_another_acquires_it() {
    let (mut table, mut one, mut two) = pair(config(1, Micros::ZERO));
    one.settle(&mut table, s(0));
    two.settle(&mut table, s(0));
    assert_eq!(one.valid(s(0)), Some(1));
    // From now on the first process is paused.
    let mut lost = None;
    let mut won = None;
    for t in 0..30 {
        two.settle(&mut table, s(t));
        lost = lost.or((one.valid(s(t)).is_none()).then_some(t));
        won = won.or(two.valid(s(t)).map(|f| (t, f)));
    }
    let (lost, (won, fence)) = (lost.expect("lost"), won.expect("won"));
    assert!(lost < won, "lost at {lost} s, won at {won} s");
    assert_eq!(fence, 2, "a token above the paused holder's");
    one.settle(&mut table, s(30));
    assert_eq!(
        one.valid(s(30)),
        None,
        "it resumes and finds another holder"
    );
}

/// Guards against a late order of the old holder at an engine that ignores fencing tokens.
#[test]
fn new_holder_waits_out_the_old_ones_orders() {
    for (settle, what) in [
        (s(0), "checks fencing tokens"),
        (s(5), "ignores fencing tokens"),
    ] {
        let (mut table, mut one, mut two) = pair(config(1, settle));
        one.settle(&mut table, s(0));
        let mut won = None;
        let mut valid_at = None;
        for t in 0..40 {
            two.settle(&mut table, s(t));
            let holds = String::from_utf8_lossy(&table.value()).contains("\"who\":\"2\"");
            won = won.or(holds.then_some(t));
            valid_at = valid_at.or(two.valid(s(t)).map(|_| t));
        }
        let (won, valid_at) = (won.expect("won"), valid_at.expect("valid"));
        assert_eq!(s(valid_at - won), settle, "an engine that {what}");
    }
}

/// Guards against acting while orders of an evicted holder may still be in flight.
#[test]
fn orders_of_an_evicted_holder_are_waited_out_by_all_later_holders() {
    let set = config(1, s(5));
    let (mut table, mut one, mut two) = pair(set);
    let mut three = Holder::new(set, 3, s(50));
    one.settle(&mut table, s(0));
    let mut evicted = None;
    let mut valid_at = None;
    for t in 0..40 {
        two.settle(&mut table, s(t));
        let holds = String::from_utf8_lossy(&table.value()).contains("\"who\":\"2\"");
        if holds && evicted.is_none() {
            evicted = Some(t);
            two.lease.release();
        }
        three.settle(&mut table, s(t));
        valid_at = valid_at.or(three.valid(s(t)).map(|_| t));
    }
    let (evicted, valid_at) = (evicted.expect("evicted"), valid_at.expect("valid"));
    assert!(
        valid_at >= evicted + 5,
        "evicted at {evicted} s, another acts at {valid_at} s"
    );
}

/// Guards against more loads at a time than a pool has permits.
#[test]
fn permits_are_never_exceeded() {
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
        // Each holder finishes after some seconds.
        if let (0, Some(first)) = (t % 5, valid.first()) {
            all[*first].lease.release();
        }
    }
    assert_eq!(served.len(), 5, "each process held a permit");
}

/// Guards against a lease that is used after its term, or isn't acquired again.
#[test]
fn lease_expires_while_the_table_is_down() {
    struct Case {
        what: &'static str,
        fault: Fault,
    }
    let cases = [
        Case {
            what: "table down",
            fault: Fault::Rejected,
        },
        Case {
            what: "answers lost, no effect",
            fault: Fault::LostBefore,
        },
        Case {
            what: "answers lost after the effect",
            fault: Fault::LostAfter,
        },
        Case {
            what: "calls delivered late",
            fault: Fault::AppliedLate,
        },
    ];
    for c in cases {
        let (mut table, mut one, _) = pair(config(1, Micros::ZERO));
        one.settle(&mut table, s(0));
        assert_eq!(one.valid(s(0)), Some(1), "{}", c.what);
        for t in 0..20 {
            one.tick(s(t));
            one.call(&mut table, c.fault);
            one.receive(s(t));
            assert_eq!(one.valid(s(t)).is_some(), t < 8, "{} at {t} s", c.what);
        }
        for t in 20..24 {
            one.settle(&mut table, s(t));
        }
        assert_eq!(one.valid(s(24)), Some(1), "{}", c.what);
    }
}

/// Guards against a process that waits for its own entry in the row to expire after a lost answer.
#[test]
fn lost_answer_of_any_write_costs_a_round_only() {
    for lost in 0..6 {
        let (mut table, mut one, _) = pair(config(1, Micros::ZERO));
        let mut calls = 0;
        for t in 0..8 {
            one.tick(s(t));
            while matches!(one.step, LeaseStep::Call(_)) {
                let fault = if calls == lost {
                    Fault::LostAfter
                } else {
                    Fault::None
                };
                calls += 1;
                one.call(&mut table, fault);
                one.receive(s(t));
            }
        }
        assert_eq!(one.valid(s(7)), Some(1), "call {lost}");
        let row = String::from_utf8_lossy(&table.value()).into_owned();
        assert_eq!(row.matches("who").count(), 1, "call {lost}: {row}");
    }
}

/// Guards against a process that relies on an entry in the row which its earlier lease removes.
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

/// Guards against a released entry that stays in the row until it expires.
#[test]
fn released_lease_is_removed_from_the_row() {
    struct Case {
        what: &'static str,
        /// Whether the lease is released before its first write is answered.
        early: bool,
        fault: Fault,
    }
    #[rustfmt::skip]
    let cases = [
        Case { what: "held", early: false, fault: Fault::None },
        Case { what: "held, table down", early: false, fault: Fault::Rejected },
        Case { what: "held, answer lost before the effect", early: false, fault: Fault::LostBefore },
        Case { what: "held, answer lost after the effect", early: false, fault: Fault::LostAfter },
        Case { what: "first write in flight", early: true, fault: Fault::None },
    ];
    for c in cases {
        let (mut table, mut one, _) = pair(config(1, Micros::ZERO));
        one.call(&mut table, Fault::None);
        one.receive(s(0));
        one.call(&mut table, Fault::None);
        if c.early {
            one.lease.release();
        }
        one.receive(s(0));
        one.lease.release();
        for t in [2, 3] {
            one.tick(s(t));
            one.call(&mut table, Fault::None);
            one.receive(s(t));
            one.call(&mut table, if t == 2 { c.fault } else { Fault::None });
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

/// Guards against a lease that expires because a call without an answer is repeated too late.
#[test]
fn call_without_an_answer_is_repeated_soon() {
    for fault in [Fault::LostBefore, Fault::LostAfter] {
        let (mut table, mut one, _) = pair(config(1, Micros::ZERO));
        one.call(&mut table, Fault::None);
        one.receive(s(0));
        one.call(&mut table, fault);
        one.receive(s(0));
        assert_eq!(one.valid(s(0)), None);
        one.settle(&mut table, s(1));
        assert_eq!(one.valid(s(1)), Some(1), "{fault:?}");
    }
}

#[derive(Clone, Debug)]
enum Op {
    Pass(u64),
    Tick(usize),
    Call(usize, Fault),
    Receive(usize),
    Deliver(usize),
    Release(usize),
    /// All steps that are possible now, with a table that answers.
    Round(usize),
}

const CONTENDERS: usize = 3;

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (0..4_000_u64).prop_map(Op::Pass),
        6 => (0..CONTENDERS).prop_map(Op::Tick),
        6 => (0..CONTENDERS, Fault::any()).prop_map(|(i, f)| Op::Call(i, f)),
        6 => (0..CONTENDERS).prop_map(Op::Receive),
        1 => any::<usize>().prop_map(Op::Deliver),
        1 => (0..CONTENDERS).prop_map(Op::Release),
        8 => (0..CONTENDERS).prop_map(Op::Round),
    ]
}

/// Contenders for one row, checked after every step.
struct Contenders {
    config: Config,
    table: Table,
    all: Vec<Holder>,
    now: Micros,
}

impl Contenders {
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

    fn take(&mut self, op: Op) {
        match op {
            Op::Pass(ms) => self.now = self.now + Micros::from_millis(ms),
            Op::Tick(i) => self.all[i].tick(self.now),
            Op::Call(i, fault) => self.all[i].call(&mut self.table, fault),
            Op::Receive(i) => self.all[i].receive(self.now),
            Op::Deliver(which) => self.table.deliver(which),
            Op::Round(i) => {
                self.all[i].receive(self.now);
                self.all[i].settle(&mut self.table, self.now);
            }
            Op::Release(i) => {
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
            for (j, other) in ended.filter_map(|(j, h)| Some((j, h.last_valid?))) {
                let ((at, number), gone) = (other, self.all[j].released);
                let fresh = self.all[i].last_valid.is_none_or(|(_, f)| f != *fence);
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
            h.last_valid = fence.map(|f| (now, f)).or(h.last_valid);
        }
    }
}

proptest! {
    #![proptest_config(seeded(3_000))]

    /// Guards against too many holders at a time, decreasing fencing tokens, and orders sent before
    /// those of an evicted holder have ended, when calls are lost or late and holders are paused.
    #[test]
    fn holders_never_exceed_the_lease_size(
        size in 1..3_usize,
        settle in prop_oneof![Just(0_u64), Just(5)],
        ops in prop::collection::vec(op(), 1..300),
    ) {
        let mut contenders = Contenders::new(config(size, s(settle)));
        for op in ops {
            contenders.take(op);
            contenders.check();
        }
    }
}
