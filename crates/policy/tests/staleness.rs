//! Checks of followed tables in virtual time: changes are applied in time while held calls are silent, and
//! the number of checks doesn't grow with the number of processes.

use std::collections::VecDeque;

use model::{Micros, Position};
use policy::staleness::{Config, Report, Staleness};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const STEP: Micros = Micros::from_millis(5);
/// Time after the end of a fault from which the bounds hold.
const CONTACT: Micros = Micros::from_millis(3_000);
/// Time after a change within which it is in force.
const APPLY: Micros = Micros::from_millis(2_000);
/// Longest time for which the store holds a call.
const HOLD: Micros = Micros::from_millis(20_000);
/// Time limit of a check.
const CHECK_TIMEOUT: Micros = Micros::from_millis(1_500);
/// Age at which a copy is checked.
const MAX_AGE_SECONDS: f64 = 1.4;
/// Seeds for each case.
const SEEDS: u64 = 20;

/// Which processes a fault affects.
#[derive(Clone, Copy)]
enum Affected {
    None,
    First,
    Some,
    All,
}

impl Affected {
    fn contains(self, process: usize) -> bool {
        match self {
            Self::None => false,
            Self::First => process == 0,
            Self::Some => process.is_multiple_of(2),
            Self::All => true,
        }
    }
}

#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    processes: usize,
    /// Processes whose held calls are silent from the start of the fault on.
    silent: Affected,
    /// Processes to which the store gives no response during the fault.
    unserved: Affected,
    /// Duration of the fault.
    fault: Micros,
    /// Time from the start of the fault to the change.
    change_after: Micros,
    /// Fraction of datagrams lost.
    loss: f64,
    /// Time that the store takes for an answer.
    answer: Micros,
    /// Time after which a check fails that gets no answer or is refused.
    failure: Micros,
}

const CASE: Case = Case {
    name: "",
    processes: 13,
    silent: Affected::All,
    unserved: Affected::None,
    fault: Micros::ZERO,
    change_after: Micros::ZERO,
    loss: 0.0,
    answer: Micros::from_millis(5),
    failure: CHECK_TIMEOUT,
};

struct Process {
    staleness: Staleness,
    version: u64,
    held_until: Micros,
    silent: bool,
    /// Start of the check in progress, its end, and the version that it returns unless it fails.
    check: Option<(Micros, Micros, Option<u64>)>,
}

struct Datagram {
    at: Micros,
    to: usize,
    from: usize,
    version: u64,
    age: Micros,
    checked: bool,
    reply: bool,
}

struct Fleet {
    case: Case,
    rng: StdRng,
    now: Micros,
    version: u64,
    processes: Vec<Process>,
    datagrams: VecDeque<Datagram>,
    fault: Option<(Micros, Micros)>,
    checks: usize,
}

fn at(version: u64) -> Position {
    Position::new(1, version)
}

impl Fleet {
    fn new(case: Case, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let config = Config::default();
        let process = |n: usize, rng: &mut StdRng| Process {
            staleness: Staleness::new(config, n as u64 * 7 % 311, Micros::ZERO, rng.random()),
            version: 1,
            held_until: Micros(rng.random_range(0..HOLD.0)),
            silent: false,
            check: None,
        };
        let processes = (0..case.processes).map(|n| process(n, &mut rng));
        let processes = processes.collect();
        Self {
            case,
            rng,
            now: Micros::ZERO,
            version: 1,
            processes,
            datagrams: VecDeque::new(),
            fault: None,
            checks: 0,
        }
    }

    fn is_unserved(&self, process: usize) -> bool {
        let in_fault = self
            .fault
            .is_some_and(|(from, to)| from <= self.now && self.now < to);
        in_fault && self.case.unserved.contains(process)
    }

    fn start_fault(&mut self) {
        self.fault = Some((self.now, self.now + self.case.fault));
        let silent = self.case.silent;
        for (n, p) in self.processes.iter_mut().enumerate() {
            p.silent |= silent.contains(n);
        }
    }

    fn send(&mut self, from: usize, to: usize, reply: bool) {
        if self.rng.random::<f64>() < self.case.loss {
            return;
        }
        let p = &self.processes[from];
        self.datagrams.push_back(Datagram {
            at: self.now + STEP,
            to,
            from,
            version: p.version,
            age: p.staleness.age(self.now),
            checked: p.staleness.has_checked(),
            reply,
        });
    }

    fn announce(&mut self, from: usize) {
        for to in (0..self.processes.len()).filter(|to| *to != from) {
            self.send(from, to, false);
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        while self.datagrams.front().is_some_and(|d| d.at <= self.now) {
            let Some(d) = self.datagrams.pop_front() else {
                break;
            };
            let draw = self.rng.random();
            let rank = d.from as u64 * 7 % 311;
            let (position, age) = (at(d.version), d.age);
            let p = &mut self.processes[d.to];
            let report = Report {
                position,
                age,
                rank,
                checked: d.checked,
            };
            p.staleness.receive(self.now, at(p.version), report, draw);
            if d.version < p.version && !d.reply {
                self.send(d.to, d.from, true);
            }
        }
        for n in 0..self.processes.len() {
            if self.advance(n) {
                self.announce(n);
            }
        }
    }

    /// Advances a process; returns whether it sends its positions.
    fn advance(&mut self, n: usize) -> bool {
        let (now, newest) = (self.now, self.version);
        let (answer, failure) = (self.case.answer, self.case.failure);
        let unserved = self.is_unserved(n);
        let p = &mut self.processes[n];
        let delivered = !p.silent && !unserved;
        if delivered && (p.version < newest || now >= p.held_until) {
            p.version = newest;
            p.held_until = now + HOLD;
            p.staleness.call(now);
            return p.staleness.confirm(now, at(newest));
        }
        match p.check {
            Some((started, end, result)) if end <= now => {
                p.check = None;
                let Some(version) = result else {
                    p.staleness.failed(started);
                    return false;
                };
                // The new connection takes the place of the silent one.
                p.silent &= version == p.version;
                p.version = p.version.max(version);
                p.staleness.checked(started, at(p.version))
            }
            None if p.staleness.next_check().is_some_and(|at| at <= now) => {
                p.check = Some(match unserved {
                    true => (now, now + failure, None),
                    false => (now, now + answer, Some(newest)),
                });
                self.checks += 1;
                false
            }
            _ => false,
        }
    }

    fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }
}

#[test]
fn change_is_applied_in_time_while_held_calls_are_silent() {
    // Guards against a copy that stays old until a silent call ends.
    let ms = Micros::from_millis;
    let cases = [
        Case {
            name: "one",
            silent: Affected::First,
            ..CASE
        },
        Case {
            name: "some",
            silent: Affected::Some,
            ..CASE
        },
        Case {
            name: "all",
            ..CASE
        },
        Case {
            name: "all, late",
            change_after: ms(4_000),
            ..CASE
        },
        Case {
            name: "all, later",
            change_after: ms(9_100),
            ..CASE
        },
        Case {
            name: "a single process",
            processes: 1,
            change_after: ms(4_000),
            ..CASE
        },
        Case {
            name: "two processes",
            processes: 2,
            change_after: ms(4_000),
            ..CASE
        },
        Case {
            name: "thirty",
            processes: 30,
            change_after: ms(4_000),
            ..CASE
        },
        Case {
            name: "three hundred",
            processes: 300,
            change_after: ms(4_000),
            ..CASE
        },
        Case {
            name: "lost datagrams",
            loss: 0.3,
            change_after: ms(4_000),
            ..CASE
        },
        Case {
            name: "no datagrams",
            loss: 1.0,
            change_after: ms(4_000),
            ..CASE
        },
        Case {
            name: "no response to one",
            silent: Affected::First,
            unserved: Affected::First,
            fault: ms(7_000),
            change_after: ms(1_000),
            ..CASE
        },
        Case {
            name: "no response to some",
            silent: Affected::Some,
            unserved: Affected::Some,
            fault: ms(7_000),
            change_after: ms(1_000),
            ..CASE
        },
        Case {
            name: "no response",
            unserved: Affected::All,
            fault: ms(7_000),
            change_after: ms(1_000),
            ..CASE
        },
        Case {
            name: "no response, long",
            unserved: Affected::All,
            fault: ms(61_000),
            change_after: ms(1_000),
            ..CASE
        },
        Case {
            name: "no response, short",
            unserved: Affected::All,
            fault: ms(400),
            change_after: ms(1_000),
            ..CASE
        },
        Case {
            name: "no response and no datagrams",
            unserved: Affected::All,
            fault: ms(7_000),
            change_after: ms(6_900),
            loss: 1.0,
            ..CASE
        },
    ];
    for case in cases {
        for seed in 0..SEEDS {
            let mut fleet = Fleet::new(case, seed);
            fleet.run(ms(5_000) + Micros(seed * 130_000));
            let fault = fleet.now;
            fleet.start_fault();
            fleet.run(case.change_after);
            let changed = fleet.now;
            fleet.version = 2;
            let bound = (fault + case.fault + CONTACT).max(changed + APPLY);
            fleet.run(bound.since(fleet.now));
            let old = fleet.processes.iter().filter(|p| p.version < 2).count();
            assert_eq!(old, 0, "{}, seed {seed}: {old} copies are old", case.name);
        }
    }
}

#[test]
fn number_of_checks_does_not_grow_with_the_number_of_processes() {
    // Guards against checks by every process, which the store's call rate doesn't bear.
    let slow = Micros::from_millis(240);
    let cases = [
        Case {
            name: "one",
            processes: 1,
            ..CASE
        },
        Case {
            name: "thirteen",
            ..CASE
        },
        Case {
            name: "thirty",
            processes: 30,
            ..CASE
        },
        Case {
            name: "three hundred",
            processes: 300,
            ..CASE
        },
        Case {
            name: "lost datagrams",
            processes: 30,
            loss: 0.025,
            ..CASE
        },
        Case {
            name: "a slow store",
            answer: slow,
            ..CASE
        },
    ];
    for case in cases {
        let mut fleet = Fleet::new(
            Case {
                silent: Affected::None,
                ..case
            },
            1,
        );
        // All processes start at the same time, before any of them has checked.
        fleet.run(Micros::from_secs(5));
        fleet.checks = 0;
        let seconds = 120;
        fleet.run(Micros::from_secs(seconds));
        let rate = fleet.checks as f64 / seconds as f64;
        // One process checks a copy at that age, and so does each one that missed the confirmation.
        let missed = case.loss * case.processes as f64;
        let allowed = (1.0 + missed) / MAX_AGE_SECONDS;
        let name = case.name;
        assert!(
            rate <= allowed,
            "{name}: {rate:.2} checks a second of {allowed:.2}"
        );
    }
}

#[test]
fn store_that_refuses_all_processes_is_checked_rarely() {
    // Guards against processes that call a store in trouble again and again.
    let seconds = 20;
    let case = Case {
        unserved: Affected::All,
        fault: Micros::from_secs(seconds),
        failure: Micros::from_millis(5),
        ..CASE
    };
    let mut fleet = Fleet::new(case, 1);
    fleet.run(Micros::from_secs(5));
    fleet.checks = 0;
    fleet.start_fault();
    fleet.run(Micros::from_secs(seconds));
    let allowed = case.processes as u64 * seconds / 2;
    let checks = fleet.checks;
    assert!(checks as u64 <= allowed, "{checks} of {allowed} checks");
}
