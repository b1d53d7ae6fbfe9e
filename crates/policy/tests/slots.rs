//! Slots for loads of weights: single sidecars step by step, and pools in virtual time whose updates are
//! lost, delayed and out of order while sidecars are paused, killed and started.

use std::collections::BTreeMap;

use model::Micros;
use policy::slots::{Ask, Group, Lack, ModelKey, Outcome, Slots, State};
use policy::versions::Versions;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const MODEL: ModelKey = ModelKey(7);
/// Pause between two looks of a sidecar at its engine.
const LOOK: u64 = 50;
/// Step of virtual time.
const TICK: u64 = 5;
/// Age of an engine's report.
const REPORT: u64 = 200;
/// Interval at which state is reported while weights change.
const RENEW: u64 = 500;

fn ms(n: u64) -> Micros {
    Micros::from_millis(n)
}

fn group(engine: u64, hosts: usize) -> Group {
    Group {
        engine,
        rank: engine as usize,
        hosts,
        allowed: ms(60_000),
    }
}

fn named(version: u64, at: Micros) -> Versions {
    let mut named = Versions::default();
    named.name(at, version, false);
    named
}

fn lack(named: &Versions) -> Lack<'_> {
    Lack {
        model: MODEL,
        version: 1,
        named,
    }
}

/// An order without an answer that the engine carries out for longer than an unused slot counts.
#[test]
fn load_whose_order_had_no_answer_keeps_its_slot() {
    let named = named(2, ms(1_000));
    let mut loads: Slots<u8> = Slots::default();
    let mut other: Slots<u8> = Slots::default();
    let mut ordered = false;
    for now in (1_000..4_000).step_by(50).map(ms) {
        loads.report(now, &[(MODEL, 1)], ordered);
        other.report(now, &[(MODEL, 1)], false);
        let third = State {
            engine: 3,
            weights: vec![(MODEL, 2)],
            sent: now,
            ..State::default()
        };
        loads.receive(now, 3, Some(third.clone()));
        other.receive(now, 3, Some(third));
        loads.schedule(now, &group(1, 3), Some(&lack(&named)));
        if step(&mut loads, now, &[3]) {
            loads.ordered(now, Outcome::Unknown);
            ordered = true;
        }
        let state = loads.state(now, 1, vec![(MODEL, 1)]);
        other.receive(now, 1, Some(state));
        if !ordered {
            continue;
        }
        other.schedule(now, &group(2, 3), Some(&lack(&named)));
        assert!(!step(&mut other, now, &[1, 3]), "two load at {now:?}");
    }
    assert!(ordered);
}

/// An engine that couldn't be ordered for longer than an unused slot counts, and is then.
#[test]
fn order_that_comes_late_keeps_its_slot() {
    let named = named(2, ms(1_000));
    let mut late: Slots<u8> = Slots::default();
    let mut other: Slots<u8> = Slots::default();
    let mut ordered = None;
    for at in (1_000..4_000).step_by(50) {
        let now = ms(at);
        late.report(now, &[(MODEL, 1)], false);
        let may = at >= 2_500;
        let third = State {
            engine: 3,
            weights: vec![(MODEL, 2)],
            sent: now,
            ..State::default()
        };
        late.receive(now, 3, Some(third));
        late.schedule(now, &group(1, 3), Some(&lack(&named)));
        if step_if(&mut late, now, &[3], may) {
            late.ordered(now, Outcome::Unknown);
            ordered = ordered.or(Some(at));
        }
        other.report(now, &[(MODEL, 1)], false);
        let state = late.state(now, 1, vec![(MODEL, 1)]);
        other.receive(now, 1, Some(state));
        let Some(ordered) = ordered.filter(|o| at < o + 450) else {
            continue;
        };
        other.schedule(now, &group(2, 2), Some(&lack(&named)));
        let loads = step(&mut other, now, &[1]);
        assert!(!loads, "two load {} ms after the order", at - ordered);
    }
    assert!(ordered.is_some());
}

/// Lets a sidecar take its next step, with all asks answered at once; true if it orders a load.
fn step(slots: &mut Slots<u8>, now: Micros, peers: &[u8]) -> bool {
    step_if(slots, now, peers, true)
}

/// The same if its engine can be ordered.
fn step_if(slots: &mut Slots<u8>, now: Micros, peers: &[u8], ordered: bool) -> bool {
    let step = slots.step(now, peers, ordered, 1);
    if let Some((ask, to)) = step.asks {
        to.into_iter().for_each(|k| slots.answered(k, ask));
    }
    step.orders
}

/// A pool and what happens to it.
#[derive(Clone, Debug)]
struct Play {
    engines: usize,
    /// How long a load takes.
    load: u64,
    /// Most engines that may load at a time.
    most: usize,
    /// When versions 2, 3 and so on are named.
    named: Vec<u64>,
    /// How much later a sidecar may receive a version than another one.
    apart: u64,
    /// Part of the datagrams that are lost, and longest delay of the others.
    loss: f64,
    delay: u64,
    /// Chance a second that a sidecar is paused, or killed and started again; it lasts for up to 3 s.
    pauses: f64,
    kills: f64,
    /// Part of the orders that have no answer.
    unanswered: f64,
    /// Sidecars that start only after the first version was named.
    joins: usize,
    /// A sidecar that is stopped once.
    stop: Option<Stop>,
    by: u64,
}

/// A sidecar is paused, or killed and started again.
#[derive(Clone, Copy, Debug)]
struct Stop {
    who: usize,
    killed: bool,
    at: u64,
    lasts: u64,
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
            pauses: 0.0,
            kills: 0.0,
            unanswered: 0.0,
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
    state: State,
    ask: Option<Ask>,
    answer: Option<Ask>,
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
    sent: State,
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
struct Sim<'a> {
    play: &'a Play,
    rng: StdRng,
    nodes: Vec<Node>,
    /// Datagrams on their way by arrival.
    wire: BTreeMap<(u64, u64), (usize, Datagram)>,
    sent: u64,
}

impl<'a> Sim<'a> {
    fn new(play: &'a Play, seed: u64) -> Self {
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
            sent: State::default(),
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
        Datagram {
            from: i,
            state,
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
                n.sent = State::default();
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
            n.slots.receive(at, d.from, Some(d.state));
            if let Some(answer) = d.answer {
                n.slots.answered(d.from, answer);
            }
            if let (Some(ask), true) = (d.ask, n.slots.answers(at)) {
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
                    .name(at, version, at < ms(3_000) && received < n.start);
            }
        }
        let others: Vec<_> = (0..self.play.engines).filter(|o| *o != i).collect();
        let n = &mut self.nodes[i];
        let (at, then) = (n.now(now), now.saturating_sub(REPORT));
        let (version, busy) = (n.version(then), n.busy(then));
        n.slots.report(at, &[(MODEL, version)], busy);
        let lack = (n.named.newest() > version).then_some(Lack {
            model: MODEL,
            version,
            named: &n.named,
        });
        n.slots
            .schedule(at, &group(i as u64, self.play.engines), lack.as_ref());
        let step = n.slots.step(at, &others, !busy, self.rng.random());
        if step.orders && !n.busy(now) {
            n.loads.push((now, now + self.play.load, n.named.newest()));
        }
        if let Some((ask, to)) = step.asks {
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
        let timeless = State {
            sent: Micros::ZERO,
            due: update.state.due.map(|_| Micros::ZERO),
            loading: update.state.loading.map(|_| Micros::ZERO),
            ..update.state.clone()
        };
        let n = &mut self.nodes[i];
        let at = n.now(now);
        let renew = now >= n.renewed + RENEW && n.slots.under_way(at);
        if n.slots.answers(at) && (timeless != n.sent || renew) {
            n.sent = timeless;
            n.renewed = now;
            self.broadcast(now, &update);
        }
    }

    /// Most loads at a time, and when all engines had the newest weights.
    fn run(mut self) -> (usize, Option<u64>) {
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
                if (now + 7 * i as u64) % LOOK < TICK {
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

/// Agreement that rests on single datagrams, or on state from before a pause, lets two engines load.
#[test]
fn no_more_engines_load_than_may_whatever_happens_to_sidecars_and_datagrams() {
    struct Case {
        name: &'static str,
        play: Play,
    }
    let base = Play::default;
    let nine = || Play {
        engines: 9,
        most: 2,
        by: 60_000,
        ..base()
    };
    #[rustfmt::skip]
    let cases = [
        Case { name: "nothing goes wrong", play: base() },
        Case { name: "nothing goes wrong, nine", play: nine() },
        Case { name: "datagrams are lost", play: Play { loss: 0.3, ..base() } },
        Case { name: "datagrams are lost, nine", play: Play { loss: 0.3, ..nine() } },
        Case { name: "datagrams are late and overtake one another", play: Play { delay: 100, ..base() } },
        Case { name: "sidecars are paused", play: Play { pauses: 0.5, ..base() } },
        Case { name: "sidecars are paused, nine", play: Play { pauses: 0.2, ..nine() } },
        Case { name: "sidecars are killed and start again", play: Play { kills: 0.3, ..base() } },
        Case { name: "sidecars start during the change", play: Play { joins: 2, ..base() } },
        Case { name: "two versions in a row", play: Play { named: vec![2_000, 2_100], apart: 400, ..base() } },
        Case { name: "two versions in a row, nine", play: Play { named: vec![2_000, 2_900], apart: 400, ..nine() } },
        Case { name: "orders have no answer", play: Play { unanswered: 0.5, load: 1_400, ..base() } },
        Case { name: "all of it", play: Play { named: vec![2_000, 3_500], apart: 300, loss: 0.2, delay: 60, pauses: 0.2, kills: 0.1, unanswered: 0.2, joins: 1, by: 40_000, ..base() } },
    ];
    let seeds = std::env::var("SLOT_SEEDS")
        .ok()
        .and_then(|s| s.parse().ok());
    for c in cases {
        for seed in 0..seeds.unwrap_or(40) {
            let (most, done) = Sim::new(&c.play, seed).run();
            assert!(
                most <= c.play.most,
                "{}, seed {seed}: {most} load at a time",
                c.name
            );
            assert!(
                done.is_some(),
                "{}, seed {seed}: not all have the newest",
                c.name
            );
        }
    }
}

/// A sidecar acts on what it knew before it was stopped, at whatever step of the change that was.
#[test]
fn stopped_sidecar_loads_beside_no_other_one() {
    struct Case {
        name: &'static str,
        play: Play,
    }
    let base = Play::default;
    #[rustfmt::skip]
    let cases = [
        Case { name: "nothing else", play: base() },
        Case { name: "datagrams are lost", play: Play { loss: 0.3, ..base() } },
        Case { name: "datagrams are late", play: Play { delay: 60, ..base() } },
        Case { name: "a second version", play: Play { named: vec![2_000, 2_600], apart: 200, loss: 0.1, ..base() } },
    ];
    for c in cases {
        for n in 0..3 * 26 * 5 * 2 {
            let stop = Stop {
                who: n % 3,
                killed: n / 3 % 2 == 0,
                at: 1_900 + 100 * (n as u64 / 6 % 26),
                lasts: [100, 300, 700, 1_700, 2_500][n / 156],
            };
            let play = Play {
                stop: Some(stop),
                ..c.play.clone()
            };
            let (most, done) = Sim::new(&play, n as u64).run();
            assert_eq!(most, 1, "{}, {stop:?}: engines that load at a time", c.name);
            assert!(
                done.is_some(),
                "{}, {stop:?}: not all have the newest",
                c.name
            );
        }
    }
}
