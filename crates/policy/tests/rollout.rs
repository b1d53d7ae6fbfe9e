//! Weight loads of whole pools in virtual time. Each engine decides by the last state that it has received
//! from the others, under conditions that make such decisions go wrong.

use model::Micros;
use policy::rollout::{self, Config, Engine, Pool};

/// Interval at which a sidecar decides, in ms.
const POLL_INTERVAL: u64 = 50;

fn ms(n: u64) -> Micros {
    Micros::from_millis(n)
}

/// One engine with its sidecar.
#[derive(Clone, Debug)]
struct Node {
    version: u64,
    /// Load in progress: version, start and end.
    load: Option<(u64, u64, u64)>,
    due: Option<u64>,
    /// Duration of the last load.
    load_time: Option<Micros>,
    loads: usize,
    /// Start and end of the time in which the engine neither serves nor reports.
    down: (u64, u64),
    /// Whether the sidecar never orders a load.
    never_loads: bool,
}

/// A pool and what happens to it. Times are in ms.
#[derive(Clone, Debug)]
struct Scenario {
    engines: usize,
    load_time: u64,
    /// Number of loads at a time beyond which all loads take longer.
    parallel_loads: usize,
    /// Time allowed for the whole pool to change weights.
    allowed: u64,
    /// When versions 2, 3 and so on are announced.
    announced: Vec<u64>,
    /// Number of engines that are down, with the start and end of that time.
    down: Option<(usize, u64, u64)>,
    /// Number of engines whose sidecars never order a load.
    never_loading: usize,
    /// Whether no sidecar receives updates from others.
    isolated: bool,
    /// End of the simulation.
    until: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            engines: 9,
            load_time: 1_900,
            parallel_loads: 2,
            allowed: 15_000,
            announced: vec![1_000],
            down: None,
            never_loading: 0,
            isolated: false,
            until: 40_000,
        }
    }
}

/// Result of a simulation.
#[derive(Debug)]
struct Outcome {
    /// Maximum number of engines that were loading or down at a time.
    max_unavailable: usize,
    /// Maximum number of engines that were loading at a time.
    max_loading: usize,
    loads: usize,
    /// When the last engine had the newest weights; `None` if an engine never had them.
    done: Option<u64>,
    /// Longest time for which a running engine had outdated weights.
    max_age: u64,
}

fn simulate(s: &Scenario) -> Outcome {
    let config = Config::default();
    let mut nodes: Vec<_> = (0..s.engines)
        .map(|i| Node {
            version: 1,
            load: None,
            due: None,
            load_time: None,
            loads: 0,
            down: match s.down {
                Some((n, from, to)) if i < n => (from, to),
                _ => (u64::MAX / 2, u64::MAX / 2),
            },
            never_loads: i >= s.engines - s.never_loading,
        })
        .collect();
    let mut out = Outcome {
        max_unavailable: 0,
        max_loading: 0,
        loads: 0,
        done: None,
        max_age: 0,
    };
    for now in (0..s.until).step_by(POLL_INTERVAL as usize) {
        let newest = 1 + s.announced.iter().filter(|at| **at + 150 <= now).count() as u64;
        let reported = nodes.clone();
        for (i, n) in nodes.iter_mut().enumerate() {
            let running = now < n.down.0 || now >= n.down.1;
            if !running {
                n.load = None;
                n.due = None;
                continue;
            }
            if let Some((version, since, ends)) = n.load {
                if now < ends {
                    continue;
                }
                n.version = version;
                n.load_time = Some(ms(now - since));
                n.load = None;
            }
            if n.version == newest || n.never_loads {
                continue;
            }
            if !is_due(&config, s, &reported, i, now, newest) {
                n.due = None;
                continue;
            }
            let due = *n.due.get_or_insert(now);
            // Without new requests, an engine has finished its answers after 200 ms.
            if now >= due + 200 {
                let loading = reported.iter().filter(|o| o.load.is_some()).count() + 1;
                let slow = (loading as f64 / s.parallel_loads as f64).max(1.0);
                n.load = Some((newest, now, now + (s.load_time as f64 * slow) as u64));
                n.loads += 1;
                n.due = None;
            }
        }
        let loading = nodes.iter().filter(|n| n.load.is_some()).count();
        let down = nodes.iter().filter(|n| now >= n.down.0 && now < n.down.1);
        out.max_loading = out.max_loading.max(loading);
        out.max_unavailable = out.max_unavailable.max(loading + down.count());
        let loaders = nodes.iter().filter(|n| !n.never_loads);
        let old = loaders
            .clone()
            .filter(|n| n.version < newest && (now < n.down.0 || now >= n.down.1));
        let age = |n: &Node| now.saturating_sub(s.announced[n.version as usize - 1]);
        out.max_age = old.clone().map(age).max().unwrap_or(0).max(out.max_age);
        let all = newest as usize == s.announced.len() + 1
            && loaders.clone().all(|n| n.version == newest);
        out.done = out.done.or(all.then_some(now)).filter(|_| all);
    }
    out.loads = nodes.iter().map(|n| n.loads).sum();
    out
}

/// Whether an engine is due, given the state that the others have reported.
fn is_due(
    config: &Config,
    s: &Scenario,
    reported: &[Node],
    own: usize,
    now: u64,
    newest: u64,
) -> bool {
    let rank = |i: usize| (i as u64 * 7_919 + newest) % 1_009;
    let received = |i: usize| {
        i != own && !s.isolated && (now < reported[i].down.0 + 1_500 || now >= reported[i].down.1)
    };
    if s.isolated {
        let announced = s.announced[newest as usize - 2];
        return now
            >= announced
                + rollout::isolated_start(config, own, s.engines, ms(s.allowed)).as_millis();
    }
    let engine = |i: usize, n: &Node| Engine {
        version: n.version,
        rank: rank(i),
        loading: n.load.map(|(_, since, _)| ms(now - since)),
        due: n.due.map(|at| ms(now - at)),
    };
    let others: Vec<_> = (0..reported.len())
        .filter(|i| received(*i))
        .map(|i| engine(i, &reported[i]))
        .collect();
    let own_state = engine(own, &reported[own]);
    let oldest = others
        .iter()
        .map(|o| o.version)
        .min()
        .unwrap_or(own_state.version)
        .min(own_state.version);
    let mut load_times: Vec<_> = reported.iter().filter_map(|n| n.load_time).collect();
    load_times.sort_unstable();
    let pool = Pool {
        newest,
        others: &others,
        load_time: load_times.get(load_times.len() / 2).copied(),
        allowed: ms(s.allowed),
        outdated_for: ms(now.saturating_sub(s.announced[oldest as usize - 1])),
    };
    rollout::is_due(config, &pool, &own_state)
}

#[test]
fn pools_of_all_sizes_load_a_part_at_a_time_and_in_time() {
    // Guards against too many loads at a time, which leave too few engines to serve requests, and against too
    // few, which leave old weights in use beyond the time allowed. The load time isn't known in advance.
    struct Case {
        name: &'static str,
        scenario: Scenario,
        most: usize,
        by: u64,
    }
    let pool = |engines, load_time, parallel_loads, allowed| Scenario {
        engines,
        load_time,
        parallel_loads,
        allowed,
        ..Scenario::default()
    };
    #[rustfmt::skip]
    let cases = [
        Case { name: "nine, short loads", scenario: pool(9, 100, 2, 6_000), most: 2, by: 6_000 },
        Case { name: "nine, loads of 2 s", scenario: pool(9, 1_900, 2, 15_000), most: 2, by: 15_000 },
        Case { name: "nine, loads of 5 s: more at a time, as the time would run out", scenario: pool(9, 5_000, 4, 15_000), most: 4, by: 20_000 },
        Case { name: "a pool of two never loads as a whole", scenario: pool(2, 1_900, 2, 15_000), most: 1, by: 15_000 },
        Case { name: "a pool of three", scenario: pool(3, 4_000, 2, 15_000), most: 1, by: 15_000 },
        Case { name: "one engine alone", scenario: pool(1, 1_900, 2, 15_000), most: 1, by: 15_000 },
        Case { name: "56 engines", scenario: pool(56, 1_900, 11, 20_000), most: 11, by: 20_000 },
        Case { name: "200 engines", scenario: pool(200, 4_000, 40, 30_000), most: 50, by: 30_000 },
    ];
    for c in cases {
        let o = simulate(&c.scenario);
        assert!(o.max_loading <= c.most, "{}: {o:?}", c.name);
        assert!(
            o.done.is_some_and(|at| at - 1_000 <= c.by),
            "{}: {o:?}",
            c.name
        );
        assert_eq!(
            o.loads, c.scenario.engines,
            "{}: loads without need",
            c.name
        );
    }
}

#[test]
fn superseded_versions_are_skipped() {
    // Guards against engines that load all of four versions announced within 12 s, at 10 s per round, and so
    // are unavailable half of the time. Also guards against old weights in use beyond the time allowed.
    let o = simulate(&Scenario {
        announced: vec![2_000, 5_000, 9_000, 13_000],
        ..Scenario::default()
    });
    assert!(o.max_loading <= 4, "more than half: {o:?}");
    assert!(o.loads <= 27, "four rounds of nine would be 36: {o:?}");
    assert!(o.max_age <= 15_000, "{o:?}");
    assert!(o.done.is_some_and(|at| at <= 28_000), "{o:?}");
}

#[test]
fn engines_without_power_delay_no_load() {
    // Guards against waiting for a third of the pool that loses power when new weights are announced. It is
    // back with the old weights 10 s later and then loads in the same order as the others.
    let o = simulate(&Scenario {
        down: Some((3, 1_100, 11_000)),
        ..Scenario::default()
    });
    assert!(o.max_loading <= 3, "{o:?}");
    assert!(o.max_unavailable <= 5, "{o:?}");
    assert!(o.done.is_some_and(|at| at <= 18_000), "{o:?}");
}

#[test]
fn sidecar_that_never_orders_delays_no_load() {
    // Guards against a pool that keeps old weights because it waits for two sidecars whose orders are refused
    // again and again.
    let o = simulate(&Scenario {
        never_loading: 2,
        ..Scenario::default()
    });
    assert!(o.done.is_some_and(|at| at <= 15_000), "{o:?}");
}

#[test]
fn isolated_sidecars_dont_load_all_at_once() {
    // Guards against simultaneous loads when all updates between sidecars are lost and each knows only its
    // rank and the number of the others.
    for (engines, most) in [(9, 4), (56, 22)] {
        let o = simulate(&Scenario {
            engines,
            parallel_loads: most,
            isolated: true,
            ..Scenario::default()
        });
        assert!(o.max_loading <= most, "{o:?}");
        assert!(o.done.is_some_and(|at| at <= 1_000 + 15_000), "{o:?}");
    }
}

#[test]
fn large_pools_are_split_into_groups() {
    // Guards against 700,000 datagrams per change, if each of 830 sidecars reported to all others.
    for engines in [1, 9, 96, 97, 830] {
        let sizes: Vec<_> = (0..engines)
            .map(|own| {
                (0..engines)
                    .filter(|o| rollout::same_group(own, engines)(*o))
                    .count()
            })
            .collect();
        assert!(sizes.iter().all(|s| *s <= 96), "{engines}: {sizes:?}");
        assert!(
            sizes.iter().all(|s| *s >= engines.min(48)),
            "{engines}: {sizes:?}"
        );
    }
}

#[test]
fn engine_that_never_answers_orders_holds_no_slot() {
    // Guards against a slot that is lost to an engine which counts as loading because its orders are repeated
    // and never answered. A pool with a single slot would not load at all.
    struct Case {
        name: &'static str,
        due: u64,
        want: bool,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "due for a short time", due: 200, want: false },
        Case { name: "due for long", due: 2_000, want: true },
    ];
    for c in cases {
        let engine = |rank| Engine {
            version: 1,
            rank,
            loading: None,
            due: None,
        };
        let others = [
            Engine {
                loading: Some(ms(100)),
                due: Some(ms(c.due)),
                ..engine(0)
            },
            Engine {
                version: 2,
                ..engine(1)
            },
        ];
        let pool = Pool {
            newest: 2,
            others: &others,
            load_time: None,
            allowed: ms(15_000),
            outdated_for: ms(3_000),
        };
        let due = rollout::is_due(&Config::default(), &pool, &engine(2));
        assert_eq!(due, c.want, "{}", c.name);
    }
}
