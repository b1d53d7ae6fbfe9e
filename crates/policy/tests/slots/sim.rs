//! A pool in virtual time whose updates are lost, delayed and out of order while sidecars are paused, killed
//! and started.

use std::collections::BTreeMap;

use model::Micros;
use policy::contact::Query;
use policy::slots::{Outcome, OutdatedWeights, Slots, State};
use policy::versions::Versions;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::{group, ms, MODEL};

/// Step of virtual time.
const TICK: u64 = 5;
/// Age of an engine's report.
const REPORT: u64 = 200;
/// Interval at which state is reported while weights change.
const RENEW: u64 = 500;

/// A pool and what happens to it.
#[derive(Clone, Debug)]
pub(crate) struct Play {
    pub(crate) engines: usize,
    /// How long a load takes.
    pub(crate) load: u64,
    /// Most engines that may load at a time.
    pub(crate) most: usize,
    /// When versions 2, 3 and so on are named.
    pub(crate) named: Vec<u64>,
    /// How much later a sidecar may receive a version than another one.
    pub(crate) apart: u64,
    /// Part of the datagrams that are lost, and longest delay of the others.
    pub(crate) loss: f64,
    pub(crate) delay: u64,
    /// Pause between two looks of a sidecar at its engine.
    pub(crate) look: u64,
    /// Chance a second that a sidecar is paused, or killed and started again; it lasts for up to 3 s.
    pub(crate) pauses: f64,
    pub(crate) kills: f64,
    /// Part of the orders that have no answer.
    pub(crate) unanswered: f64,
    /// Part of the reports of engines that load which are late.
    pub(crate) late: f64,
    /// Sidecars that start only after the first version was named.
    pub(crate) joins: usize,
    /// A sidecar that is stopped once.
    pub(crate) stop: Option<Stop>,
    pub(crate) by: u64,
}

/// A sidecar is paused, or killed and started again.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stop {
    pub(crate) who: usize,
    pub(crate) killed: bool,
    pub(crate) at: u64,
    pub(crate) lasts: u64,
}

impl Default for Play {
    fn default() -> Self {
        Self {
            engines: 3,
            load: 600,
            most: 1,
            named: vec![2_000],
            apart: 50,
            loss: 0.0,
            delay: 10,
            look: 50,
            pauses: 0.0,
            kills: 0.0,
            unanswered: 0.0,
            late: 0.0,
            joins: 0,
            stop: None,
            by: 40_000,
        }
    }
}

/// A datagram.
#[derive(Clone, Debug)]
struct Datagram {
    from: usize,
    /// None of an engine that doesn't answer and isn't known to load.
    state: Option<State>,
    ask: Option<Query>,
    answer: Option<Query>,
}

/// A sidecar and its engine.
#[derive(Debug)]
struct Node {
    slots: Slots<usize>,
    named: Versions,
    /// When its process started, and its draw.
    start: u64,
    process: u64,
    /// Until when it is paused, or not there.
    paused: u64,
    dead: u64,
    /// Loads of the engine: start, end and version.
    loads: Vec<(u64, u64, u64)>,
    inbox: Vec<Datagram>,
    /// Whether the engine's last report was late.
    silent: bool,
    sent: Option<State>,
    renewed: u64,
}

impl Node {
    fn version(&self, at: u64) -> u64 {
        let done = self.loads.iter().filter(|l| l.1 <= at);
        done.map(|l| l.2).max().unwrap_or(1)
    }

    fn busy(&self, at: u64) -> bool {
        self.loads.iter().any(|l| l.0 <= at && at < l.1)
    }

    fn now(&self, now: u64) -> Micros {
        ms(now - self.start)
    }
}

/// A pool in virtual time.
pub(crate) struct Sim<'a> {
    play: &'a Play,
    rng: StdRng,
    nodes: Vec<Node>,
    /// Datagrams on their way by arrival.
    wire: BTreeMap<(u64, u64), (usize, Datagram)>,
    sent: u64,
}

impl<'a> Sim<'a> {
    pub(crate) fn new(play: &'a Play, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let node = |i: usize, draw: u64| Node {
            slots: Slots::default(),
            named: Versions::default(),
            start: 0,
            process: draw,
            paused: 0,
            dead: if i < play.joins {
                play.named[0] + draw % 1_500
            } else {
                0
            },
            loads: Vec::new(),
            inbox: Vec::new(),
            silent: false,
            sent: None,
            renewed: 0,
        };
        let nodes = (0..play.engines).map(|i| node(i, rng.random_range(1..u64::MAX)));
        Self {
            play,
            nodes: nodes.collect(),
            rng,
            wire: BTreeMap::new(),
            sent: 0,
        }
    }

    fn send(&mut self, now: u64, to: usize, datagram: Datagram) {
        if self.rng.random_bool(self.play.loss) {
            return;
        }
        let at = now + self.rng.random_range(1..=self.play.delay.max(1));
        self.sent += 1;
        self.wire.insert((at, self.sent), (to, datagram));
    }

    fn datagram(&self, now: u64, i: usize) -> Datagram {
        let n = &self.nodes[i];
        let weights = vec![(MODEL, n.version(now.saturating_sub(REPORT)))];
        let mut state = n.slots.state(n.now(now), i as u64, weights);
        state.process = n.process;
        let silent = n.silent && state.loading.is_none();
        Datagram {
            from: i,
            state: (!silent).then_some(state),
            ask: None,
            answer: None,
        }
    }

    fn broadcast(&mut self, now: u64, datagram: &Datagram) {
        for to in (0..self.play.engines).filter(|to| *to != datagram.from) {
            self.send(now, to, datagram.clone());
        }
    }

    /// Draws what happens to the sidecars.
    fn disturb(&mut self, now: u64) {
        match self.play.stop.filter(|s| s.at == now) {
            Some(s) if s.killed => self.nodes[s.who].dead = now + s.lasts,
            Some(s) => self.nodes[s.who].paused = now + s.lasts,
            None => {}
        }
        for i in 0..self.nodes.len() {
            let lasts = self.rng.random_range(50..3_000);
            let chance = |a_second: f64| a_second * TICK as f64 / 1_000.0;
            if self.rng.random_bool(chance(self.play.pauses)) {
                self.nodes[i].paused = now + lasts;
            }
            if self.rng.random_bool(chance(self.play.kills)) {
                let n = &mut self.nodes[i];
                n.dead = now + lasts / 2;
            }
            let n = &mut self.nodes[i];
            if n.dead > now {
                n.inbox.clear();
                n.slots = Slots::default();
                n.named = Versions::default();
                n.sent = None;
                n.process = self.rng.random_range(1..u64::MAX);
                n.start = n.dead;
            }
        }
    }

    fn there(&self, now: u64, i: usize) -> bool {
        let n = &self.nodes[i];
        now >= n.dead && now >= n.paused
    }

    fn receive(&mut self, now: u64, i: usize) {
        for d in std::mem::take(&mut self.nodes[i].inbox) {
            let n = &mut self.nodes[i];
            let at = n.now(now);
            n.slots.receive(at, d.from, d.state);
            if let Some(answer) = d.answer {
                n.slots.answered(at, d.from, answer);
            }
            if let (Some(ask), true) = (d.ask, n.slots.can_answer(at)) {
                let mut answer = self.datagram(now, i);
                answer.answer = Some(ask);
                self.send(now, d.from, answer);
            }
        }
    }

    fn look(&mut self, now: u64, i: usize) {
        for (version, at) in (2..).zip(&self.play.named) {
            let received = at + (i as u64 * 131) % self.play.apart.max(1);
            let n = &mut self.nodes[i];
            if now >= received {
                let at = n.now(now);
                n.named
                    .record(at, version, at < ms(3_000) && received < n.start);
            }
        }
        let others: Vec<_> = (0..self.play.engines).filter(|o| *o != i).collect();
        let n = &mut self.nodes[i];
        let (at, then) = (n.now(now), now.saturating_sub(REPORT));
        let (version, busy) = (n.version(then), n.busy(then));
        let late = self.play.late > 0.0 && n.busy(now);
        n.silent = late && self.rng.random_bool(self.play.late);
        if n.silent {
            n.slots.report_missed(at);
        } else {
            n.slots.report(at, &[(MODEL, version)], busy);
            let lack = (n.named.newest() > version).then_some(OutdatedWeights {
                model: MODEL,
                version,
                announced: &n.named,
            });
            n.slots
                .schedule(at, &group(i as u64, self.play.engines), lack.as_ref());
        }
        let step = n.slots.step(at, &others, !busy, self.rng.random());
        if step.orders && !n.busy(now) {
            n.loads.push((now, now + self.play.load, n.named.newest()));
        }
        if let Some((ask, to)) = step.query {
            let mut question = self.datagram(now, i);
            question.ask = Some(ask);
            to.into_iter()
                .for_each(|to| self.send(now, to, question.clone()));
        }
        if step.orders {
            let update = self.datagram(now, i);
            self.broadcast(now, &update);
            let lost = self.rng.random_bool(self.play.unanswered);
            let outcome = if lost {
                Outcome::Unknown
            } else {
                Outcome::Accepted
            };
            self.nodes[i].slots.ordered(at, outcome);
        }
        self.renew(now, i);
    }

    /// Reports what has changed, and all of it now and then while weights change.
    fn renew(&mut self, now: u64, i: usize) {
        let update = self.datagram(now, i);
        let timeless = update.state.clone().map(|state| State {
            sent: Micros::ZERO,
            due: state.due.map(|_| Micros::ZERO),
            loading: state.loading.map(|_| Micros::ZERO),
            ..state
        });
        let n = &mut self.nodes[i];
        let at = n.now(now);
        let renew = now >= n.renewed + RENEW && n.slots.under_way(at);
        if n.slots.can_answer(at) && (timeless != n.sent || renew) {
            n.sent = timeless;
            n.renewed = now;
            self.broadcast(now, &update);
        }
    }

    /// Most loads at a time, and when all engines had the newest weights.
    pub(crate) fn run(mut self) -> (usize, Option<u64>) {
        let newest = self.play.named.len() as u64 + 1;
        let mut most = 0;
        for now in (0..self.play.by).step_by(TICK as usize) {
            self.disturb(now);
            while let Some(entry) = self.wire.first_entry().filter(|e| e.key().0 <= now) {
                let (to, datagram) = entry.remove();
                self.nodes[to].inbox.push(datagram);
            }
            for i in 0..self.nodes.len() {
                if !self.there(now, i) {
                    continue;
                }
                // A process that continues after a pause looks before it has received what waits.
                if (now + 7 * i as u64) % self.play.look < TICK {
                    self.look(now, i);
                }
                self.receive(now, i);
            }
            most = most.max(self.nodes.iter().filter(|n| n.busy(now)).count());
            if self.nodes.iter().all(|n| n.version(now) == newest) {
                return (most, Some(now));
            }
        }
        (most, None)
    }
}
