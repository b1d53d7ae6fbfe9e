//! What an entry believes of targets, as the list and sidecars tell it.

use gate::entry::Fleet;
use gate::news::{Held, Loaded, News};
use model::Micros;
use site::{Boot, Part, PartId, State, Target};

/// The address of all targets here.
const ADDR: &str = "127.0.0.1:9000";

fn target(id: &str, renewed: u64) -> Target {
    Target {
        boot: Boot {
            id: id.to_owned(),
            born: 0,
        },
        pool: "engines".to_owned(),
        addr: ADDR.parse().expect("an address"),
        domain: "a".to_owned(),
        state: State::Ready,
        slots: 8,
        renewed,
        weights: Vec::new(),
    }
}

fn holds(fleet: &Fleet, id: &str) -> u32 {
    let part = Part {
        id: PartId(7),
        tokens: 30,
    };
    let replica = fleet.replicas.values().find(|r| r.target.boot.id == id);
    replica.map_or(0, |r| r.holds(1, &[part]))
}

fn there(fleet: &Fleet) -> Vec<&str> {
    let there = fleet.replicas.values().filter(|r| r.there());
    there.map(|r| r.target.boot.id.as_str()).collect()
}

#[test]
fn of_targets_at_one_address_the_last_one_heard_is_there() {
    // An engine crashes and is back at its address under a new id while the list still names the
    // former one. Callers' requests went to the former, each refused at the cost of a try, and what
    // the sidecar told of the new engine was taken for the former's.
    let now = Micros::from_secs(100);
    let mut fleet = Fleet::default();
    fleet.list(now, vec![target("old", 5)], None);
    assert_eq!(there(&fleet), ["old"]);
    fleet.list(now, vec![target("old", 5), target("new", 9)], None);
    assert_eq!(there(&fleet), ["new"]);
    let news = News {
        engine: ADDR.to_owned(),
        alive: true,
        parts: vec![Held {
            scope: 1,
            part: 7,
            tokens: 30,
        }],
        ..News::default()
    };
    fleet.hear(now, &news, ADDR.parse().expect("an address"));
    assert_eq!(holds(&fleet, "new"), 30);
    assert_eq!(holds(&fleet, "old"), 0);
}

#[test]
fn an_entry_that_names_another_targets_address_is_found_out() {
    // Another writer has put a row into the list that names a good engine's address. Requests for it
    // are refused there as meant for another; from then on the good engine is used again.
    let now = Micros::from_secs(100);
    let mut fleet = Fleet::default();
    let listed = || vec![target("good", 5), target("false", 9)];
    fleet.list(now, listed(), None);
    assert_eq!(there(&fleet), ["false"]);
    let found = fleet
        .replicas
        .iter()
        .find(|(_, r)| r.target.boot.id == "false");
    let key = found.map(|(k, _)| k).expect("the false one");
    fleet.replaced(key);
    fleet.list(now, listed(), None);
    assert_eq!(there(&fleet), ["good"]);
}

#[test]
fn an_engine_whose_process_has_ended_isn_t_used_until_its_next_heartbeat() {
    // An engine's process ends. Its sidecar sees that nobody listens any more, seconds before the list
    // lapses. Another engine may be there by the next request, which it would refuse as meant for its
    // predecessor; tens of streams then found no retry left.
    let now = Micros::from_secs(100);
    let addr = ADDR.parse().expect("an address");
    let mut fleet = Fleet::default();
    fleet.list(now, vec![target("old", 5)], None);
    let news = |ended: bool| News {
        engine: ADDR.to_owned(),
        alive: !ended,
        ended,
        ..News::default()
    };
    fleet.hear(now, &news(false), addr);
    assert_eq!(there(&fleet), ["old"]);
    fleet.hear(now, &news(true), addr);
    assert!(there(&fleet).is_empty());
    // The successor answers its sidecar before it is in the list.
    fleet.hear(now, &news(false), addr);
    fleet.list(now, vec![target("old", 5)], None);
    assert!(there(&fleet).is_empty());
    fleet.list(now, vec![target("old", 5), target("new", 9)], None);
    assert_eq!(there(&fleet), ["new"]);
    // Nobody listened for a moment, but the engine's own heartbeats go on.
    fleet.hear(now, &news(true), addr);
    fleet.list(now, vec![target("new", 12)], None);
    assert_eq!(there(&fleet), ["new"]);
}

#[test]
fn weights_that_went_back_are_believed_after_a_time() {
    // An order that was given up on is carried out late by an engine's next life and puts older weights
    // in the place of newer ones. Entries that believe only in newer ones demand those of each request,
    // and each is refused until the engine is ordered anew.
    let addr = ADDR.parse().expect("an address");
    let mut fleet = Fleet::default();
    let at = |ms| Micros::from_secs(100) + Micros::from_millis(ms);
    fleet.list(at(0), vec![target("e", 5)], None);
    let reports = |fleet: &mut Fleet, ms, version| {
        let news = News {
            engine: ADDR.to_owned(),
            alive: true,
            weights: vec![Loaded {
                model: "m".to_owned(),
                version,
            }],
            ..News::default()
        };
        fleet.hear(at(ms), &news, addr);
        let first = fleet.replicas.values().next().expect("the engine");
        first.weights["m"]
    };
    assert_eq!(reports(&mut fleet, 0, 2), 2);
    assert_eq!(reports(&mut fleet, 10, 3), 3);
    // The report of a moment before is still on its way.
    assert_eq!(reports(&mut fleet, 200, 2), 3);
    assert_eq!(reports(&mut fleet, 1_000, 2), 2);
    assert_eq!(reports(&mut fleet, 1_050, 3), 3);
}
