//! Simulation of a pool in virtual time that keeps the agent's loop, its orders and the engine apart: a poll
//! and an order take time, and faults fall in between.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use model::Micros;
use policy::contact::Query;
use policy::holder::Holder;
use policy::slots::{Group, ModelKey, Outcome, OutdatedWeights, Slots, State};
use policy::versions::Versions;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const MODEL: ModelKey = ModelKey(7);
/// Step of virtual time, in ms.
const TICK: u64 = 5;
/// Time at which the simulation starts, in ms; earlier times are for loads that are known at the start.
const START: u64 = 6_000;
/// Time of the first announcement, in ms.
const ANNOUNCED: u64 = 8_000;
/// Time within which a pool has to finish after the last announcement, in ms.
pub(crate) const MAX_DURATION: u64 = 60_000;
/// Time after the last announcement at which a run ends, in ms.
const END: u64 = 2 * MAX_DURATION;
/// Time allowed for a change of weights, in ms.
const ALLOWED: u64 = 60_000;
/// Fraction of the time allowed within which all engines should have loaded.
const TARGET_TIME: f64 = 0.75;
/// Pause between two rounds of an agent's loop, in ms.
const POLL_INTERVAL: u64 = 50;
/// Timeout of an agent's calls to its engine, in ms.
const ENGINE_TIMEOUT: u64 = 250;
/// Time after a claim succeeds within which the order must be sent, in ms.
const SLOT_LIFETIME: u64 = 250;
/// Interval at which state is reported while weights change, in ms.
const RENEW_INTERVAL: u64 = 500;
/// Validity of an answer, in ms.
const ANSWER_LIFETIME: u64 = 250;
/// Time after which a load counts as over without an update, at least, in ms.
const UPDATE_LEASE: u64 = 1_600;
/// Time after which a slot counts as unused, in ms.
const STUCK_AFTER: u64 = 1_000;
/// Time after which an order counts as late, in ms.
const MAX_ORDER_TIME: u64 = 500;
/// Lease of the right to order an engine, in ms.
const HOLDER_LEASE: u64 = 2_000;

/// A pool and its faults. Times are in ms; a rate of 0 switches a fault off.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) engines: usize,
    /// Number of engines that may load at a time.
    pub(crate) max_loading: usize,
    /// Range of load times; each load draws its own.
    pub(crate) load_time: (u64, u64),
    /// Whether each sidecar has measured a load before the first announcement.
    pub(crate) known_time: bool,
    /// Delays of versions 2, 3 and so on after the first announcement.
    pub(crate) announced: Vec<u64>,
    /// Maximum difference between the receipts of a version.
    pub(crate) announce_spread: u64,
    /// Range of the age of an engine's report when it is answered.
    pub(crate) report_age: (u64, u64),
    /// Maximum duration of a normal poll.
    pub(crate) poll_time: u64,
    /// Fraction of polls that are slow; some of them exceed the timeout.
    pub(crate) slow_polls: f64,
    /// Fraction of a loading engine's polls that time out.
    pub(crate) late_reports: f64,
    /// Fraction of datagrams that are lost.
    pub(crate) loss_rate: f64,
    /// Maximum delay of a datagram.
    pub(crate) max_delay: u64,
    /// Fraction of datagrams that take up to 400 ms.
    pub(crate) slow_datagrams: f64,
    /// Maximum time between the take of a slot and the order's departure.
    pub(crate) send_delay: u64,
    /// Maximum time between the order's departure and its arrival.
    pub(crate) order_delay: u64,
    /// Fraction of orders that are lost.
    pub(crate) lost_orders: f64,
    /// Fraction of orders whose answer is lost.
    pub(crate) lost_answers: f64,
    /// Fraction of orders that are carried out late.
    pub(crate) late_orders: f64,
    /// Maximum delay of a late order.
    pub(crate) order_lag: u64,
    /// Probability per second that a sidecar is paused.
    pub(crate) pause_rate: f64,
    /// Probability that a sidecar is paused between the take of a slot and the order's answer.
    pub(crate) slot_pauses: f64,
    /// Range of the duration of a pause.
    pub(crate) pause_time: (u64, u64),
    /// Probability per second that a sidecar is killed; it starts again within 1.5 s.
    pub(crate) kill_rate: f64,
    /// Probability that a sidecar is killed between the take of a slot and the order's answer.
    pub(crate) slot_kills: f64,
    /// Number of sidecars that start after the first announcement.
    pub(crate) late_joiners: usize,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            engines: 3,
            max_loading: 1,
            load_time: (600, 600),
            known_time: false,
            announced: vec![0],
            announce_spread: 50,
            report_age: (200, 200),
            poll_time: 5,
            slow_polls: 0.0,
            late_reports: 0.0,
            loss_rate: 0.0,
            max_delay: 10,
            slow_datagrams: 0.0,
            send_delay: 0,
            order_delay: 5,
            lost_orders: 0.0,
            lost_answers: 0.0,
            late_orders: 0.0,
            order_lag: 0,
            pause_rate: 0.0,
            slot_pauses: 0.0,
            pause_time: (50, 3_000),
            kill_rate: 0.0,
            slot_kills: 0.0,
            late_joiners: 0,
        }
    }
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Run {
    /// Time from the last announcement until all engines had the newest weights.
    pub(crate) duration: Option<u64>,
    /// What the sidecar of the excess load knew of each other loading engine.
    pub(crate) excess: Option<String>,
    /// Events, if traced.
    pub(crate) trace: String,
}

#[derive(Clone, Debug)]
struct Datagram {
    from: usize,
    state: Option<State>,
    query: Option<Query>,
    answer: Option<Query>,
}

/// State of an agent's loop.
#[derive(Clone, Copy, Debug)]
enum Phase {
    Sleep { until: u64 },
    Poll { since: u64, answer: u64, age: u64 },
    Take { at: u64, departs: u64 },
    Order { sent: u64, index: usize },
}

/// What a sidecar knew of a peer when it took a slot.
#[derive(Clone, Debug)]
struct View {
    state: Option<State>,
    /// Time since the last state was received.
    age: Option<u64>,
    /// Time since the last query of the claim with a valid answer was sent.
    answer_age: Option<u64>,
}

/// An order on its way to an engine.
#[derive(Clone, Debug)]
struct Order {
    node: usize,
    version: u64,
    expected: u64,
    taken: u64,
    sent: u64,
    arrives: u64,
    carried_out: bool,
    /// Arrival and content of the answer.
    answer: Option<(u64, Outcome)>,
    answer_lost: bool,
    views: Vec<View>,
    /// Longest time between two steps of the claim.
    gap: u64,
    /// Time between the begin of the claim and the take of the slot.
    claimed: u64,
    process: u64,
}

#[derive(Clone, Debug)]
struct Load {
    start: u64,
    end: u64,
    version: u64,
    order: usize,
}

#[derive(Debug)]
struct Node {
    slots: Slots<usize>,
    holder: Holder,
    announced: Versions,
    start: u64,
    process: u64,
    paused_until: u64,
    dead_until: u64,
    phase: Phase,
    /// Version, whether busy, and number of orders, as last reported.
    report: Option<(u64, bool, u64)>,
    alive: bool,
    reported_as_of: u64,
    inbox: Vec<Datagram>,
    last_sent: Option<State>,
    last_renewal: u64,
    views: Vec<View>,
    /// Views at the last take of a slot.
    taken_views: Vec<View>,
    received: Vec<u64>,
    answered: Vec<u64>,
    claim_step: Option<u64>,
    claim_gap: u64,
    claim_since: u64,
    /// Round of the last claim's queries.
    round: Option<u64>,
    /// Loads and number of accepted orders of the engine.
    loads: Vec<Load>,
    seq: Vec<u64>,
}

impl Node {
    fn version(&self, at: u64) -> u64 {
        let done = self.loads.iter().filter(|l| l.end <= at);
        done.map(|l| l.version).max().unwrap_or(1)
    }

    fn load(&self, at: u64) -> Option<&Load> {
        self.loads.iter().find(|l| l.start <= at && at < l.end)
    }

    fn seq(&self, at: u64) -> u64 {
        self.seq.iter().filter(|s| **s <= at).count() as u64
    }

    fn clock(&self, now: u64) -> Micros {
        Micros::from_millis(now - self.start)
    }

    fn restart(&mut self, at: u64, process: u64, peers: usize) {
        self.slots = Slots::default();
        self.holder = Holder::new(Micros::from_millis(HOLDER_LEASE));
        self.holder.record_first_start();
        self.announced = Versions::default();
        self.start = at;
        self.process = process;
        self.phase = Phase::Sleep { until: at };
        self.report = None;
        self.alive = false;
        self.inbox.clear();
        self.last_sent = None;
        self.claim_step = None;
        self.round = None;
        let view = View {
            state: None,
            age: None,
            answer_age: None,
        };
        self.views = vec![view; peers];
        self.received = vec![0; peers];
        self.answered = vec![0; peers];
    }
}

pub(crate) struct Sim<'a> {
    scenario: &'a Scenario,
    rng: StdRng,
    nodes: Vec<Node>,
    in_flight: BTreeMap<(u64, u64), (usize, Datagram)>,
    sequence: u64,
    orders: Vec<Order>,
    tracing: bool,
    run: Run,
}

impl<'a> Sim<'a> {
    pub(crate) fn new(scenario: &'a Scenario, seed: u64, tracing: bool) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut nodes = Vec::new();
        for i in 0..scenario.engines {
            let mut node = Node {
                slots: Slots::default(),
                holder: Holder::new(Micros::from_millis(HOLDER_LEASE)),
                announced: Versions::default(),
                start: 0,
                process: 0,
                paused_until: 0,
                dead_until: 0,
                phase: Phase::Sleep { until: 0 },
                report: None,
                alive: false,
                reported_as_of: 0,
                inbox: Vec::new(),
                last_sent: None,
                last_renewal: 0,
                views: Vec::new(),
                taken_views: Vec::new(),
                received: Vec::new(),
                answered: Vec::new(),
                claim_step: None,
                claim_gap: 0,
                claim_since: 0,
                round: None,
                loads: Vec::new(),
                seq: Vec::new(),
            };
            node.restart(0, rng.random_range(1..u64::MAX), scenario.engines);
            node.phase = Phase::Sleep {
                until: START + rng.random_range(0..POLL_INTERVAL),
            };
            if i < scenario.late_joiners {
                node.dead_until = ANNOUNCED + rng.random_range(0..1_500);
            } else if scenario.known_time {
                measure_load(&mut node.slots, random(&mut rng, scenario.load_time));
            }
            nodes.push(node);
        }
        Self {
            scenario,
            rng,
            nodes,
            in_flight: BTreeMap::new(),
            sequence: 0,
            orders: Vec::new(),
            tracing,
            run: Run::default(),
        }
    }

    fn log(&mut self, now: u64, i: usize, text: impl FnOnce() -> String) {
        if self.tracing {
            let at = now as i64 - ANNOUNCED as i64;
            writeln!(self.run.trace, "{at:>6} sidecar {i}: {}", text()).expect("a string grows");
        }
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.rng.random_bool(probability)
    }

    fn send(&mut self, now: u64, to: usize, datagram: Datagram) {
        let (lost, slow) = (self.scenario.loss_rate, self.scenario.slow_datagrams);
        if self.chance(lost) {
            return;
        }
        let max = if self.chance(slow) {
            400
        } else {
            self.scenario.max_delay.max(1)
        };
        let at = now + self.rng.random_range(1..=max);
        self.sequence += 1;
        self.in_flight.insert((at, self.sequence), (to, datagram));
    }

    fn datagram(&self, now: u64, i: usize) -> Datagram {
        let n = &self.nodes[i];
        let weights = n.report.iter().map(|r| (MODEL, r.0)).collect();
        let mut state = n.slots.state(n.clock(now), i as u64, weights);
        state.process = n.process;
        let busy = n.report.is_some_and(|r| r.1);
        let reachable = n.alive || state.loading.is_some();
        state.loading = state.loading.or(busy.then_some(Micros::ZERO));
        Datagram {
            from: i,
            state: reachable.then_some(state),
            query: None,
            answer: None,
        }
    }

    fn broadcast(&mut self, now: u64, datagram: &Datagram) {
        for to in (0..self.scenario.engines).filter(|to| *to != datagram.from) {
            self.send(now, to, datagram.clone());
        }
    }

    fn pause(&mut self, now: u64, i: usize) {
        let until = now + random(&mut self.rng, self.scenario.pause_time);
        self.nodes[i].paused_until = until;
        self.log(now, i, || format!("paused for {} ms", until - now));
    }

    fn kill(&mut self, now: u64, i: usize) {
        let until = now + self.rng.random_range(25..1_500);
        let process = self.rng.random_range(1..u64::MAX);
        let peers = self.scenario.engines;
        self.nodes[i].dead_until = until;
        self.nodes[i].paused_until = 0;
        self.nodes[i].restart(until, process, peers);
        self.log(now, i, || format!("killed for {} ms", until - now));
    }

    fn inject_faults(&mut self, now: u64) {
        let probability = |per_second: f64| per_second * TICK as f64 / 1_000.0;
        let (pauses, kills) = (self.scenario.pause_rate, self.scenario.kill_rate);
        for i in 0..self.nodes.len() {
            if now == START && self.nodes[i].dead_until > now {
                let (at, process) = (self.nodes[i].dead_until, self.nodes[i].process);
                self.nodes[i].restart(at, process, self.scenario.engines);
            }
            if self.chance(probability(pauses)) && self.is_running(now, i) {
                self.pause(now, i);
            }
            if self.chance(probability(kills)) && now >= self.nodes[i].dead_until {
                self.kill(now, i);
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
            let at = n.clock(now);
            n.views[d.from].state.clone_from(&d.state);
            n.received[d.from] = now;
            n.slots.receive(at, d.from, d.state.clone());
            if let Some(answer) = d.answer {
                n.slots.answered(at, d.from, answer);
                let valid = at.since(answer.sent).as_millis() <= ANSWER_LIFETIME;
                if valid && n.round == Some(answer.round) {
                    n.answered[d.from] = answer.sent.as_millis() + n.start;
                }
                self.log(now, i, || {
                    let age = at.since(answer.sent).as_millis();
                    format!("answer of {} after {age} ms: {}", d.from, brief(&d.state))
                });
            }
            let can_answer = self.nodes[i].slots.can_answer(at);
            if let (Some(query), true) = (d.query, can_answer) {
                let mut answer = self.datagram(now, i);
                answer.answer = Some(query);
                self.send(now, d.from, answer);
            }
        }
    }

    /// Runs an agent's loop up to its next wait.
    fn advance(&mut self, now: u64, i: usize) {
        match self.nodes[i].phase {
            Phase::Sleep { until } if now >= until => self.begin_poll(now, i),
            Phase::Poll { since, answer, age } if now >= answer.min(since + ENGINE_TIMEOUT) => {
                let report = (now >= answer).then(|| answer.saturating_sub(age));
                self.end_poll(now, i, report);
            }
            Phase::Take { at, departs } if now >= departs => self.send_order(now, i, at),
            Phase::Order { sent, index } => {
                let answer = self.orders[index].answer.filter(|a| now >= a.0);
                let timed_out = (now >= sent + ENGINE_TIMEOUT).then_some(Outcome::Unknown);
                if let Some(outcome) = answer.map(|a| a.1).or(timed_out) {
                    self.end_order(now, i, outcome);
                }
            }
            _ => {}
        }
    }

    fn begin_poll(&mut self, now: u64, i: usize) {
        let s = self.scenario;
        let loading = self.nodes[i].load(now).is_some();
        let (late, slow) = (self.chance(s.late_reports), self.chance(s.slow_polls));
        let duration = match () {
            () if loading && late => ENGINE_TIMEOUT + 1,
            () if slow => self.rng.random_range(1..=ENGINE_TIMEOUT * 6 / 5),
            () => self.rng.random_range(1..=s.poll_time.max(1)),
        };
        let age = random(&mut self.rng, s.report_age);
        self.nodes[i].phase = Phase::Poll {
            since: now,
            answer: now + duration,
            age,
        };
    }

    fn end_poll(&mut self, now: u64, i: usize, as_of: Option<u64>) {
        let s = self.scenario;
        for (version, delay) in (2..).zip(&s.announced) {
            let received = ANNOUNCED + delay + (i as u64 * 131) % s.announce_spread.max(1);
            let n = &mut self.nodes[i];
            let at = n.clock(now);
            if now >= received {
                n.announced.record(at, version, received < n.start);
            }
        }
        let n = &mut self.nodes[i];
        let at = n.clock(now);
        n.alive = as_of.is_some();
        if let Some(as_of) = as_of {
            let as_of = as_of.max(n.reported_as_of);
            n.reported_as_of = as_of;
            let seq = n.seq(as_of);
            n.holder.update_count(at, seq);
            n.report = Some((n.version(as_of), n.load(as_of).is_some(), seq));
        }
        let may_order = n.holder.may_order(at);
        let mut orderable = false;
        let before = n.slots.state(at, 0, Vec::new()).loading;
        match n.report.filter(|_| n.alive) {
            None => n.slots.report_missed(at),
            Some((version, busy, _)) => {
                n.slots.report(at, &[(MODEL, version)], busy);
                let outdated = OutdatedWeights {
                    model: MODEL,
                    version,
                    announced: &n.announced,
                };
                let pending = n.announced.newest() > version && may_order;
                let group = Group {
                    engine: i as u64,
                    rank: i,
                    hosts: s.engines,
                    allowed: Micros::from_millis(ALLOWED),
                };
                n.slots.schedule(at, &group, pending.then_some(&outdated));
                orderable = pending && !busy;
            }
        }
        let report = n.report;
        let after = n.slots.state(at, 0, Vec::new()).loading;
        if before.is_some() != after.is_some() {
            self.log(now, i, || {
                let shown = report.map(|r| (r.0, r.1));
                format!(
                    "counts as loading: {} (report as of {as_of:?}: {shown:?})",
                    after.is_some()
                )
            });
        }
        let others: Vec<_> = (0..s.engines).filter(|o| *o != i).collect();
        let draw = self.rng.random();
        let n = &mut self.nodes[i];
        let claimed = n.slots.state(at, 0, Vec::new()).claims;
        let last = n.claim_step.filter(|_| claimed);
        n.claim_gap = last.map_or(0, |l| n.claim_gap.max(now - l));
        n.claim_step = Some(now);
        if !claimed {
            n.claim_since = now;
            n.round = Some(draw);
            n.answered.fill(0);
        }
        let step = n.slots.step(at, &others, orderable, draw);
        let claims = n.slots.state(at, 0, Vec::new()).claims;
        if claims != claimed && !step.orders {
            self.log(now, i, || format!("claims: {claims}"));
        }
        if let Some((query, to)) = step.query {
            let mut datagram = self.datagram(now, i);
            datagram.query = Some(query);
            for to in to {
                self.send(now, to, datagram.clone());
            }
        }
        if !step.orders {
            return self.end_round(now, i);
        }
        self.log(now, i, || {
            format!("takes a slot, {} without an answer", step.skipped)
        });
        for peer in others {
            let n = &mut self.nodes[i];
            n.views[peer].age = (n.received[peer] > 0).then(|| now - n.received[peer]);
            n.views[peer].answer_age = (n.answered[peer] > 0).then(|| now - n.answered[peer]);
            let View {
                state,
                age,
                answer_age,
            } = n.views[peer].clone();
            self.log(now, i, || {
                format!(
                    "  knows of {peer}: {} received {age:?} ms, asked {answer_age:?} ms before",
                    brief(&state)
                )
            });
        }
        let n = &mut self.nodes[i];
        n.taken_views.clone_from(&n.views);
        let update = self.datagram(now, i);
        self.broadcast(now, &update);
        let delay = self.rng.random_range(0..=s.send_delay);
        self.nodes[i].phase = Phase::Take {
            at: now,
            departs: now + delay,
        };
        self.inject_slot_fault(now, i);
    }

    fn inject_slot_fault(&mut self, now: u64, i: usize) {
        if self.chance(self.scenario.slot_pauses / 2.0) {
            self.pause(now, i);
        }
        if self.chance(self.scenario.slot_kills / 2.0) {
            self.kill(now, i);
        }
    }

    fn send_order(&mut self, now: u64, i: usize, taken: u64) {
        if now - taken > SLOT_LIFETIME {
            self.log(now, i, || "order not sent: slot expired".to_owned());
            return self.end_order(now, i, Outcome::Refused);
        }
        let s = self.scenario;
        let (lost, late) = (self.chance(s.lost_orders), self.chance(s.late_orders));
        let answer_lost = self.chance(s.lost_answers);
        let max = if late { s.order_lag } else { s.order_delay };
        let delay = self.rng.random_range(1..=max.max(1));
        let n = &self.nodes[i];
        let order = Order {
            node: i,
            version: n.announced.newest(),
            expected: n.report.map_or(0, |r| r.2),
            taken,
            sent: now,
            arrives: if lost { u64::MAX } else { now + delay },
            carried_out: false,
            answer: None,
            answer_lost,
            views: n.taken_views.clone(),
            gap: n.claim_gap,
            claimed: taken - n.claim_since,
            process: n.process,
        };
        self.log(now, i, || {
            format!("order of version {} sent, lost: {lost}", order.version)
        });
        self.orders.push(order);
        self.nodes[i].phase = Phase::Order {
            sent: now,
            index: self.orders.len() - 1,
        };
        self.inject_slot_fault(now, i);
    }

    fn end_order(&mut self, now: u64, i: usize, outcome: Outcome) {
        self.log(now, i, || format!("order: {outcome:?}"));
        let n = &mut self.nodes[i];
        if outcome != Outcome::Refused {
            n.holder.record_order();
        }
        let at = n.clock(now);
        n.slots.ordered(at, outcome);
        self.end_round(now, i);
    }

    /// Reports a changed state, or one that is due to be renewed.
    fn end_round(&mut self, now: u64, i: usize) {
        let update = self.datagram(now, i);
        let timeless = update.state.clone().map(|state| State {
            sent: Micros::ZERO,
            due: state.due.map(|_| Micros::ZERO),
            loading: state.loading.map(|_| Micros::ZERO),
            ..state
        });
        let n = &mut self.nodes[i];
        let at = n.clock(now);
        let renewal_due = now >= n.last_renewal + RENEW_INTERVAL && n.slots.under_way(at);
        n.phase = Phase::Sleep {
            until: now + POLL_INTERVAL,
        };
        if n.slots.can_answer(at) && (timeless != n.last_sent || renewal_due) {
            n.last_sent = timeless;
            n.last_renewal = now;
            self.broadcast(now, &update);
        }
    }

    /// Carries out the orders that have arrived.
    fn run_engines(&mut self, now: u64) {
        for index in 0..self.orders.len() {
            let o = &self.orders[index];
            if o.carried_out || o.arrives > now {
                continue;
            }
            let (i, version) = (o.node, o.version);
            let n = &self.nodes[i];
            let refused =
                n.load(now).is_some() || n.seq(now) != o.expected || n.version(now) >= version;
            // An engine that carries out another order loads, though not by this one.
            let busy = n.load(now).is_some() || n.seq(now) != o.expected;
            let outcome = match refused {
                true if busy => Outcome::Unknown,
                true => Outcome::Refused,
                false => Outcome::Accepted,
            };
            let answers = now + self.rng.random_range(1..=self.scenario.order_delay.max(1));
            let o = &mut self.orders[index];
            o.carried_out = true;
            o.answer = (!o.answer_lost).then_some((answers, outcome));
            let (lag, lost) = (now - o.sent, o.answer_lost);
            let mut duration = 0;
            if !refused {
                duration = random(&mut self.rng, self.scenario.load_time);
                let load = Load {
                    start: now,
                    end: now + duration,
                    version,
                    order: index,
                };
                self.nodes[i].loads.push(load);
                self.nodes[i].seq.push(now);
            }
            self.log(now, i, || {
                format!("ENGINE {outcome:?} {lag} ms after the order, load of {duration} ms, answer lost: {lost}")
            });
        }
    }

    /// Number of loads that the rules permit: more than usual when the time allowed would run out.
    fn limit(&self, now: u64) -> usize {
        let s = self.scenario;
        let times = self.nodes.iter().filter_map(|n| {
            let state = n.slots.state(n.clock(now.max(n.start)), 0, Vec::new());
            state.load_time
        });
        let time = times.max().map_or(s.load_time.1, Micros::as_millis).max(1);
        let elapsed = now.saturating_sub(ANNOUNCED) + 2_500;
        let left = ((ALLOWED as f64 * TARGET_TIME) as u64).saturating_sub(elapsed);
        let rounds = (left / time).max(1) as usize;
        let needed = s.engines.div_ceil(rounds);
        s.max_loading.max(needed.min(s.engines / 2))
    }

    /// Says what the sidecar that took the last slot knew of the other engines that load.
    fn explain(&mut self, now: u64) -> String {
        let active = self.nodes.iter().filter_map(|n| n.load(now));
        let mut active: Vec<_> = active
            .map(|l| (self.orders[l.order].taken, l.clone()))
            .collect();
        active.sort_by_key(|a| a.0);
        let last = &self.orders[active.pop().expect("loads exceed the limit").1.order];
        let mut causes = Vec::new();
        for (_, load) in &active {
            let other = &self.orders[load.order];
            let restarted = self.nodes[other.node].process != other.process;
            causes.push(match () {
                () if load.start > last.taken.max(other.sent + MAX_ORDER_TIME) => {
                    "order carried out after its slot ended"
                }
                () => cause(last, other, load, restarted),
            });
        }
        causes.sort_unstable();
        causes.dedup();
        let loads = active.len() + 1;
        let (i, node) = (last.node, format!("EXCESS: {loads} load"));
        let joined = causes.join(" + ");
        self.log(now, i, || format!("{node}; last slot taken here: {joined}"));
        joined
    }

    pub(crate) fn run(mut self) -> Run {
        let newest = self.scenario.announced.len() as u64 + 1;
        let last = ANNOUNCED
            + self
                .scenario
                .announced
                .iter()
                .max()
                .copied()
                .unwrap_or_default();
        for now in (START..last + END).step_by(TICK as usize) {
            self.inject_faults(now);
            self.run_engines(now);
            while let Some(entry) = self.in_flight.first_entry().filter(|e| e.key().0 <= now) {
                let (to, datagram) = entry.remove();
                if now >= self.nodes[to].dead_until {
                    self.nodes[to].inbox.push(datagram);
                }
            }
            for i in 0..self.nodes.len() {
                if !self.is_running(now, i) {
                    continue;
                }
                // The tasks of a process that resumes run in any order.
                let loop_first = self.chance(0.5);
                if loop_first {
                    self.advance(now, i);
                }
                if self.is_running(now, i) {
                    self.receive(now, i);
                }
                if !loop_first && self.is_running(now, i) {
                    self.advance(now, i);
                }
            }
            let loads = self.nodes.iter().filter(|n| n.load(now).is_some()).count();
            if loads > self.limit(now) && self.run.excess.is_none() {
                self.run.excess = Some(self.explain(now));
            }
            if self.nodes.iter().all(|n| n.version(now) == newest) {
                self.run.duration = Some(now.saturating_sub(last));
                break;
            }
        }
        if self.run.duration.is_none() {
            for i in 0..self.nodes.len() {
                let text = format!("at the end: {:?}", self.nodes[i].slots);
                self.log(last + END, i, || text);
            }
        }
        self.run
    }
}

fn random(rng: &mut StdRng, range: (u64, u64)) -> u64 {
    rng.random_range(range.0..=range.1)
}

/// Shows a sidecar a load that took `duration` ms, before the simulation starts.
fn measure_load(slots: &mut Slots<usize>, duration: u64) {
    let ms = Micros::from_millis;
    let mut announced = Versions::default();
    announced.record(ms(0), 1, false);
    let outdated = OutdatedWeights {
        model: MODEL,
        version: 0,
        announced: &announced,
    };
    let group = Group {
        engine: 0,
        rank: 0,
        hosts: 1,
        allowed: ms(ALLOWED),
    };
    let mut ordered = false;
    for at in (0..2_000).step_by(POLL_INTERVAL as usize).map(ms) {
        slots.report(at, &[(MODEL, 0)], false);
        slots.schedule(at, &group, Some(&outdated));
        if slots.step(at, &[], true, 1).orders {
            slots.ordered(at, Outcome::Accepted);
            slots.report(at, &[(MODEL, 0)], true);
            slots.report(at + ms(duration), &[(MODEL, 1)], false);
            ordered = true;
            break;
        }
    }
    assert!(ordered, "no load before the start");
}

/// Says what a sidecar that ordered `last` knew of the sidecar that ordered `other` before.
fn cause(last: &Order, other: &Order, load: &Load, restarted: bool) -> &'static str {
    let view = &last.views[other.node];
    let answered = view.answer_age.is_some_and(|a| a <= ANSWER_LIFETIME);
    let in_claim = view.answer_age.is_some_and(|a| a <= last.claimed);
    let Some(state) = view.state.as_ref() else {
        return "no answer, nothing known";
    };
    let age = view.age.unwrap_or_default();
    let unused = state.due.map(|d| d.as_millis() + age);
    let is_unused = unused.is_some_and(|u| u > STUCK_AFTER);
    let earlier_order = unused.is_some_and(|u| u > last.taken - other.taken + 2 * ANSWER_LIFETIME);
    let lease = state.load_time.map_or(0, |l| 2 * l.as_millis());
    let paused = last.gap > 2 * ANSWER_LIFETIME;
    match () {
        () if state.loading.is_none() && answered && restarted => "answer: idle, restarted",
        () if state.loading.is_none() && answered && load.start > last.taken => {
            "answer: idle, order under way"
        }
        () if state.loading.is_none() && answered => "answer: idle",
        () if state.loading.is_none() && paused => "no answer, last state idle, claim paused",
        () if state.loading.is_none() && in_claim => "old answer in the claim: idle",
        () if state.loading.is_none() => "no answer, last state idle",
        () if is_unused && earlier_order && answered => {
            "answer: loading, but unused since an earlier order"
        }
        () if is_unused && answered => "answer: loading, but unused since its own order",
        () if is_unused && earlier_order => {
            "no answer, last state loading, but unused since an earlier order"
        }
        () if is_unused => "no answer, last state loading, but unused by its age",
        () if age >= lease.max(UPDATE_LEASE) => "no answer, last state loading, but lease over",
        () => "counted as loading",
    }
}

/// The parts of a state that a decision uses.
fn brief(state: &Option<State>) -> String {
    let Some(s) = state else {
        return "unreachable".to_owned();
    };
    let ms = |t: Option<Micros>| t.map(Micros::as_millis);
    let version = s.weights.first().map(|w| w.1);
    format!(
        "version {version:?} loading {:?} due {:?} claims {}",
        ms(s.loading),
        ms(s.due),
        s.claims
    )
}
