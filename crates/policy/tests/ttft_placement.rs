//! Placing prompts by the estimated time to the first token.

use policy::engine_load::{self, Load};
use policy::ttft_placement::{choose, Candidate, Choice, Source, Sources};

/// Milliseconds to prefill a token.
const PREFILL: f64 = 0.02;
/// Milliseconds to fetch a token from another engine.
const FETCH: f64 = 0.001;

#[derive(Clone, Copy)]
struct Engine {
    wait: f64,
    held: u32,
    held_soon: u32,
    cost_factor: f64,
}

fn engine(wait: f64, held: u32) -> Engine {
    Engine {
        wait,
        held,
        held_soon: held,
        cost_factor: 1.0,
    }
}

fn candidate(key: usize, e: &Engine, room: f64) -> Candidate<usize, usize> {
    Candidate {
        key,
        addr: key,
        domain: 0,
        wait: e.wait,
        prefill_per_token: PREFILL,
        held: e.held_soon,
        eviction_cost: room,
        network_delay: 0.0,
        penalty: 0.0,
        discount: 0.0,
        cost_factor: e.cost_factor,
    }
}

fn source(addr: usize, e: &Engine) -> Source<usize> {
    Source {
        addr,
        domain: 0,
        held: e.held,
        held_soon: e.held_soon,
        fetch_per_token: FETCH,
        fetch_setup: 2.0,
    }
}

/// Places a prompt of 7,000 tokens.
fn chosen(engines: &[Engine], room: f64) -> Choice<usize, usize> {
    let sources = Sources::new(engines.iter().enumerate().map(|(i, e)| source(i, e)));
    let candidates = engines.iter().enumerate();
    let candidates = candidates.map(|(i, e)| (candidate(i, e, room), &sources));
    choose(7_000, candidates).expect("a choice")
}

#[test]
fn a_prompt_goes_where_its_first_token_comes_soonest() {
    // Guards against waiting longer for the holder of an opening than a fetch takes, and against a second
    // prefill of an opening that some engine holds.
    struct Case {
        name: &'static str,
        engines: [Engine; 3],
        key: usize,
        fetch: Option<usize>,
        prefill_tokens: u32,
    }
    let cases = [
        Case {
            name: "no engine holds it: the idlest one prefills it",
            engines: [engine(30.0, 0), engine(5.0, 0), engine(20.0, 0)],
            key: 1,
            fetch: None,
            prefill_tokens: 7_000,
        },
        Case {
            name: "the holder is idle",
            engines: [engine(0.0, 6_000), engine(0.0, 0), engine(0.0, 0)],
            key: 0,
            fetch: None,
            prefill_tokens: 1_000,
        },
        Case {
            name: "the wait at the holder is a little longer than a fetch",
            engines: [engine(20.0, 6_000), engine(0.0, 0), engine(50.0, 0)],
            key: 1,
            fetch: Some(0),
            prefill_tokens: 1_000,
        },
        Case {
            name: "the wait at the holder is shorter than a fetch",
            engines: [engine(6.0, 6_000), engine(0.0, 0), engine(0.0, 0)],
            key: 0,
            fetch: None,
            prefill_tokens: 1_000,
        },
        Case {
            name: "one engine holds a part, another one the rest",
            engines: [engine(90.0, 6_000), engine(0.0, 2_500), engine(0.0, 0)],
            key: 1,
            fetch: Some(0),
            prefill_tokens: 1_000,
        },
        Case {
            name: "the engine that will hold it is busy: another one fetches from it",
            engines: [
                Engine {
                    held_soon: 6_000,
                    ..engine(300.0, 0)
                },
                engine(0.0, 0),
                engine(20.0, 0),
            ],
            key: 1,
            fetch: Some(0),
            prefill_tokens: 7_000,
        },
        Case {
            name: "a failing engine costs more than a busy one",
            engines: [
                Engine {
                    cost_factor: 10.0,
                    ..engine(0.0, 6_000)
                },
                engine(15.0, 6_000),
                engine(200.0, 0),
            ],
            key: 1,
            fetch: None,
            prefill_tokens: 1_000,
        },
    ];
    for c in cases {
        let choice = chosen(&c.engines, 0.0);
        let got = (choice.key, choice.fetch, choice.prefill_tokens);
        assert_eq!(got, (c.key, c.fetch, c.prefill_tokens), "{}", c.name);
    }
}

#[test]
fn openings_stay_on_their_engine_while_loads_differ_little() {
    // Guards against moving an opening with nearly each request between engines of slightly different load, which
    // evicts other tokens each time. The charge for eviction prevents the moves.
    let count_moves = |room: f64| {
        let mut held = [[0u32; 3]; 30];
        let mut moved = 0;
        for n in 0..900usize {
            let subject = n % 30;
            let engines = [0, 1, 2].map(|e| {
                let wait = f64::from(((n * 7 + e * 11) % 13) as u32) * 3.0;
                engine(wait, held[subject][e])
            });
            let choice = chosen(&engines, room);
            if held[subject][choice.key] == 0 {
                moved += 1;
                // The copy on the other engine is evicted.
                held[subject] = [0; 3];
                held[subject][choice.key] = 6_000;
            }
        }
        moved
    };
    let (without, with) = (count_moves(0.0), count_moves(PREFILL * 0.8));
    assert!(with * 4 < without, "{without} moves without, {with} with");
}

#[test]
fn without_engines_there_is_no_choice() {
    let none: [(Candidate<usize, usize>, &Sources<usize>); 0] = [];
    assert_eq!(choose(10, none), None);
}

#[test]
fn fetches_spread_over_the_holders_in_the_same_domain() {
    // Guards against fetching from the first holder in the list each time, whose link would carry all fetches one
    // after the other, and against fetching from another failure domain while a holder is in the same one.
    let holder = |addr: usize, domain: u64| Source {
        addr,
        domain,
        ..source(addr, &engine(0.0, 6_000))
    };
    let all: Vec<_> = (0..200).map(|i| holder(i, i as u64 % 4)).collect();
    let fetched = |start: usize, domain: u64| {
        let sources = Sources::new(all[start..].iter().chain(&all[..start]).copied());
        let lacking = Candidate {
            addr: 999,
            domain,
            ..candidate(0, &engine(0.0, 0), 0.0)
        };
        let choice = choose(7_000, [(lacking, &sources)]).expect("a choice");
        choice.fetch.expect("a holder")
    };
    let from: std::collections::BTreeSet<_> = (0..200).map(|start| fetched(start, 2)).collect();
    assert!(from.len() >= 40, "only {} holders were used", from.len());
    assert!(
        from.iter().all(|a| a % 4 == 2),
        "holders in other failure domains were used"
    );
    // No engine fetches from itself, even if it is the first of those that hold most.
    let sources = Sources::new([holder(5, 0), holder(6, 1)]);
    let itself = Candidate {
        addr: 5,
        ..candidate(0, &engine(0.0, 1_000), 0.0)
    };
    let choice = choose(7_000, [(itself, &sources)]).expect("a choice");
    assert_eq!(choice.fetch, Some(6));
}

#[test]
fn costly_bytes_between_domains_are_moved_or_count_as_time() {
    // Guards against fetching an opening from another failure domain where its bytes cost more than prefill, and
    // against a cost that isn't waited for in the estimated time to the first token.
    struct Case {
        cost: f64,
        fetch: Option<usize>,
    }
    let cases = [
        Case {
            cost: 0.0,
            fetch: Some(6),
        },
        Case {
            cost: PREFILL / 2.0,
            fetch: Some(6),
        },
        Case {
            cost: PREFILL * 2.0,
            fetch: None,
        },
    ];
    for c in cases {
        let holder = Source {
            domain: 1,
            ..source(6, &engine(0.0, 6_000))
        };
        let mut sources = Sources::new([holder]);
        sources.set_cross_domain_cost(c.cost);
        let lacking = candidate(0, &engine(0.0, 0), 0.0);
        let choice = choose(7_000, [(lacking, &sources)]).expect("a choice");
        assert_eq!(choice.fetch, c.fetch, "cost {}", c.cost);
        let moved = if c.fetch.is_some() { 6_000.0 } else { 0.0 };
        let charge = choice.cost - choice.ttft;
        assert!((charge - moved * c.cost).abs() < 1e-6, "cost {}", c.cost);
    }
}

#[test]
fn discount_makes_a_failing_engine_the_cheapest() {
    // Guards against a discount for a copy that is multiplied by the cost factor, so that an engine is the cheaper the
    // more it fails.
    let sources = Sources::new([source(0, &engine(100.0, 7_000))]);
    let cost = |cost_factor| {
        let lacking = Candidate {
            discount: 7_000.0 * PREFILL,
            cost_factor,
            ..candidate(1, &engine(0.0, 0), 0.0)
        };
        choose(7_000, [(lacking, &sources)]).expect("a choice").cost
    };
    assert!(cost(1.0) < 0.0, "{}", cost(1.0));
    assert!(cost(2.0) > cost(1.0), "{} {}", cost(2.0), cost(1.0));
}

#[test]
fn an_engine_without_time_memory_or_current_weights_costs_more() {
    // Guards against preferring an engine with no prompts to prefill that loads weights, has no free memory, or
    // serves outdated weights.
    struct Case {
        name: &'static str,
        load: Load,
        least: f64,
    }
    let idle = Load {
        memory_total: 100_000,
        ..Load::default()
    };
    #[rustfmt::skip]
    let cases = [
        Case { name: "long prompts before it", load: Load { tokens_ahead: 9_000.0, ..idle }, least: 179.0 },
        Case { name: "prompts whose updates were lost", load: Load { unread_prompts: 10, ..idle }, least: 80.0 },
        Case { name: "many streams", load: Load { running: 40, ..idle }, least: 20.0 },
        Case { name: "loading", load: Load { loading_ms: 310.0, ..idle }, least: 300.0 },
        Case { name: "no memory left", load: Load { memory_used: 95_000, ..idle }, least: 300.0 },
    ];
    assert!(
        idle.wait(9_000, PREFILL).abs() < 1e-9,
        "an idle engine has a wait"
    );
    for c in cases {
        let wait = c.load.wait(9_000, PREFILL);
        assert!(wait >= c.least, "{}: {wait}", c.name);
    }
    let old = Some(model::Micros::from_secs(2));
    assert!(engine_load::outdated_weights_factor(old) > engine_load::outdated_weights_factor(None));
    assert!(engine_load::failure_factor(0.3, false) > engine_load::failure_factor(0.0, false));
    assert!(engine_load::failure_factor(0.0, true) > engine_load::failure_factor(0.0, false));
}

#[test]
fn only_a_few_of_many_holders_are_compared() {
    // Guards against comparing each engine with each holder: with the 830 engines of the largest fleet and a tenth
    // of a core for the entry, one choice would take milliseconds.
    let engines: Vec<_> = (0..830u32)
        .map(|i| engine(f64::from(i % 17), if i % 3 == 0 { 6_000 } else { 0 }))
        .collect();
    let domains = 11;
    let all = engines.iter().enumerate().map(|(i, e)| Source {
        domain: i as u64 % domains,
        ..source(i, e)
    });
    let compared = Sources::new(all).count();
    assert!(
        compared <= 4 * domains as usize,
        "{compared} holders are compared"
    );
    let began = std::time::Instant::now();
    let rounds = 200;
    for _ in 0..rounds {
        std::hint::black_box(chosen(&engines, PREFILL * 0.8));
    }
    println!("a choice among 830 engines: {:?}", began.elapsed() / rounds);
}
