//! Which engines an entry hears of, and whom sidecars tell.

use model::Micros;
use policy::hearing::{self, Hearers, Sidecar};

fn ms(n: u64) -> Micros {
    Micros::from_millis(n)
}

#[test]
fn an_entry_hears_few_of_many_engines_and_the_near_ones_first() {
    // 350 entries stand before 830 engines in 11 failure domains. If each heard each, an entry would
    // take in 16,000 words a second for its eight requests.
    struct Case {
        name: &'static str,
        engines: usize,
        domains: usize,
        heard: usize,
        near: usize,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "a small fleet: all", engines: 9, domains: 3, heard: 9, near: 3 },
        Case { name: "as many as one hears", engines: 96, domains: 4, heard: 96, near: 24 },
        Case { name: "the domain and some others", engines: 830, domains: 11, heard: 96, near: 76 },
        Case { name: "a part of a large domain", engines: 830, domains: 2, heard: 96, near: 96 },
    ];
    let addr = |n: usize| std::net::SocketAddr::from(([127, 0, 0, 1], n as u16 + 1));
    for c in cases {
        let sidecars = (0..c.engines).map(|n| Sidecar {
            addr: addr(n),
            near: n % c.domains == 0,
            rank: (n as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15),
        });
        let wanted = hearing::wanted(sidecars);
        assert_eq!(wanted.len(), c.heard, "{}", c.name);
        let near = wanted
            .iter()
            .filter(|a| (a.port() as usize - 1).is_multiple_of(c.domains));
        assert_eq!(near.count(), c.near, "{}", c.name);
    }
}

#[test]
fn a_sidecar_tells_those_who_ask_and_forgets_those_who_stop() {
    // An entry is gone and nobody says so. A sidecar that told it for good would tell more and more
    // that nobody hears; one that forgot it after a single lost word would leave it without news.
    let entry = |n: u16| std::net::SocketAddr::from(([127, 0, 0, 1], n));
    let mut hearers = Hearers::default();
    assert!(
        hearers.ask(ms(0), entry(1)),
        "it lacks what was told before"
    );
    assert!(hearers.ask(ms(0), entry(2)));
    assert!(!hearers.ask(ms(2_000), entry(1)), "it was told all along");
    // Two words of the first are lost.
    assert!(!hearers.ask(ms(7_900), entry(1)));
    let told: Vec<_> = hearers.told(ms(8_000)).collect();
    assert_eq!(told, [entry(1)]);
    assert!(
        hearers.ask(ms(20_000), entry(1)),
        "it lacks what was told meanwhile"
    );
}

#[test]
fn sidecars_learn_soon_after_a_start_which_life_their_engine_is() {
    // All processes start at one moment, and new weights are named. A sidecar orders nothing before it
    // knows which life its engine is; told by an entry's second word 2 s later, it left its engine with
    // old weights until callers were refused for their age.
    struct Case {
        name: &'static str,
        running: u64,
        all_told: bool,
        want: u64,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "just started", running: 50, all_told: false, want: 200 },
        Case { name: "all have been told", running: 50, all_told: true, want: 2_000 },
        Case { name: "some sidecar is gone for good", running: 60_000, all_told: false, want: 2_000 },
    ];
    for c in cases {
        let pause = hearing::pause(Micros::from_millis(c.running), c.all_told);
        assert_eq!(pause, Micros::from_millis(c.want), "{}", c.name);
    }
}
