//! New weights for whole pools in virtual time: each engine decides by what it has last heard of the
//! others, under the loads that make such decisions go wrong.

use model::Micros;
use policy::rollout::{self, Config, Engine, Pool};

/// Pause between two looks of a sidecar.
const LOOK: u64 = 50;

fn ms(n: u64) -> Micros {
    Micros::from_millis(n)
}

/// One engine with its sidecar.
#[derive(Clone, Debug)]
struct Node {
    version: u64,
    /// The version under way and when it is there.
    load: Option<(u64, u64, u64)>,
    due: Option<u64>,
    seen: Option<Micros>,
    loads: usize,
    /// From when on it neither works nor tells, and until when.
    gone: (u64, u64),
    /// Whether its sidecar takes no turn.
    idle: bool,
}

/// A pool and the days that are played on it.
#[derive(Clone, Debug)]
struct Play {
    engines: usize,
    load: u64,
    /// Loads at a time beyond which all of them take longer.
    at_once: usize,
    allowed: u64,
    /// When versions 2, 3 and so on are named.
    named: Vec<u64>,
    /// Engines that are gone, and from when to when.
    gone: Option<(usize, u64, u64)>,
    /// Engines whose sidecars take no turn.
    idle: usize,
    /// Whether no sidecar hears another one.
    deaf: bool,
    until: u64,
}

impl Default for Play {
    fn default() -> Self {
        Self {
            engines: 9,
            load: 1_900,
            at_once: 2,
            allowed: 15_000,
            named: vec![1_000],
            gone: None,
            idle: 0,
            deaf: false,
            until: 40_000,
        }
    }
}

/// What came of it.
#[derive(Debug)]
struct Outcome {
    /// Most engines that loaded or were gone at a time, and most that loaded.
    away: usize,
    most: usize,
    loads: usize,
    /// When the last engine had the newest weights; none if one never had.
    done: Option<u64>,
    /// Longest time for which an engine that was there had weights out of date.
    oldest: u64,
}

fn play(p: &Play) -> Outcome {
    let config = Config::default();
    let mut nodes: Vec<_> = (0..p.engines)
        .map(|i| Node {
            version: 1,
            load: None,
            due: None,
            seen: None,
            loads: 0,
            gone: match p.gone {
                Some((n, from, to)) if i < n => (from, to),
                _ => (u64::MAX / 2, u64::MAX / 2),
            },
            idle: i >= p.engines - p.idle,
        })
        .collect();
    let mut out = Outcome {
        away: 0,
        most: 0,
        loads: 0,
        done: None,
        oldest: 0,
    };
    for now in (0..p.until).step_by(LOOK as usize) {
        let newest = 1 + p.named.iter().filter(|at| **at + 150 <= now).count() as u64;
        let told = nodes.clone();
        for (i, n) in nodes.iter_mut().enumerate() {
            let there = now < n.gone.0 || now >= n.gone.1;
            if !there {
                n.load = None;
                n.due = None;
                continue;
            }
            if let Some((version, since, ends)) = n.load {
                if now < ends {
                    continue;
                }
                n.version = version;
                n.seen = Some(ms(now - since));
                n.load = None;
            }
            if n.version == newest || n.idle {
                continue;
            }
            if !takes_turn(&config, p, &told, i, now, newest) {
                n.due = None;
                continue;
            }
            let due = *n.due.get_or_insert(now);
            // It answers nothing after some time without new requests.
            if now >= due + 200 {
                let loading = told.iter().filter(|o| o.load.is_some()).count() + 1;
                let slow = (loading as f64 / p.at_once as f64).max(1.0);
                n.load = Some((newest, now, now + (p.load as f64 * slow) as u64));
                n.loads += 1;
                n.due = None;
            }
        }
        let loading = nodes.iter().filter(|n| n.load.is_some()).count();
        let gone = nodes.iter().filter(|n| now >= n.gone.0 && now < n.gone.1);
        out.most = out.most.max(loading);
        out.away = out.away.max(loading + gone.count());
        let there = nodes.iter().filter(|n| !n.idle);
        let old = there
            .clone()
            .filter(|n| n.version < newest && (now < n.gone.0 || now >= n.gone.1));
        let age = |n: &Node| now.saturating_sub(p.named[n.version as usize - 1]);
        out.oldest = old.clone().map(age).max().unwrap_or(0).max(out.oldest);
        let all =
            newest as usize == p.named.len() + 1 && there.clone().all(|n| n.version == newest);
        out.done = out.done.or(all.then_some(now)).filter(|_| all);
    }
    out.loads = nodes.iter().map(|n| n.loads).sum();
    out
}

fn takes_turn(config: &Config, p: &Play, told: &[Node], own: usize, now: u64, newest: u64) -> bool {
    let rank = |i: usize| (i as u64 * 7_919 + newest) % 1_009;
    let heard =
        |i: usize| i != own && !p.deaf && (now < told[i].gone.0 + 1_500 || now >= told[i].gone.1);
    if p.deaf {
        let named = p.named[newest as usize - 2];
        return now
            >= named + rollout::isolated_start(config, own, p.engines, ms(p.allowed)).as_millis();
    }
    let engine = |i: usize, n: &Node| Engine {
        version: n.version,
        rank: rank(i),
        loading: n.load.map(|(_, since, _)| ms(now - since)),
        due: n.due.map(|at| ms(now - at)),
    };
    let others: Vec<_> = (0..told.len())
        .filter(|i| heard(*i))
        .map(|i| engine(i, &told[i]))
        .collect();
    let me = engine(own, &told[own]);
    let oldest = others
        .iter()
        .map(|o| o.version)
        .min()
        .unwrap_or(me.version)
        .min(me.version);
    let mut seen: Vec<_> = told.iter().filter_map(|n| n.seen).collect();
    seen.sort_unstable();
    let pool = Pool {
        newest,
        others: &others,
        load_time: seen.get(seen.len() / 2).copied(),
        allowed: ms(p.allowed),
        outdated: ms(now.saturating_sub(p.named[oldest as usize - 1])),
    };
    rollout::is_due(config, &pool, &me)
}

#[test]
fn pools_of_all_sizes_take_new_weights_a_part_at_a_time_and_in_time() {
    // New weights are named under full load. Nobody knows yet how long a load takes, from a tenth of a
    // second to several. If too many engines load at a time, callers find nobody who serves them; if
    // too few do, they get answers of old weights beyond the time that is allowed for a change.
    struct Case {
        name: &'static str,
        play: Play,
        most: usize,
        by: u64,
    }
    let of = |engines, load, at_once, allowed| Play {
        engines,
        load,
        at_once,
        allowed,
        ..Play::default()
    };
    #[rustfmt::skip]
    let cases = [
        Case { name: "nine, short loads", play: of(9, 100, 2, 6_000), most: 2, by: 6_000 },
        Case { name: "nine, loads of 2 s", play: of(9, 1_900, 2, 15_000), most: 2, by: 15_000 },
        Case { name: "nine, loads of 5 s: more at a time, as the time would run out", play: of(9, 5_000, 4, 15_000), most: 4, by: 20_000 },
        Case { name: "a pool of two never loads as a whole", play: of(2, 1_900, 2, 15_000), most: 1, by: 15_000 },
        Case { name: "a pool of three", play: of(3, 4_000, 2, 15_000), most: 1, by: 15_000 },
        Case { name: "one engine alone", play: of(1, 1_900, 2, 15_000), most: 1, by: 15_000 },
        Case { name: "56 engines", play: of(56, 1_900, 11, 20_000), most: 11, by: 20_000 },
        Case { name: "200 engines", play: of(200, 4_000, 40, 30_000), most: 50, by: 30_000 },
    ];
    for c in cases {
        let o = play(&c.play);
        assert!(o.most <= c.most, "{}: {o:?}", c.name);
        assert!(
            o.done.is_some_and(|at| at - 1_000 <= c.by),
            "{}: {o:?}",
            c.name
        );
        assert_eq!(o.loads, c.play.engines, "{}: loads without need", c.name);
    }
}

#[test]
fn versions_that_follow_one_another_are_skipped_where_they_can_be() {
    // Four versions are named within 12 s, and a whole round takes 10 s. An engine that loads each of
    // them serves nobody for half of that time. What stands oldest goes first, so that nothing is
    // answered with weights beyond their time, and an engine whose turn comes late loads only the last.
    let o = play(&Play {
        named: vec![2_000, 5_000, 9_000, 13_000],
        ..Play::default()
    });
    assert!(o.most <= 4, "more than half: {o:?}");
    assert!(o.loads <= 27, "four rounds of nine would be 36: {o:?}");
    assert!(o.oldest <= 15_000, "{o:?}");
    assert!(o.done.is_some_and(|at| at <= 28_000), "{o:?}");
}

#[test]
fn engines_that_are_gone_delay_nobody() {
    // A third of the pool loses power just as new weights are named and is back with the old ones
    // 10 s later. The others don't wait for it; when it is back it takes its turns as well.
    let o = play(&Play {
        gone: Some((3, 1_100, 11_000)),
        ..Play::default()
    });
    assert!(o.most <= 3, "{o:?}");
    assert!(o.away <= 5, "{o:?}");
    assert!(o.done.is_some_and(|at| at <= 18_000), "{o:?}");
}

#[test]
fn a_sidecar_that_takes_no_turn_delays_nobody() {
    // Two sidecars know of the new weights and can't order them: their orders are refused again and
    // again. If the others waited for them, the whole pool would stay with old weights.
    let o = play(&Play {
        idle: 2,
        ..Play::default()
    });
    assert!(o.done.is_some_and(|at| at <= 15_000), "{o:?}");
}

#[test]
fn sidecars_that_hear_nobody_still_keep_apart() {
    // All words between sidecars are lost. Each knows only its rank and that the others exist; without
    // an order in time all would load at the same moment.
    for (engines, most) in [(9, 4), (56, 22)] {
        let o = play(&Play {
            engines,
            at_once: most,
            deaf: true,
            ..Play::default()
        });
        assert!(o.most <= most, "{o:?}");
        assert!(o.done.is_some_and(|at| at <= 1_000 + 15_000), "{o:?}");
    }
}

#[test]
fn large_pools_agree_in_groups() {
    // 830 sidecars that each told all others of each change would be 700,000 words at a time.
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
fn an_engine_that_never_answers_its_orders_holds_no_place() {
    // An engine takes no order: each is sent, stays without an answer and is sent again, and for that
    // long the engine counts as loading. If that held a place, a pool would load with one place less for
    // as long as the weights last, or not at all if it has but one.
    struct Case {
        name: &'static str,
        due: u64,
        want: bool,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "its turn came just now", due: 200, want: false },
        Case { name: "its turn came long ago", due: 2_000, want: true },
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
            outdated: ms(3_000),
        };
        let due = rollout::is_due(&Config::default(), &pool, &engine(2));
        assert_eq!(due, c.want, "{}", c.name);
    }
}
