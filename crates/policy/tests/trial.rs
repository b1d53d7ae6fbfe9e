//! A pool in virtual time before which one request crashes every engine that runs it.

use std::collections::BTreeMap;

use model::{Incarnation, MemberId, Micros};
use policy::contact::Query;
use policy::quarantine::{Config, Crash, Fingerprint, Quarantine, Verdict};
use policy::trial::{Claim, Trials};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Step of virtual time, ms.
const TICK: u64 = 5;
/// End of a play, ms.
const END: u64 = 20_000;
const PRINT: Fingerprint = Fingerprint {
    body: 7,
    weights: 0,
};

fn ms(n: u64) -> Micros {
    Micros::from_millis(10_000 + n)
}

/// A pool and what happens to it.
#[derive(Clone, Debug)]
struct Play {
    engines: usize,
    /// Copies of the request, each through an entry of its own, and time within which they come.
    copies: usize,
    within: u64,
    /// Longest time from the beginning of a run to its crash, and from there until that is known.
    crash: u64,
    known: u64,
    /// Part of the datagrams that are lost, and longest delay of the others.
    loss: f64,
    delay: u64,
    /// Longest pause of a sidecar, and chance a second of one.
    pause: u64,
    pauses: f64,
    /// Sidecars that are listed and don't exist.
    dead: usize,
}

impl Default for Play {
    fn default() -> Self {
        Self {
            engines: 6,
            copies: 2,
            within: 1,
            crash: 30,
            known: 200,
            loss: 0.0,
            delay: 5,
            pause: 0,
            pauses: 0.0,
            dead: 0,
        }
    }
}

/// A copy of the request.
#[derive(Clone, Debug)]
struct Copy {
    /// Crashes that its entry knows of.
    crashes: Vec<Crash>,
    /// Sidecar where it is, and when it arrives there.
    at: usize,
    from: u64,
    done: bool,
}

/// A run: when its engine crashes, and when that is known.
#[derive(Clone, Copy, Debug)]
struct Run {
    copy: usize,
    crash: u64,
    known: u64,
}

#[derive(Clone, Debug)]
struct Datagram {
    from: usize,
    ask: Query,
    claim: Claim,
    crashes: Vec<Crash>,
    /// Whether the request is busy there; none in an ask.
    busy: Option<bool>,
}

#[derive(Debug)]
struct Node {
    trials: Trials<usize>,
    quarantine: Quarantine,
    run: Option<Run>,
    crashed: bool,
    paused: u64,
    inbox: Vec<Datagram>,
}

struct Sim<'a> {
    play: &'a Play,
    rng: StdRng,
    nodes: Vec<Node>,
    copies: Vec<Copy>,
    wire: BTreeMap<(u64, u64), (usize, Datagram)>,
    sent: u64,
    /// Runs that began before their sidecar knew of any crash.
    clear: usize,
    crashes: usize,
}

impl<'a> Sim<'a> {
    fn new(play: &'a Play, seed: u64) -> Self {
        let node = |_| Node {
            trials: Trials::default(),
            quarantine: Quarantine::new(Config::default()),
            run: None,
            crashed: false,
            paused: 0,
            inbox: Vec::new(),
        };
        let mut rng = StdRng::seed_from_u64(seed);
        let copy = |n| Copy {
            crashes: Vec::new(),
            at: n % play.engines,
            from: rng.random_range(0..play.within),
            done: false,
        };
        Self {
            copies: (0..play.copies).map(copy).collect(),
            nodes: (0..play.engines).map(node).collect(),
            play,
            rng,
            wire: BTreeMap::new(),
            sent: 0,
            clear: 0,
            crashes: 0,
        }
    }

    fn send(&mut self, now: u64, to: usize, datagram: Datagram) {
        if to >= self.nodes.len() || self.rng.random_bool(self.play.loss) {
            return;
        }
        let at = now + self.rng.random_range(1..=self.play.delay);
        self.sent += 1;
        self.wire.insert((at, self.sent), (to, datagram));
    }

    fn known(&self, now: u64, i: usize) -> Vec<Crash> {
        let crashes = self.nodes[i].quarantine.crashes(ms(now), PRINT);
        crashes.map_or_else(Vec::new, |(c, _)| c.to_vec())
    }

    fn receive(&mut self, now: u64, i: usize) {
        for d in std::mem::take(&mut self.nodes[i].inbox) {
            let n = &mut self.nodes[i];
            for c in &d.crashes {
                n.quarantine.strike(ms(now), PRINT, *c);
            }
            if let Some(busy) = d.busy {
                n.trials.answered(ms(now), d.from, d.ask, PRINT, busy);
                continue;
            }
            n.trials.receive(ms(now), d.from, d.claim);
            let busy = n.run.is_some() || n.trials.outranks(d.claim);
            let answer = Datagram {
                from: i,
                crashes: self.known(now, i),
                busy: Some(busy),
                ..d
            };
            self.send(now, d.from, answer);
        }
    }

    /// An engine crashes, its sidecar finds out, and the entry sends the copy elsewhere.
    fn crash(&mut self, now: u64, i: usize) {
        let Some(run) = self.nodes[i].run else { return };
        if now >= run.crash && !self.nodes[i].crashed {
            self.nodes[i].crashed = true;
            self.crashes += 1;
        }
        if now < run.known {
            return;
        }
        let crash = Crash {
            member: MemberId(i as u64),
            incarnation: Incarnation(1),
        };
        let n = &mut self.nodes[i];
        n.run = None;
        n.quarantine.strike(ms(now), PRINT, crash);
        self.copies[run.copy].crashes.push(crash);
        self.elsewhere(now, run.copy);
    }

    fn elsewhere(&mut self, now: u64, copy: usize) {
        let live: Vec<_> = (0..self.nodes.len())
            .filter(|i| !self.nodes[*i].crashed)
            .collect();
        let c = &mut self.copies[copy];
        c.done = c.crashes.len() >= 2 || live.is_empty();
        if !c.done {
            c.at = live[self.rng.random_range(0..live.len())];
            c.from = now + 2;
        }
    }

    /// Hands over what may run at a sidecar.
    fn turns(&mut self, now: u64, i: usize) {
        let here = |c: &Copy| !c.done && c.at == i && c.from <= now;
        for copy in 0..self.copies.len() {
            let running = self.nodes.iter().filter_map(|n| n.run);
            if !here(&self.copies[copy]) || running.into_iter().any(|r| r.copy == copy) {
                continue;
            }
            let quarantine = &mut self.nodes[i].quarantine;
            for crash in &self.copies[copy].crashes {
                quarantine.strike(ms(now), PRINT, *crash);
            }
            let verdict = quarantine.verdict(ms(now), PRINT);
            if verdict == Verdict::Convicted {
                self.copies[copy].done = true;
                continue;
            }
            let (crash, known) = (self.play.crash, self.play.known);
            let n = &mut self.nodes[i];
            if n.crashed {
                self.elsewhere(now, copy);
                continue;
            }
            if verdict == Verdict::Suspect {
                n.trials.claim(ms(now), PRINT, self.rng.random());
                let peers = peers(self.play, i);
                if n.run.is_some() || !n.trials.may_run(ms(now), PRINT, &peers) {
                    continue;
                }
            } else {
                self.clear += 1;
            }
            n.trials.retain(|_| false);
            let crash = now + self.rng.random_range(1..=crash);
            n.run = Some(Run {
                copy,
                crash,
                known: crash + self.rng.random_range(1..=known),
            });
        }
        let waits = self.copies.iter().any(here);
        let n = &mut self.nodes[i];
        n.trials.retain(|_| waits);
        if let Some(step) = n.trials.step(ms(now), &peers(self.play, i)) {
            let ask = Datagram {
                from: i,
                ask: step.query,
                claim: step.claims[0],
                crashes: self.known(now, i),
                busy: None,
            };
            step.peers
                .into_iter()
                .for_each(|to| self.send(now, to, ask.clone()));
        }
    }

    /// Engines that crashed, runs that began before a crash was known there, and copies without an end.
    fn run(mut self) -> (usize, usize, usize) {
        for now in (0..END).step_by(TICK as usize) {
            while let Some(entry) = self.wire.first_entry().filter(|e| e.key().0 <= now) {
                let (to, datagram) = entry.remove();
                self.nodes[to].inbox.push(datagram);
            }
            for i in 0..self.nodes.len() {
                let chance = self.play.pauses * TICK as f64 / 1_000.0;
                if self.play.pause > 0 && self.rng.random_bool(chance) {
                    self.nodes[i].paused = now + self.rng.random_range(1..=self.play.pause);
                }
                if now < self.nodes[i].paused {
                    continue;
                }
                // A process that continues after a pause decides before it has received what waits.
                self.turns(now, i);
                self.receive(now, i);
                self.crash(now, i);
                self.turns(now, i);
            }
            let runs = self.nodes.iter().any(|n| n.run.is_some());
            if !runs && self.copies.iter().all(|c| c.done) {
                break;
            }
        }
        let waiting = self.copies.iter().filter(|c| !c.done).count();
        (self.crashes, self.clear, waiting)
    }
}

fn peers(play: &Play, i: usize) -> Vec<usize> {
    let all = 0..play.engines + play.dead;
    all.filter(|p| *p != i).collect()
}

struct Case {
    name: &'static str,
    play: Play,
}

/// Guards against engines that crash because entries send a request on without the others' crashes.
#[test]
fn request_through_several_entries_crashes_no_engine_after_the_second_crash() {
    let base = Play::default;
    #[rustfmt::skip]
    let cases = [
        Case { name: "two at once", play: base() },
        Case { name: "two, one after the other", play: Play { within: 400, ..base() } },
        Case { name: "four at once", play: Play { copies: 4, engines: 9, ..base() } },
        Case { name: "six within a second", play: Play { copies: 6, engines: 12, within: 1_000, ..base() } },
        Case { name: "crashes are known at once", play: Play { known: 1, ..base() } },
        Case { name: "runs last long", play: Play { crash: 1_500, within: 500, ..base() } },
        Case { name: "datagrams are lost", play: Play { loss: 0.1, copies: 4, engines: 9, within: 300, ..base() } },
        Case { name: "datagrams are late and overtake one another", play: Play { delay: 60, copies: 4, engines: 9, within: 300, ..base() } },
        Case { name: "a dead sidecar is listed", play: Play { dead: 2, copies: 3, within: 300, ..base() } },
        Case { name: "sidecars are paused for short", play: Play { pause: 300, pauses: 0.5, copies: 4, engines: 9, within: 300, ..base() } },
        Case { name: "many engines", play: Play { engines: 100, copies: 8, within: 200, ..base() } },
    ];
    let seeds = std::env::var("TRIAL_SEEDS").ok();
    let seeds = seeds.and_then(|s| s.parse().ok());
    for c in cases {
        for seed in 0..seeds.unwrap_or(40) {
            let (crashes, clear, waiting) = Sim::new(&c.play, seed).run();
            let most = clear.max(2);
            assert!(
                crashes <= most,
                "{}, seed {seed}: {crashes} crashes for {most}",
                c.name
            );
            assert_eq!(waiting, 0, "{}, seed {seed}: copies without an end", c.name);
        }
    }
}
