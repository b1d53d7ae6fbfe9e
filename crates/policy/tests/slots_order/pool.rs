//! A pool whose sidecars and engines follow a script: every event has its time, and nothing is random.

use std::collections::BTreeMap;

use model::Micros;
use policy::contact::Query;
use policy::slots::{Group, ModelKey, Outcome, OutdatedWeights, Slots, State};
use policy::versions::Versions;

/// Step of virtual time, in ms.
const TICK: u64 = 5;
/// Interval at which state is reported while weights change, in ms.
const RENEW_INTERVAL: u64 = 500;
/// Delay of a datagram, in ms.
const DELAY: u64 = 5;
const MODEL: ModelKey = ModelKey(7);

fn ms(n: u64) -> Micros {
    Micros::from_millis(n)
}

/// One host from a time up to another, in ms.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Span {
    pub(crate) host: usize,
    pub(crate) from: u64,
    pub(crate) to: u64,
}

/// What becomes of an order. Times are in ms after the slot was taken.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fate {
    pub(crate) host: usize,
    /// Number of the host's order, from 0.
    pub(crate) number: usize,
    /// When the engine carries out the order, if it does.
    pub(crate) starts: Option<u64>,
    /// When the sidecar has the outcome.
    pub(crate) ends: u64,
    pub(crate) outcome: Outcome,
}

/// A version that all hosts receive, `except` one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Announcement {
    pub(crate) version: u64,
    pub(crate) at: u64,
    pub(crate) except: Option<usize>,
}

/// The events of one run. Times are in ms.
#[derive(Clone, Debug)]
pub(crate) struct Script {
    pub(crate) hosts: usize,
    pub(crate) poll: u64,
    /// Time by which the polls of a host are later than those of the host before.
    pub(crate) phase: u64,
    /// Time by which the interval of polls of a host is longer than that of the host before.
    pub(crate) drift: u64,
    /// Age of an engine's report.
    pub(crate) report_age: u64,
    /// How long loads take, by host; the last figure is that of all further hosts.
    pub(crate) loads: Vec<u64>,
    pub(crate) announced: Vec<Announcement>,
    /// Paused sidecars.
    pub(crate) paused: Vec<Span>,
    /// Killed sidecars, until they start again.
    pub(crate) killed: Vec<Span>,
    /// Engines whose reports are late.
    pub(crate) late: Vec<Span>,
    /// Engines that can't be ordered.
    pub(crate) unorderable: Vec<Span>,
    /// Sidecars that have no right to order their engine.
    pub(crate) barred: Vec<Span>,
    /// Sidecars whose updates are lost, other than those that come with a query or an answer.
    pub(crate) lost: Vec<Span>,
    /// Pairs of sidecars between which all datagrams are lost.
    pub(crate) cuts: Vec<(usize, Span)>,
    pub(crate) fates: Vec<Fate>,
    /// Fate of all further orders of a host.
    pub(crate) last_fate: Option<Fate>,
    /// Time allowed for the whole pool to change weights.
    pub(crate) allowed: u64,
    pub(crate) deadline: u64,
}

impl Default for Script {
    fn default() -> Self {
        Self {
            hosts: 3,
            poll: 50,
            phase: 10,
            drift: 0,
            report_age: 200,
            loads: vec![600],
            announced: vec![announcement(2, 2_000)],
            paused: Vec::new(),
            killed: Vec::new(),
            late: Vec::new(),
            unorderable: Vec::new(),
            barred: Vec::new(),
            lost: Vec::new(),
            cuts: Vec::new(),
            fates: Vec::new(),
            last_fate: None,
            allowed: 60_000,
            deadline: 30_000,
        }
    }
}

pub(crate) fn announcement(version: u64, at: u64) -> Announcement {
    Announcement {
        version,
        at,
        except: None,
    }
}

fn holds(spans: &[Span], host: usize, now: u64) -> bool {
    spans
        .iter()
        .any(|s| s.host == host && s.from <= now && now < s.to)
}

#[derive(Clone, Debug)]
struct Datagram {
    from: usize,
    /// `None` for an engine that doesn't answer and isn't known to load.
    state: Option<State>,
    query: Option<Query>,
    answer: Option<Query>,
}

/// A load of an engine, with its times in ms.
#[derive(Clone, Copy, Debug)]
struct Load {
    host: usize,
    start: u64,
    end: u64,
    version: u64,
}

#[derive(Debug)]
struct Host {
    slots: Slots<usize>,
    announced: Versions,
    /// When the sidecar's process started.
    start: u64,
    process: u64,
    inbox: Vec<Datagram>,
    is_late: bool,
    last_sent: Option<State>,
    last_renewal: u64,
    orders: usize,
    /// Outcome of the order that the sidecar waits for, and when it has it.
    awaits: Option<(u64, Outcome)>,
}

impl Host {
    fn new(start: u64, process: u64) -> Self {
        Self {
            slots: Slots::default(),
            announced: Versions::default(),
            start,
            process,
            inbox: Vec::new(),
            is_late: false,
            last_sent: None,
            last_renewal: 0,
            orders: 0,
            awaits: None,
        }
    }

    fn clock(&self, now: u64) -> Micros {
        ms(now - self.start)
    }
}

/// What a run showed.
#[derive(Debug)]
pub(crate) struct Run {
    /// Most engines that loaded at a time.
    pub(crate) most: usize,
    /// Hosts and times of orders.
    pub(crate) orders: Vec<(usize, u64)>,
    /// Versions of the engines' weights at the end.
    pub(crate) versions: Vec<u64>,
    /// Orders, outcomes and loads, one a line.
    pub(crate) trace: String,
}

struct Pool<'a> {
    script: &'a Script,
    hosts: Vec<Host>,
    loads: Vec<Load>,
    orders: Vec<(usize, u64)>,
    in_flight: BTreeMap<(u64, u64), (usize, Datagram)>,
    sequence: u64,
    trace: String,
}

/// Runs a script to its deadline.
pub(crate) fn run(script: &Script) -> Run {
    let hosts = (0..script.hosts).map(|i| Host::new(0, i as u64 + 1));
    let mut pool = Pool {
        script,
        hosts: hosts.collect(),
        loads: Vec::new(),
        orders: Vec::new(),
        in_flight: BTreeMap::new(),
        sequence: 0,
        trace: String::new(),
    };
    let mut most = 0;
    for now in (0..script.deadline).step_by(TICK as usize) {
        pool.tick(now);
        let busy = (0..script.hosts).filter(|i| pool.busy(*i, now));
        most = most.max(busy.count());
    }
    let versions = 0..script.hosts;
    Run {
        most,
        versions: versions.map(|i| pool.version(i, script.deadline)).collect(),
        orders: pool.orders,
        trace: pool.trace,
    }
}

impl Pool<'_> {
    fn note(&mut self, now: u64, text: &str) {
        self.trace.push_str(&format!("\n{now} ms: {text}"));
    }

    fn version(&self, host: usize, at: u64) -> u64 {
        let done = self.loads.iter().filter(|l| l.host == host && l.end <= at);
        done.map(|l| l.version).max().unwrap_or(1)
    }

    fn busy(&self, host: usize, at: u64) -> bool {
        let mut loads = self.loads.iter().filter(|l| l.host == host);
        loads.any(|l| l.start <= at && at < l.end)
    }

    fn tick(&mut self, now: u64) {
        while let Some(entry) = self.in_flight.first_entry().filter(|e| e.key().0 <= now) {
            let (to, datagram) = entry.remove();
            self.hosts[to].inbox.push(datagram);
        }
        for i in 0..self.hosts.len() {
            if holds(&self.script.killed, i, now) {
                let orders = self.hosts[i].orders;
                self.hosts[i] = Host::new(now + TICK, now * 100 + i as u64);
                self.hosts[i].orders = orders;
                continue;
            }
            if holds(&self.script.paused, i, now) {
                continue;
            }
            if let Some((_, outcome)) = self.hosts[i].awaits.filter(|a| a.0 <= now) {
                let at = self.hosts[i].clock(now);
                self.hosts[i].awaits = None;
                self.hosts[i].slots.ordered(at, outcome);
                self.report_state(now, i);
            }
            // A process that resumes after a pause polls its engine before it reads waiting datagrams.
            let interval = self.script.poll + self.script.drift * i as u64;
            let offset = self.script.phase * i as u64;
            let polls = (now + interval - offset % interval) % interval;
            if polls < TICK && self.hosts[i].awaits.is_none() {
                self.poll(now, i);
            }
            self.receive(now, i);
        }
    }

    fn send(&mut self, now: u64, to: usize, datagram: Datagram) {
        let is_update = datagram.query.is_none() && datagram.answer.is_none();
        if is_update && holds(&self.script.lost, datagram.from, now) {
            return;
        }
        let joins = |one: usize, other: usize| (one, other) == (datagram.from, to);
        let mut cuts = self.script.cuts.iter();
        if cuts.any(|(one, s)| {
            (joins(*one, s.host) || joins(s.host, *one)) && s.from <= now && now < s.to
        }) {
            return;
        }
        self.sequence += 1;
        let key = (now + DELAY, self.sequence);
        self.in_flight.insert(key, (to, datagram));
    }

    fn datagram(&self, now: u64, i: usize) -> Datagram {
        let host = &self.hosts[i];
        let weights = vec![(
            MODEL,
            self.version(i, now.saturating_sub(self.script.report_age)),
        )];
        let mut state = host.slots.state(host.clock(now), i as u64, weights);
        state.process = host.process;
        let unreachable = host.is_late && state.loading.is_none();
        Datagram {
            from: i,
            state: (!unreachable).then_some(state),
            query: None,
            answer: None,
        }
    }

    fn receive(&mut self, now: u64, i: usize) {
        for d in std::mem::take(&mut self.hosts[i].inbox) {
            let host = &mut self.hosts[i];
            let at = host.clock(now);
            host.slots.receive(at, d.from, d.state);
            if let Some(answer) = d.answer {
                host.slots.answered(at, d.from, answer);
            }
            if let (Some(query), true) = (d.query, host.slots.can_answer(at)) {
                let mut answer = self.datagram(now, i);
                answer.answer = Some(query);
                self.send(now, d.from, answer);
            }
        }
    }

    fn poll(&mut self, now: u64, i: usize) {
        let script = self.script;
        let then = now.saturating_sub(self.script.report_age);
        let (version, busy) = (self.version(i, then), self.busy(i, then));
        let is_late = holds(&script.late, i, now);
        let others: Vec<_> = (0..script.hosts).filter(|o| *o != i).collect();
        let host = &mut self.hosts[i];
        let at = host.clock(now);
        for a in &script.announced {
            if now >= a.at && a.except != Some(i) {
                host.announced.record(at, a.version, a.at < host.start);
            }
        }
        host.is_late = is_late;
        if is_late {
            host.slots.report_missed(at);
        } else {
            host.slots.report(at, &[(MODEL, version)], busy);
            let may_order = !holds(&script.barred, i, now);
            let lacks = may_order && host.announced.newest() > version;
            let outdated = lacks.then_some(OutdatedWeights {
                model: MODEL,
                version,
                announced: &host.announced,
            });
            let group = Group {
                engine: i as u64,
                rank: i,
                hosts: script.hosts,
                allowed: ms(script.allowed),
            };
            host.slots.schedule(at, &group, outdated.as_ref());
        }
        let orderable = !busy && !is_late && !holds(&script.unorderable, i, now);
        let step = host.slots.step(at, &others, orderable, now + 1);
        if let Some((query, to)) = step.query {
            let mut datagram = self.datagram(now, i);
            datagram.query = Some(query);
            to.into_iter()
                .for_each(|to| self.send(now, to, datagram.clone()));
        }
        if step.orders {
            self.order(now, i);
        }
        self.report_state(now, i);
    }

    fn order(&mut self, now: u64, i: usize) {
        let number = self.hosts[i].orders;
        let named = |f: &&Fate| f.host == i && f.number == number;
        let accepted = Fate {
            host: i,
            number,
            starts: Some(0),
            ends: 0,
            outcome: Outcome::Accepted,
        };
        let further = self.script.last_fate.filter(|f| f.host == i);
        let fate = self.script.fates.iter().find(named).copied();
        let fate = fate.or(further).unwrap_or(accepted);
        let version = self.hosts[i].announced.newest();
        let outcome = fate.outcome;
        self.note(
            now,
            &format!(
                "host {i}: order {number}, outcome {outcome:?} after {} ms",
                fate.ends
            ),
        );
        self.orders.push((i, now));
        self.hosts[i].orders += 1;
        if let Some(start) = fate.starts.map(|s| now + s) {
            let times = &self.script.loads;
            let end = start + times[i.min(times.len() - 1)];
            self.note(now, &format!("host {i}: loads from {start} to {end} ms"));
            self.loads.push(Load {
                host: i,
                start,
                end,
                version,
            });
        }
        self.report_state(now, i);
        match fate.ends {
            0 => {
                let at = self.hosts[i].clock(now);
                self.hosts[i].slots.ordered(at, fate.outcome);
            }
            ends => self.hosts[i].awaits = Some((now + ends, fate.outcome)),
        }
    }

    /// Sends the state to all others if it has changed, and at intervals while weights change.
    fn report_state(&mut self, now: u64, i: usize) {
        let update = self.datagram(now, i);
        let timeless = update.state.clone().map(|state| State {
            sent: Micros::ZERO,
            due: state.due.map(|_| Micros::ZERO),
            loading: state.loading.map(|_| Micros::ZERO),
            ..state
        });
        let host = &mut self.hosts[i];
        let at = host.clock(now);
        let renewal = now >= host.last_renewal + RENEW_INTERVAL && host.slots.under_way(at);
        if host.slots.can_answer(at) && (timeless != host.last_sent || renewal) {
            host.last_sent = timeless;
            host.last_renewal = now;
            for to in (0..self.script.hosts).filter(|to| *to != i) {
                self.send(now, to, update.clone());
            }
        }
    }
}
