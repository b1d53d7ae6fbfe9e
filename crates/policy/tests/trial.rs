//! Simulation in virtual time of a pool that receives a request which crashes every engine that runs it.

use std::collections::BTreeMap;

use model::{Incarnation, MemberId, Micros};
use policy::contact::Query;
use policy::pool_peers::PoolPeers;
use policy::quarantine::{Config, Crash, Fingerprint, Quarantine, Verdict};
use policy::trial::{Claim, Trials};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Step of virtual time, in ms.
const TICK: u64 = 5;
/// Maximum duration of a simulation, in ms.
const END: u64 = 20_000;
/// Maximum number of sidecars in an answer.
const MAX_REPORTED: usize = 8;
const FINGERPRINT: Fingerprint = Fingerprint {
    body: 7,
    weights: 0,
};

fn ms(n: u64) -> Micros {
    Micros::from_millis(10_000 + n)
}

/// A pool and the requests and faults that reach it. Times are in ms.
#[derive(Clone, Debug)]
struct Scenario {
    engines: usize,
    /// Number of copies of the request, each through a different entry.
    copies: usize,
    /// Time within which the copies arrive.
    arrival_spread: u64,
    /// Maximum time from the start of a run to its crash.
    crash_after: u64,
    /// Maximum time from a crash to its detection.
    detect_after: u64,
    /// Fraction of datagrams that are lost.
    loss_rate: f64,
    /// Maximum delay of a datagram.
    max_delay: u64,
    /// Maximum pause of a sidecar.
    max_pause: u64,
    /// Probability per second that a sidecar is paused.
    pause_rate: f64,
    /// Number of listed sidecars that don't exist.
    dead: usize,
    /// Fraction of the other sidecars that a sidecar doesn't list.
    unlisted_rate: f64,
    /// Fraction of the sidecars that an entry doesn't list for the sidecar that it sends to.
    unlisted_by_entry: f64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            engines: 6,
            copies: 2,
            arrival_spread: 1,
            crash_after: 30,
            detect_after: 200,
            loss_rate: 0.0,
            max_delay: 5,
            max_pause: 0,
            pause_rate: 0.0,
            dead: 0,
            unlisted_rate: 0.0,
            unlisted_by_entry: 0.0,
        }
    }
}

/// A copy of the request.
#[derive(Clone, Debug)]
struct RequestCopy {
    /// Crashes that the copy's entry has recorded.
    crashes: Vec<Crash>,
    /// Sidecar that the copy was sent to.
    sidecar: usize,
    /// When the copy arrives there.
    arrives_at: u64,
    /// Sidecars that the copy's entry lists.
    listed: Vec<usize>,
    done: bool,
}

/// A run of a copy of the request.
#[derive(Clone, Copy, Debug)]
struct Run {
    copy: usize,
    /// When the engine crashes.
    crashes_at: u64,
    /// When the sidecar detects the crash.
    detected_at: u64,
}

#[derive(Clone, Debug)]
struct Datagram {
    from: usize,
    query: Query,
    claim: Claim,
    crashes: Vec<Crash>,
    /// Sidecars that the sender has listed last.
    newest: Vec<usize>,
    /// Whether the sender runs the request or outranks the claim; `None` in a query.
    busy: Option<bool>,
}

#[derive(Debug)]
struct Node {
    trials: Trials<usize>,
    peers: PoolPeers<usize, ()>,
    quarantine: Quarantine,
    run: Option<Run>,
    crashed: bool,
    paused_until: u64,
    inbox: Vec<Datagram>,
}

struct Sim<'a> {
    scenario: &'a Scenario,
    rng: StdRng,
    nodes: Vec<Node>,
    copies: Vec<RequestCopy>,
    /// Datagrams on their way, by time of arrival and sequence number.
    in_flight: BTreeMap<(u64, u64), (usize, Datagram)>,
    /// Number of datagrams sent.
    sequence: u64,
    /// Number of runs that started before their sidecar had recorded any crash.
    unsuspected_runs: usize,
    crashes: usize,
}

impl<'a> Sim<'a> {
    fn new(scenario: &'a Scenario, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut nodes = Vec::new();
        for i in 0..scenario.engines {
            let listed = list(scenario, scenario.unlisted_rate, &mut rng);
            let mut node = Node {
                trials: Trials::default(),
                peers: PoolPeers::default(),
                quarantine: Quarantine::new(Config::default()),
                run: None,
                crashed: false,
                paused_until: 0,
                inbox: Vec::new(),
            };
            let others = listed.into_iter().filter(|p| *p != i);
            node.peers.set_listed(others.map(|p| (p, ())));
            nodes.push(node);
        }
        let copy = |n| RequestCopy {
            crashes: Vec::new(),
            sidecar: n % scenario.engines,
            arrives_at: rng.random_range(0..scenario.arrival_spread),
            listed: list(scenario, scenario.unlisted_by_entry, &mut rng),
            done: false,
        };
        Self {
            copies: (0..scenario.copies).map(copy).collect(),
            nodes,
            scenario,
            rng,
            in_flight: BTreeMap::new(),
            sequence: 0,
            unsuspected_runs: 0,
            crashes: 0,
        }
    }

    fn send(&mut self, now: u64, to: usize, datagram: Datagram) {
        if to >= self.nodes.len() || self.rng.random_bool(self.scenario.loss_rate) {
            return;
        }
        let at = now + self.rng.random_range(1..=self.scenario.max_delay);
        self.sequence += 1;
        self.in_flight.insert((at, self.sequence), (to, datagram));
    }

    fn recorded_crashes(&self, now: u64, i: usize) -> Vec<Crash> {
        let crashes = self.nodes[i].quarantine.crashes(ms(now), FINGERPRINT);
        crashes.map_or_else(Vec::new, |(c, _)| c.to_vec())
    }

    fn receive(&mut self, now: u64, i: usize) {
        for d in std::mem::take(&mut self.nodes[i].inbox) {
            let n = &mut self.nodes[i];
            for c in &d.crashes {
                n.quarantine.strike(ms(now), FINGERPRINT, *c);
            }
            if let Some(busy) = d.busy {
                report(n, now, i, &d.newest);
                n.trials
                    .answered(ms(now), d.from, d.query, FINGERPRINT, busy);
                continue;
            }
            n.trials.receive(ms(now), d.from, d.claim);
            let busy = n.run.is_some() || n.trials.outranks(d.claim);
            let answer = Datagram {
                from: i,
                crashes: self.recorded_crashes(now, i),
                newest: self.nodes[i]
                    .peers
                    .newest(MAX_REPORTED)
                    .into_iter()
                    .map(|(p, ())| p)
                    .collect(),
                busy: Some(busy),
                ..d
            };
            self.send(now, d.from, answer);
        }
    }

    /// Crashes an engine at the time set for its run. Once the crash is detected, sends the copy elsewhere.
    fn crash_engine(&mut self, now: u64, i: usize) {
        let Some(run) = self.nodes[i].run else { return };
        if now >= run.crashes_at && !self.nodes[i].crashed {
            self.nodes[i].crashed = true;
            self.crashes += 1;
        }
        if now < run.detected_at {
            return;
        }
        let crash = Crash {
            member: MemberId(i as u64),
            incarnation: Incarnation(1),
        };
        let n = &mut self.nodes[i];
        n.run = None;
        n.quarantine.strike(ms(now), FINGERPRINT, crash);
        self.copies[run.copy].crashes.push(crash);
        self.send_elsewhere(now, run.copy);
    }

    /// Sends a copy to another live engine, unless two crashes are recorded for it.
    fn send_elsewhere(&mut self, now: u64, copy: usize) {
        let live: Vec<_> = (0..self.nodes.len())
            .filter(|i| !self.nodes[*i].crashed)
            .collect();
        let c = &mut self.copies[copy];
        c.done = c.crashes.len() >= 2 || live.is_empty();
        if !c.done {
            c.sidecar = live[self.rng.random_range(0..live.len())];
            c.arrives_at = now + 2;
        }
    }

    /// Starts the copies at a sidecar that may run, and queries the other sidecars about the rest.
    fn start_runs(&mut self, now: u64, i: usize) {
        let here = |c: &RequestCopy| !c.done && c.sidecar == i && c.arrives_at <= now;
        for copy in 0..self.copies.len() {
            let running = self.nodes.iter().filter_map(|n| n.run);
            if !here(&self.copies[copy]) || running.into_iter().any(|r| r.copy == copy) {
                continue;
            }
            report(&mut self.nodes[i], now, i, &self.copies[copy].listed);
            let quarantine = &mut self.nodes[i].quarantine;
            for crash in &self.copies[copy].crashes {
                quarantine.strike(ms(now), FINGERPRINT, *crash);
            }
            let verdict = quarantine.verdict(ms(now), FINGERPRINT);
            if verdict == Verdict::Convicted {
                self.copies[copy].done = true;
                continue;
            }
            let (crash_after, detect_after) =
                (self.scenario.crash_after, self.scenario.detect_after);
            let n = &mut self.nodes[i];
            if n.crashed {
                self.send_elsewhere(now, copy);
                continue;
            }
            if verdict == Verdict::Suspect {
                n.trials.claim(ms(now), FINGERPRINT, self.rng.random());
                let peers = n.peers.keys();
                if n.run.is_some() || !n.trials.may_run(ms(now), FINGERPRINT, &peers) {
                    continue;
                }
            } else {
                self.unsuspected_runs += 1;
            }
            n.trials.retain(|_| false);
            let crashes_at = now + self.rng.random_range(1..=crash_after);
            n.run = Some(Run {
                copy,
                crashes_at,
                detected_at: crashes_at + self.rng.random_range(1..=detect_after),
            });
        }
        let any_waiting = self.copies.iter().any(here);
        let n = &mut self.nodes[i];
        n.trials.retain(|_| any_waiting);
        if let Some(step) = n.trials.step(ms(now), &n.peers.keys()) {
            let datagram = Datagram {
                from: i,
                query: step.query,
                claim: step.claims[0],
                crashes: self.recorded_crashes(now, i),
                newest: Vec::new(),
                busy: None,
            };
            step.peers
                .into_iter()
                .for_each(|to| self.send(now, to, datagram.clone()));
        }
    }

    /// Returns the number of engines that crashed, of runs that started before their sidecar had recorded a
    /// crash, and of unfinished copies.
    fn run(mut self) -> (usize, usize, usize) {
        for now in (0..END).step_by(TICK as usize) {
            while let Some(entry) = self.in_flight.first_entry().filter(|e| e.key().0 <= now) {
                let (to, datagram) = entry.remove();
                self.nodes[to].inbox.push(datagram);
            }
            for i in 0..self.nodes.len() {
                let probability = self.scenario.pause_rate * TICK as f64 / 1_000.0;
                if self.scenario.max_pause > 0 && self.rng.random_bool(probability) {
                    self.nodes[i].paused_until =
                        now + self.rng.random_range(1..=self.scenario.max_pause);
                }
                if now < self.nodes[i].paused_until {
                    continue;
                }
                // A process that resumes after a pause decides before it reads waiting datagrams.
                self.start_runs(now, i);
                self.receive(now, i);
                self.crash_engine(now, i);
                self.start_runs(now, i);
            }
            let runs = self.nodes.iter().any(|n| n.run.is_some());
            if !runs && self.copies.iter().all(|c| c.done) {
                break;
            }
        }
        let waiting = self.copies.iter().filter(|c| !c.done).count();
        (self.crashes, self.unsuspected_runs, waiting)
    }
}

/// Sidecars that a process lists if it lacks this fraction of them.
fn list(scenario: &Scenario, unlisted_rate: f64, rng: &mut StdRng) -> Vec<usize> {
    let all = 0..scenario.engines + scenario.dead;
    // A complete list uses no random numbers.
    all.filter(|_| unlisted_rate == 0.0 || !rng.random_bool(unlisted_rate))
        .collect()
}

/// Records the sidecars that another process lists.
fn report(node: &mut Node, now: u64, i: usize, listed: &[usize]) {
    for p in listed.iter().filter(|p| **p != i) {
        node.peers.report(ms(now), *p, ());
    }
}

struct Case {
    name: &'static str,
    scenario: Scenario,
}

/// Guards against further crashes when several entries send a request to other engines without having received
/// one another's crashes.
#[test]
fn request_through_several_entries_crashes_no_engine_after_the_second_crash() {
    let base = Scenario::default;
    #[rustfmt::skip]
    let cases = [
        Case { name: "two at once", scenario: base() },
        Case { name: "two, one after the other", scenario: Scenario { arrival_spread: 400, ..base() } },
        Case { name: "four at once", scenario: Scenario { copies: 4, engines: 9, ..base() } },
        Case { name: "six within a second", scenario: Scenario { copies: 6, engines: 12, arrival_spread: 1_000, ..base() } },
        Case { name: "crashes are detected at once", scenario: Scenario { detect_after: 1, ..base() } },
        Case { name: "runs last long", scenario: Scenario { crash_after: 1_500, arrival_spread: 500, ..base() } },
        Case { name: "datagrams are lost", scenario: Scenario { loss_rate: 0.1, copies: 4, engines: 9, arrival_spread: 300, ..base() } },
        Case { name: "datagrams are delayed and reordered", scenario: Scenario { max_delay: 60, copies: 4, engines: 9, arrival_spread: 300, ..base() } },
        Case { name: "a dead sidecar is listed", scenario: Scenario { dead: 2, copies: 3, arrival_spread: 300, ..base() } },
        Case { name: "sidecars are paused briefly", scenario: Scenario { max_pause: 300, pause_rate: 0.5, copies: 4, engines: 9, arrival_spread: 300, ..base() } },
        Case { name: "sidecars list half of the others", scenario: Scenario { unlisted_rate: 0.5, copies: 4, engines: 9, arrival_spread: 300, ..base() } },
        Case { name: "sidecars list no other yet", scenario: Scenario { unlisted_rate: 1.0, copies: 3, arrival_spread: 300, ..base() } },
        Case { name: "entries list no sidecar, sidecars most of the others", scenario: Scenario { unlisted_rate: 0.2, unlisted_by_entry: 1.0, copies: 4, engines: 9, arrival_spread: 300, ..base() } },
        Case { name: "many engines", scenario: Scenario { engines: 100, copies: 8, arrival_spread: 200, ..base() } },
    ];
    let seeds = std::env::var("TRIAL_SEEDS").ok();
    let seeds = seeds.and_then(|s| s.parse().ok());
    for c in cases {
        for seed in 0..seeds.unwrap_or(40) {
            let (crashes, unsuspected, waiting) = Sim::new(&c.scenario, seed).run();
            let most = unsuspected.max(2);
            assert!(
                crashes <= most,
                "{}, seed {seed}: {crashes} crashes for {most}",
                c.name
            );
            assert_eq!(waiting, 0, "{}, seed {seed}: unfinished copies", c.name);
        }
    }
}

/// Guards against a second run of a suspect while a sidecar that claimed the first one is paused and its run may
/// still crash its target.
#[test]
fn paused_sidecar_loses_its_claim_while_its_run_may_crash() {
    const PEER: u64 = 1;
    /// Time after which a run no longer crashes its target at the start, in ms.
    const CRASH_AGE: u64 = 2_000;
    let mut trials: Trials<u64> = Trials::default();
    let claim = Claim {
        fingerprint: FINGERPRINT,
        rank: 1,
    };
    trials.receive(ms(0), PEER, claim);
    trials.claim(ms(10), FINGERPRINT, 2);
    let run = (10..10_000).step_by(10).find(|now| {
        trials.step(ms(*now), &[PEER]);
        trials.may_run(ms(*now), FINGERPRINT, &[PEER])
    });
    let run = run.expect("a dead sidecar is skipped");
    assert!(run >= CRASH_AGE, "runs {run} ms after the peer's claim");
}
