//! Permits whose holders are silent while their work runs, in virtual time.

mod common;

use common::{Fault, Table};
use contract::lease::{Config, Work};
use contract::{Lease, LeaseStep};
use model::Micros;

/// Step of virtual time, in ms.
const TICK: u64 = 100;
/// End of every run, in ms.
const DEADLINE: u64 = 1_000_000;
/// Time within which a permit is free again after its holder has died without work, in ms: a term, and the
/// interval between two reads of the row before and after it.
const DEAD_HOLDER_MS: u64 = 14_000;

/// What happens to the first process that starts work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    /// It is paused for a time, in ms.
    Paused(u64),
    /// It is killed for good, and its engine continues.
    Killed,
    /// It is killed for good before its engine receives the order, and the engine can't be reached.
    KilledBeforeOrder,
    /// It is killed for good, and its engine exits.
    EngineExited,
    /// It and its engine can't be reached for good.
    HostLost,
}

/// One process and its engine. Times are in ms.
struct Process {
    lease: Lease,
    step: LeaseStep,
    /// Time up to which the process is paused.
    paused: u64,
    /// Start and end of the engine's load.
    load: Option<(u64, u64)>,
    /// Whether processes can reach the engine.
    reachable: bool,
    /// Whether the process can reach the engines of others.
    connected: bool,
}

struct Pool {
    table: Table,
    processes: Vec<Process>,
    load_time: u64,
}

fn ms(n: u64) -> Micros {
    Micros::from_millis(n)
}

impl Pool {
    fn new(processes: usize, permits: usize, load_time: u64) -> Self {
        let config = Config {
            size: permits,
            ..Config::default()
        };
        let process = |i: usize| {
            let mut lease = Lease::new(config, "permit", i.to_string());
            let step = lease.tick(Micros::ZERO);
            Process {
                lease,
                step,
                paused: 0,
                load: None,
                reachable: true,
                connected: true,
            }
        };
        Self {
            table: Table::default(),
            processes: (0..processes).map(process).collect(),
            load_time,
        }
    }

    fn loads_at(&self, now: u64) -> usize {
        let loads = self.processes.iter().filter_map(|p| p.load);
        loads
            .filter(|(start, end)| (*start..*end).contains(&now))
            .count()
    }

    /// Result of a check of the engine of process `place` by process `from`.
    fn check(&self, now: u64, from: usize, place: &str) -> Work {
        let place: usize = place.parse().expect("the number of a process");
        let engine = &self.processes[place];
        match engine.load {
            _ if !engine.reachable || !self.processes[from].connected => Work::Unknown,
            Some((start, end)) if (start..end).contains(&now) => Work::Running,
            _ => Work::Ended,
        }
    }

    /// Makes all steps of a process that are possible now. Returns whether its engine starts to load.
    fn advance(&mut self, now: u64, i: usize) -> bool {
        if now < self.processes[i].paused {
            return false;
        }
        let at = ms(now);
        loop {
            let step = self.processes[i].step.clone();
            let next = match step {
                LeaseStep::Call(request) => {
                    let reply = self.table.call(request, Fault::None);
                    self.processes[i].lease.step(at, reply)
                }
                LeaseStep::Check(place) => {
                    let work = self.check(now, i, &place);
                    self.processes[i].lease.checked(at, work)
                }
                LeaseStep::Sleep(until)
                    if until <= at && !self.processes[i].lease.is_released() =>
                {
                    self.processes[i].lease.tick(at)
                }
                LeaseStep::Sleep(_) => break,
            };
            self.processes[i].step = next;
        }
        self.work(now, i)
    }

    fn work(&mut self, now: u64, i: usize) -> bool {
        let at = ms(now);
        let load_time = self.load_time;
        let p = &mut self.processes[i];
        match p.load {
            None if p.lease.may_work(at) => {
                p.load = Some((now, now + load_time));
                return true;
            }
            None if p.lease.valid(at).is_some() => {
                p.lease.start_work(at, i.to_string());
                p.step = p.lease.tick(at);
            }
            Some((_, end)) if now >= end && p.lease.valid(at).is_some() => {
                p.lease.end_work(at);
                p.lease.release();
                p.step = p.lease.tick(at);
            }
            _ => {}
        }
        false
    }

    fn apply(&mut self, now: u64, i: usize, event: Event) {
        let p = &mut self.processes[i];
        p.paused = match event {
            Event::Paused(time) => now + time,
            _ => u64::MAX,
        };
        match event {
            Event::EngineExited => p.load = p.load.map(|(start, _)| (start, now)),
            Event::KilledBeforeOrder => (p.load, p.reachable) = (Some((now, now)), false),
            Event::HostLost => p.reachable = false,
            Event::Paused(_) | Event::Killed => {}
        }
    }
}

/// What a run showed. Times are in ms.
#[derive(Debug)]
struct Run {
    /// Maximum number of loads at a time.
    most: usize,
    /// Starts of all loads.
    starts: Vec<u64>,
}

struct Case {
    name: &'static str,
    processes: usize,
    permits: usize,
    load_time: u64,
    /// Number of loads that start before the event.
    before: usize,
    event: Event,
    /// Process that can't reach other engines.
    disconnected: Option<usize>,
    /// Longest time from the end of the first affected load, or from the event if the process does no work, to the
    /// next load.
    max_wait: u64,
}

impl Case {
    fn run(&self) -> (Run, u64) {
        let mut pool = Pool::new(self.processes, self.permits, self.load_time);
        if let Some(i) = self.disconnected {
            pool.processes[i].connected = false;
        }
        let mut run = Run {
            most: 0,
            starts: Vec::new(),
        };
        let mut free_at = None;
        for now in (0..DEADLINE).step_by(TICK as usize) {
            for i in 0..self.processes {
                if !pool.advance(now, i) {
                    continue;
                }
                run.starts.push(now);
                if run.starts.len() == self.before + 1 {
                    pool.apply(now, i, self.event);
                    let end = pool.processes[i].load.map_or(now, |(_, end)| end);
                    free_at = Some(end);
                }
            }
            run.most = run.most.max(pool.loads_at(now));
        }
        (run, free_at.expect("a load starts"))
    }
}

/// Guards against a permit that ends before the load that it was taken for, or that outlives it for long.
#[test]
fn permit_ends_before_its_load_or_long_after_it() {
    let base = Case {
        name: "",
        processes: 3,
        permits: 1,
        load_time: 16_000,
        before: 0,
        event: Event::Killed,
        disconnected: None,
        max_wait: DEAD_HOLDER_MS,
    };
    #[rustfmt::skip]
    let cases = [
        Case { name: "paused", event: Event::Paused(60_000), ..base },
        Case { name: "paused for a part of the load", event: Event::Paused(12_000), ..base },
        Case { name: "killed", ..base },
        Case { name: "killed, load of 5 min", load_time: 300_000, ..base },
        Case { name: "paused, load of 5 min", load_time: 300_000, event: Event::Paused(200_000), ..base },
        Case { name: "killed, two permits", processes: 5, permits: 2, ..base },
        Case { name: "paused, two permits, load of 5 min", processes: 4, permits: 2, load_time: 300_000, event: Event::Paused(400_000), ..base },
        Case { name: "engine exited", event: Event::EngineExited, ..base },
        Case { name: "killed before the order, host lost", event: Event::KilledBeforeOrder, max_wait: 180_000 + DEAD_HOLDER_MS, ..base },
        Case { name: "host lost, no load known", event: Event::HostLost, max_wait: 180_000 + DEAD_HOLDER_MS, ..base },
        Case { name: "host lost after a load", event: Event::HostLost, before: 1, max_wait: 2 * 16_000 + DEAD_HOLDER_MS, ..base },
        Case { name: "one contender can't reach the engine", disconnected: Some(1), ..base },
        Case { name: "one contender can't reach the engine, load of 5 min", disconnected: Some(2), load_time: 300_000, ..base },
    ];
    let broken = cases.iter().filter_map(|c| {
        let (run, free_at) = c.run();
        let next = run.starts.get(c.before + c.permits).copied();
        println!("{}: free at {free_at}, {run:?}", c.name);
        let in_time = next.is_some_and(|at| at <= free_at + c.max_wait);
        let is_kept = run.most <= c.permits && run.starts.len() == c.processes && in_time;
        (!is_kept).then(|| format!("{}: free at {free_at}, next {next:?}, {run:?}", c.name))
    });
    let broken: Vec<_> = broken.collect();
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Guards against a holder without work that blocks the permit for longer than a term.
#[test]
fn dead_holder_without_work_blocks_the_permit() {
    let mut pool = Pool::new(2, 1, 1_000);
    pool.processes[0].reachable = false;
    // The first process has a permit and is killed before it starts work.
    for _ in 0..3 {
        let p = &mut pool.processes[0];
        if let LeaseStep::Call(request) = p.step.clone() {
            let reply = pool.table.call(request, Fault::None);
            p.step = p.lease.step(Micros::ZERO, reply);
        }
    }
    assert!(pool.processes[0].lease.valid(Micros::ZERO).is_some());
    let mut times = (0..60_000).step_by(TICK as usize);
    let start = times.find(|now| pool.advance(*now, 1));
    assert!(start.is_some_and(|at| at <= DEAD_HOLDER_MS), "{start:?} ms");
}
