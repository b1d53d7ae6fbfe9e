//! Engines on which no sidecar reports: which entry acts, when the right to send orders passes on, and which
//! prompts may still be sent to old weights.

use model::Micros;
use policy::delegate::{self, Config, Engine, Entry, Reporter};
use policy::holder::Holder;
use policy::versions;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// How long orders of two processes stay apart.
const LEASE: u64 = 3_000;
/// Age of an engine's report when read from another host.
const LAG: u64 = 200;
/// Interval at which a process acts, in milliseconds.
const INTERVAL: u64 = 250;

fn ms(n: u64) -> Micros {
    Micros::from_millis(n)
}

/// Guards against an entry that acts beside a live agent, or doesn't act at all.
#[test]
fn silence_and_rank_decide_which_entry_acts() {
    struct Case {
        name: &'static str,
        sidecar: bool,
        reporter: Reporter,
        silence: u64,
        rank: usize,
        acting: bool,
        acts: bool,
    }
    use Reporter::{Delegate, None, Sidecar};
    #[rustfmt::skip]
    let cases = [
        Case { name: "just listed", sidecar: false, reporter: None, silence: 1_900, rank: 0, acting: false, acts: false },
        Case { name: "no sidecar", sidecar: false, reporter: None, silence: 2_000, rank: 0, acting: false, acts: true },
        Case { name: "no sidecar, second rank", sidecar: false, reporter: None, silence: 2_000, rank: 1, acting: false, acts: false },
        Case { name: "no sidecar, the first rank is gone", sidecar: false, reporter: None, silence: 3_500, rank: 1, acting: false, acts: true },
        Case { name: "the sidecar restarts", sidecar: true, reporter: Sidecar, silence: 4_000, rank: 0, acting: false, acts: false },
        Case { name: "the sidecar is a member but has never reported", sidecar: true, reporter: None, silence: 5_900, rank: 0, acting: false, acts: false },
        Case { name: "the sidecar is gone", sidecar: true, reporter: Sidecar, silence: 6_000, rank: 0, acting: false, acts: true },
        Case { name: "the sidecar is back", sidecar: true, reporter: Sidecar, silence: 50, rank: 0, acting: true, acts: false },
        Case { name: "a delegate reports", sidecar: false, reporter: Delegate(3), silence: 200, rank: 0, acting: false, acts: false },
        Case { name: "a delegate is lost", sidecar: false, reporter: Delegate(3), silence: 1_500, rank: 0, acting: false, acts: true },
        Case { name: "an entry of lower rank acts too", sidecar: false, reporter: Delegate(0), silence: 200, rank: 1, acting: true, acts: false },
        Case { name: "an entry of higher rank acts too", sidecar: false, reporter: Delegate(2), silence: 200, rank: 1, acting: true, acts: true },
        Case { name: "no other process reports, the entry continues", sidecar: false, reporter: None, silence: 60_000, rank: 4, acting: true, acts: true },
    ];
    for c in cases {
        let engine = Engine {
            sidecar: c.sidecar,
            reporter: c.reporter,
            silence: ms(c.silence),
        };
        let acts = delegate::acts(&Config::default(), &engine, c.rank, c.acting);
        assert_eq!(acts, c.acts, "{}", c.name);
    }
}

/// Guards against one entry acting for all engines of a pool, or an entry in another failure domain.
#[test]
fn ranks_spread_engines_over_the_entries_of_their_domain() {
    let entries: Vec<_> = (0..6)
        .map(|i| Entry {
            host: 100 + i,
            domain: i / 3,
        })
        .collect();
    let mut first = [0; 6];
    for engine in 0..300 {
        let rank = |own: &Entry| {
            let others = entries.iter().filter(|e| *e != own).copied();
            delegate::rank(engine, 0, *own, others)
        };
        let mut ranks: Vec<_> = entries.iter().map(rank).collect();
        let winner = ranks.iter().position(|p| *p == 0).expect("a first one");
        first[winner] += 1;
        assert!(entries[winner].domain == 0, "engine {engine}");
        ranks.sort_unstable();
        assert_eq!(ranks, [0, 1, 2, 3, 4, 5], "engine {engine}");
    }
    assert!(first[..3].iter().all(|n| *n > 60), "{first:?}");
}

/// Guards against a prompt that waits at an engine and begins on weights that are too old by then.
#[test]
fn prompt_goes_to_older_weights_only_if_it_begins_in_time() {
    struct Case {
        queue: u64,
        last: u64,
    }
    let cases = [
        Case {
            queue: 100,
            last: 6_400,
        },
        Case {
            queue: 1_000,
            last: 5_600,
        },
        Case {
            queue: 3_000,
            last: 1_600,
        },
    ];
    let allowed = ms(8_000);
    for c in cases {
        let sent = |at: &u64| versions::may_begin(allowed, ms(*at), ms(c.queue));
        let last = (0..=8_000).rev().step_by(50).find(sent).expect("at first");
        assert_eq!(last, c.last, "queue of {} ms", c.queue);
        // A queue that takes twice as long as expected doesn't outlast the time allowed.
        assert!(ms(last + 2 * c.queue) < allowed, "queue of {} ms", c.queue);
    }
}

/// A process that may send orders to the engine.
struct Process {
    entry: Entry,
    sidecar: bool,
    holder: Holder,
    acting: bool,
    /// Time at which the process starts.
    start: u64,
    /// Time until which the process is paused.
    paused: u64,
    /// The last report from another process: its index and the time.
    last_report: Option<(usize, u64)>,
    report: (u64, u64),
}

/// Faults that occur at the processes of one engine.
#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    sidecar: bool,
    loss: f64,
    /// Probability per second that a process is killed.
    kills: f64,
    /// Probability per second that a process is paused.
    pauses: f64,
}

/// Guards against orders of two holders that arrive out of order at an engine that doesn't check fencing tokens.
#[test]
fn orders_of_two_processes_stay_a_lease_apart_under_all_faults() {
    #[rustfmt::skip]
    let scenarios = [
        Scenario { name: "no faults", sidecar: false, loss: 0.0, kills: 0.0, pauses: 0.0 },
        Scenario { name: "entries are killed", sidecar: false, loss: 0.1, kills: 0.05, pauses: 0.0 },
        Scenario { name: "entries are paused", sidecar: false, loss: 0.1, kills: 0.0, pauses: 0.1 },
        Scenario { name: "entries are partitioned", sidecar: false, loss: 1.0, kills: 0.02, pauses: 0.0 },
        Scenario { name: "the sidecar is killed and paused", sidecar: true, loss: 0.1, kills: 0.05, pauses: 0.05 },
        Scenario { name: "the sidecar is partitioned", sidecar: true, loss: 1.0, kills: 0.0, pauses: 0.0 },
    ];
    for p in scenarios {
        let mut given = 0;
        for seed in 0..60 {
            given += simulate(p, seed);
        }
        assert!(given > 60, "{}: {given} orders", p.name);
    }
}

/// Simulates two minutes of an engine whose weights are always outdated; returns the number of accepted orders.
fn simulate(p: Scenario, seed: u64) -> usize {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut all: Vec<_> = (0..4).map(|i| process(i, p.sidecar && i == 0)).collect();
    let mut orders: Vec<(u64, usize)> = Vec::new();
    for now in (0..120_000).step_by(INTERVAL as usize) {
        for (i, one) in all.iter_mut().enumerate() {
            let lasts = rng.random_range(500..9_000);
            if rng.random_bool(p.kills * INTERVAL as f64 / 1_000.0) {
                *one = process(i, one.sidecar);
                one.start = now + lasts / 4;
            }
            if rng.random_bool(p.pauses * INTERVAL as f64 / 1_000.0) {
                one.paused = now + lasts;
            }
        }
        for i in 0..all.len() {
            if now < all[i].start || now < all[i].paused {
                continue;
            }
            act(&mut all, i, now);
            if all[i].sidecar && !rng.random_bool(p.loss) {
                ask(&mut all, i, now);
            }
            if !all[i].acting {
                continue;
            }
            for to in (0..all.len()).filter(|to| *to != i) {
                if !rng.random_bool(p.loss) {
                    all[to].last_report = Some((i, now));
                }
            }
            order(&mut all[i], i, now, &mut orders);
        }
    }
    for pair in orders.windows(2) {
        let apart = pair[1].0 - pair[0].0;
        let same = pair[0].1 == pair[1].1;
        assert!(same || apart >= LEASE, "{}, seed {seed}: {pair:?}", p.name);
    }
    orders.len()
}

fn process(i: usize, sidecar: bool) -> Process {
    Process {
        entry: Entry {
            host: i as u64,
            domain: 0,
        },
        sidecar,
        holder: Holder::new(ms(LEASE)),
        acting: sidecar,
        start: 0,
        paused: 0,
        last_report: None,
        report: (0, 0),
    }
}

/// Reports to a sidecar for how long no entry has acted for it.
fn ask(all: &mut [Process], i: usize, now: u64) {
    if !all[i].holder.has_unknown_orders(ms(now)) {
        return;
    }
    let there = all
        .iter()
        .filter(|o| !o.sidecar && now >= o.start && now >= o.paused);
    let quiet: Vec<_> = there
        .map(|o| match o.last_report.filter(|(from, _)| *from != i) {
            _ if o.acting => 0,
            Some((_, at)) => now - at,
            None => now - o.start,
        })
        .collect();
    for q in quiet {
        all[i].holder.record_quiet(ms(now), ms(q));
    }
}

/// Updates whether a process acts.
fn act(all: &mut [Process], i: usize, now: u64) {
    if all[i].sidecar {
        return;
    }
    let entries: Vec<_> = all.iter().filter(|o| !o.sidecar).map(|o| o.entry).collect();
    let rank = |own: Entry| {
        let others = entries.iter().filter(|e| **e != own).copied();
        delegate::rank(7, 0, own, others)
    };
    let reporter = match all[i].last_report {
        None => Reporter::None,
        Some((from, _)) if all[from].sidecar => Reporter::Sidecar,
        Some((from, _)) => Reporter::Delegate(rank(all[from].entry)),
    };
    let reported_at = all[i].last_report.map_or(all[i].start, |(_, at)| at);
    let engine = Engine {
        sidecar: all.iter().any(|o| o.sidecar),
        reporter,
        // After a pause, silence counts from the end of the pause.
        silence: ms(now - reported_at.max(all[i].paused).min(now)),
    };
    let (acting, own) = (all[i].acting, rank(all[i].entry));
    let acts = delegate::acts(&Config::default(), &engine, own, acting);
    if acts && !acting {
        all[i].holder = Holder::new(ms(LEASE));
    }
    all[i].acting = acts;
}

/// Lets a process read the engine's report and send an order, if it may.
fn order(process: &mut Process, i: usize, now: u64, orders: &mut Vec<(u64, usize)>) {
    let lag = if process.sidecar { 0 } else { LAG };
    let count = orders.iter().filter(|(at, _)| *at + lag <= now).count() as u64;
    process.holder.update_count(ms(now), count);
    process.report = (now, count);
    if !process.holder.may_order(ms(now)) || !now.is_multiple_of(1_000) {
        return;
    }
    // The engine refuses an order with an outdated count.
    if count == orders.len() as u64 {
        process.holder.record_order();
        orders.push((now, i));
    }
}
