//! Simulation of a pool in virtual time. Updates are lost, delayed and reordered while sidecars are paused,
//! killed and started.

use std::collections::BTreeMap;

use model::Micros;
use policy::contact::Query;
use policy::slots::{Outcome, OutdatedWeights, Slots, State};
use policy::versions::Versions;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::{group, ms, MODEL};

/// Step of virtual time, in ms.
const TICK: u64 = 5;
/// Age of an engine's report, in ms.
const REPORT_AGE: u64 = 200;
/// Interval at which state is reported while weights change, in ms.
const RENEW_INTERVAL: u64 = 500;

/// A pool and the faults that it undergoes. Times are in ms.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) engines: usize,
    /// How long a load takes.
    pub(crate) load_time: u64,
    /// Maximum number of engines that may load at a time.
    pub(crate) max_loading: usize,
    /// When versions 2, 3 and so on are announced.
    pub(crate) announced: Vec<u64>,
    /// Maximum difference between the times at which two sidecars receive a version.
    pub(crate) announce_spread: u64,
    /// Fraction of datagrams that are lost.
    pub(crate) loss_rate: f64,
    /// Maximum delay of a datagram.
    pub(crate) max_delay: u64,
    /// Interval at which a sidecar polls its engine.
    pub(crate) poll_interval: u64,
    /// Probability per second that a sidecar is paused, for up to 3 s.
    pub(crate) pause_rate: f64,
    /// Probability per second that a sidecar is killed; it starts again after up to 1.5 s.
    pub(crate) kill_rate: f64,
    /// Fraction of orders that get no answer.
    pub(crate) unanswered_share: f64,
    /// Fraction of the reports of loading engines that are late.
    pub(crate) late_share: f64,
    /// Number of sidecars that start only after the first version was announced.
    pub(crate) late_joiners: usize,
    /// Stops one sidecar once.
    pub(crate) stop: Option<Stop>,
    /// End of the simulation.
    pub(crate) deadline: u64,
}

/// Pause, or kill and restart, of one sidecar.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stop {
    pub(crate) node: usize,
    pub(crate) killed: bool,
    pub(crate) at: u64,
    pub(crate) duration: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            engines: 3,
            load_time: 600,
            max_loading: 1,
            announced: vec![2_000],
            announce_spread: 50,
            loss_rate: 0.0,
            max_delay: 10,
            poll_interval: 50,
            pause_rate: 0.0,
            kill_rate: 0.0,
            unanswered_share: 0.0,
            late_share: 0.0,
            late_joiners: 0,
            stop: None,
            deadline: 40_000,
        }
    }
}

/// An update, a query or an answer on its way between two sidecars.
#[derive(Clone, Debug)]
struct Datagram {
    from: usize,
    /// `None` for an engine that doesn't answer and isn't known to load.
    state: Option<State>,
    query: Option<Query>,
    answer: Option<Query>,
}

/// A sidecar and its engine.
#[derive(Debug)]
struct Node {
    slots: Slots<usize>,
    announced: Versions,
    /// When the sidecar's process started.
    start: u64,
    /// Random number of the sidecar's process.
    process: u64,
    /// When the sidecar's pause ends.
    paused_until: u64,
    /// When the sidecar starts again after it was killed.
    dead_until: u64,
    /// Start, end and version of each load of the engine.
    loads: Vec<(u64, u64, u64)>,
    inbox: Vec<Datagram>,
    /// Whether the engine's last report was late.
    report_late: bool,
    /// Last reported state without its times.
    last_sent: Option<State>,
    last_renewal: u64,
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

/// Simulated pool.
pub(crate) struct Sim<'a> {
    scenario: &'a Scenario,
    rng: StdRng,
    nodes: Vec<Node>,
    /// Datagrams on their way, by time of arrival and sequence number.
    in_flight: BTreeMap<(u64, u64), (usize, Datagram)>,
    /// Number of datagrams sent.
    sequence: u64,
}

impl<'a> Sim<'a> {
    pub(crate) fn new(scenario: &'a Scenario, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let node = |i: usize, draw: u64| Node {
            slots: Slots::default(),
            announced: Versions::default(),
            start: 0,
            process: draw,
            paused_until: 0,
            dead_until: if i < scenario.late_joiners {
                scenario.announced[0] + draw % 1_500
            } else {
                0
            },
            loads: Vec::new(),
            inbox: Vec::new(),
            report_late: false,
            last_sent: None,
            last_renewal: 0,
        };
        let nodes = (0..scenario.engines).map(|i| node(i, rng.random_range(1..u64::MAX)));
        Self {
            scenario,
            nodes: nodes.collect(),
            rng,
            in_flight: BTreeMap::new(),
            sequence: 0,
        }
    }

    fn send(&mut self, now: u64, to: usize, datagram: Datagram) {
        if self.rng.random_bool(self.scenario.loss_rate) {
            return;
        }
        let at = now + self.rng.random_range(1..=self.scenario.max_delay.max(1));
        self.sequence += 1;
        self.in_flight.insert((at, self.sequence), (to, datagram));
    }

    fn datagram(&self, now: u64, i: usize) -> Datagram {
        let n = &self.nodes[i];
        let weights = vec![(MODEL, n.version(now.saturating_sub(REPORT_AGE)))];
        let mut state = n.slots.state(n.now(now), i as u64, weights);
        state.process = n.process;
        let unreachable = n.report_late && state.loading.is_none();
        Datagram {
            from: i,
            state: (!unreachable).then_some(state),
            query: None,
            answer: None,
        }
    }

    fn broadcast(&mut self, now: u64, datagram: &Datagram) {
        for to in (0..self.scenario.engines).filter(|to| *to != datagram.from) {
            self.send(now, to, datagram.clone());
        }
    }

    /// Pauses and kills sidecars at random.
    fn inject_faults(&mut self, now: u64) {
        match self.scenario.stop.filter(|s| s.at == now) {
            Some(s) if s.killed => self.nodes[s.node].dead_until = now + s.duration,
            Some(s) => self.nodes[s.node].paused_until = now + s.duration,
            None => {}
        }
        for i in 0..self.nodes.len() {
            let duration = self.rng.random_range(50..3_000);
            let probability = |per_second: f64| per_second * TICK as f64 / 1_000.0;
            if self.rng.random_bool(probability(self.scenario.pause_rate)) {
                self.nodes[i].paused_until = now + duration;
            }
            if self.rng.random_bool(probability(self.scenario.kill_rate)) {
                let n = &mut self.nodes[i];
                n.dead_until = now + duration / 2;
            }
            let n = &mut self.nodes[i];
            if n.dead_until > now {
                n.inbox.clear();
                n.slots = Slots::default();
                n.announced = Versions::default();
                n.last_sent = None;
                n.process = self.rng.random_range(1..u64::MAX);
                n.start = n.dead_until;
            }
        }
    }

    fn is_running(&self, now: u64, i: usize) -> bool {
        let n = &self.nodes[i];
        now >= n.dead_until && now >= n.paused_until
    }

    fn receive(&mut self, now: u64, i: usize) {
        for d in std::mem::take(&mut self.nodes[i].inbox) {
            let n = &mut self.nodes[i];
            let at = n.now(now);
            n.slots.receive(at, d.from, d.state);
            if let Some(answer) = d.answer {
                n.slots.answered(at, d.from, answer);
            }
            if let (Some(query), true) = (d.query, n.slots.can_answer(at)) {
                let mut answer = self.datagram(now, i);
                answer.answer = Some(query);
                self.send(now, d.from, answer);
            }
        }
    }

    /// Polls an engine, updates its sidecar's schedule and runs the sidecar's next step.
    fn poll_engine(&mut self, now: u64, i: usize) {
        for (version, at) in (2..).zip(&self.scenario.announced) {
            let received = at + (i as u64 * 131) % self.scenario.announce_spread.max(1);
            let n = &mut self.nodes[i];
            if now >= received {
                let at = n.now(now);
                n.announced
                    .record(at, version, at < ms(3_000) && received < n.start);
            }
        }
        let others: Vec<_> = (0..self.scenario.engines).filter(|o| *o != i).collect();
        let n = &mut self.nodes[i];
        let (at, then) = (n.now(now), now.saturating_sub(REPORT_AGE));
        let (version, busy) = (n.version(then), n.busy(then));
        let late = self.scenario.late_share > 0.0 && n.busy(now);
        n.report_late = late && self.rng.random_bool(self.scenario.late_share);
        if n.report_late {
            n.slots.report_missed(at);
        } else {
            n.slots.report(at, &[(MODEL, version)], busy);
            let outdated = (n.announced.newest() > version).then_some(OutdatedWeights {
                model: MODEL,
                version,
                announced: &n.announced,
            });
            n.slots.schedule(
                at,
                &group(i as u64, self.scenario.engines),
                outdated.as_ref(),
            );
        }
        let step = n.slots.step(at, &others, !busy, self.rng.random());
        if step.orders && !n.busy(now) {
            n.loads
                .push((now, now + self.scenario.load_time, n.announced.newest()));
        }
        if let Some((query, to)) = step.query {
            let mut datagram = self.datagram(now, i);
            datagram.query = Some(query);
            to.into_iter()
                .for_each(|to| self.send(now, to, datagram.clone()));
        }
        if step.orders {
            let update = self.datagram(now, i);
            self.broadcast(now, &update);
            let lost = self.rng.random_bool(self.scenario.unanswered_share);
            let outcome = if lost {
                Outcome::Unknown
            } else {
                Outcome::Accepted
            };
            self.nodes[i].slots.ordered(at, outcome);
        }
        self.report_state(now, i);
    }

    /// Broadcasts the state if it has changed, and at intervals while weights change.
    fn report_state(&mut self, now: u64, i: usize) {
        let update = self.datagram(now, i);
        let timeless = update.state.clone().map(|state| State {
            sent: Micros::ZERO,
            due: state.due.map(|_| Micros::ZERO),
            loading: state.loading.map(|_| Micros::ZERO),
            ..state
        });
        let n = &mut self.nodes[i];
        let at = n.now(now);
        let renewal_due = now >= n.last_renewal + RENEW_INTERVAL && n.slots.under_way(at);
        if n.slots.can_answer(at) && (timeless != n.last_sent || renewal_due) {
            n.last_sent = timeless;
            n.last_renewal = now;
            self.broadcast(now, &update);
        }
    }

    /// Returns the maximum number of loads at a time, and when all engines had the newest weights.
    pub(crate) fn run(mut self) -> (usize, Option<u64>) {
        let newest = self.scenario.announced.len() as u64 + 1;
        let mut most = 0;
        for now in (0..self.scenario.deadline).step_by(TICK as usize) {
            self.inject_faults(now);
            while let Some(entry) = self.in_flight.first_entry().filter(|e| e.key().0 <= now) {
                let (to, datagram) = entry.remove();
                self.nodes[to].inbox.push(datagram);
            }
            for i in 0..self.nodes.len() {
                if !self.is_running(now, i) {
                    continue;
                }
                // A process that resumes after a pause polls its engine before it reads waiting datagrams.
                if (now + 7 * i as u64) % self.scenario.poll_interval < TICK {
                    self.poll_engine(now, i);
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
