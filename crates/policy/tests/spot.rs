//! Placing prompts of named parts by milliseconds to the first token.

use policy::spot::{choose, Candidate, Source};

/// Milliseconds to read a token.
const READ: f64 = 0.02;
/// Milliseconds to move a token between engines.
const MOVE: f64 = 0.001;

#[derive(Clone, Copy)]
struct Engine {
    wait: f64,
    held: u32,
    doubt: f64,
}

fn engine(wait: f64, held: u32) -> Engine {
    Engine {
        wait,
        held,
        doubt: 1.0,
    }
}

fn candidate(key: usize, e: &Engine, room: f64) -> Candidate<usize> {
    Candidate {
        key,
        wait: e.wait,
        read: READ,
        held: e.held,
        room,
        way: 0.0,
        doubt: e.doubt,
    }
}

fn sources(engines: &[Engine], own: usize) -> Vec<Source<usize>> {
    let others = engines.iter().enumerate().filter(|(i, _)| *i != own);
    others
        .map(|(addr, e)| Source {
            addr,
            held: e.held,
            rate: MOVE,
            setup: 2.0,
        })
        .collect()
}

#[test]
fn a_prompt_goes_where_its_first_token_comes_soonest() {
    // An opening of 6,000 tokens is held by one engine. Its callers wait there for as long as that is
    // worth it, then another engine fetches the opening; nobody reads it again unless nobody has it.
    struct Case {
        name: &'static str,
        engines: [Engine; 3],
        key: usize,
        fetch: Option<usize>,
        read: u32,
    }
    let cases = [
        Case {
            name: "nobody holds it: the idlest reads it",
            engines: [engine(30.0, 0), engine(5.0, 0), engine(20.0, 0)],
            key: 1,
            fetch: None,
            read: 7_000,
        },
        Case {
            name: "the holder is idle",
            engines: [engine(0.0, 6_000), engine(0.0, 0), engine(0.0, 0)],
            key: 0,
            fetch: None,
            read: 1_000,
        },
        Case {
            name: "the holder is a little busier than fetching is long",
            engines: [engine(20.0, 6_000), engine(0.0, 0), engine(50.0, 0)],
            key: 1,
            fetch: Some(0),
            read: 1_000,
        },
        Case {
            name: "the holder is busy, but less so than fetching is long",
            engines: [engine(6.0, 6_000), engine(0.0, 0), engine(0.0, 0)],
            key: 0,
            fetch: None,
            read: 1_000,
        },
        Case {
            name: "a part is held here, the rest elsewhere",
            engines: [engine(90.0, 6_000), engine(0.0, 2_500), engine(0.0, 0)],
            key: 1,
            fetch: Some(0),
            read: 1_000,
        },
        Case {
            name: "an engine that fails is worth less than a busy one",
            engines: [
                Engine {
                    doubt: 10.0,
                    ..engine(0.0, 6_000)
                },
                engine(15.0, 6_000),
                engine(200.0, 0),
            ],
            key: 1,
            fetch: None,
            read: 1_000,
        },
    ];
    for c in cases {
        let candidates = c.engines.iter().enumerate();
        let candidates = candidates.map(|(i, e)| candidate(i, e, 0.0));
        let choice = choose(7_000, candidates, |k| sources(&c.engines, k)).expect("a choice");
        let got = (choice.key, choice.fetch, choice.read);
        assert_eq!(got, (c.key, c.fetch, c.read), "{}", c.name);
    }
}

#[test]
fn openings_stay_where_they_are_while_loads_are_uneven_only_a_little() {
    // Thirty subjects are asked for in turn on three engines that are never equally busy. Without a
    // price of room nearly each request moves its opening to another engine, where something else has
    // to yield for it; with it, openings settle.
    let moves = |room: f64| {
        let mut held = [[0u32; 3]; 30];
        let mut moved = 0;
        for n in 0..900usize {
            let subject = n % 30;
            let engines = [0, 1, 2].map(|e| {
                let wait = f64::from(((n * 7 + e * 11) % 13) as u32) * 3.0;
                engine(wait, held[subject][e])
            });
            let candidates = engines.iter().enumerate();
            let candidates = candidates.map(|(i, e)| candidate(i, e, room));
            let choice = choose(7_000, candidates, |k| sources(&engines, k)).expect("a choice");
            if held[subject][choice.key] == 0 {
                moved += 1;
                // What comes in pushes out what is elsewhere.
                held[subject] = [0; 3];
                held[subject][choice.key] = 6_000;
            }
        }
        moved
    };
    let (without, with) = (moves(0.0), moves(READ * 0.8));
    assert!(with * 4 < without, "{without} moves without, {with} with");
}

#[test]
fn without_engines_there_is_no_choice() {
    let none: [Candidate<usize>; 0] = [];
    assert_eq!(choose(10, none, |_| Vec::<Source<usize>>::new()), None);
}
