//! What an entry believes of targets, as the list and sidecars tell it.

use gate::entry::Fleet;
use gate::update::{HeldPart, LoadedWeights, Update};
use model::{Micros, Position};
use policy::row_expiry;
use site::{Boot, Part, PartId, State, Target};

/// The address of all targets here.
const ADDR: &str = "127.0.0.1:9000";
/// How rows of the list lapse.
const CONFIG: row_expiry::Config = row_expiry::Config {
    heartbeat: Micros::from_millis(1_200),
    reentry: Micros::from_millis(2_200),
};

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
        renewed: Position::new(1, renewed),
        weights: Vec::new(),
    }
}

/// Takes over a list of the store's first era.
fn list(fleet: &mut Fleet, at: Micros, targets: Vec<Target>) {
    fleet.list(at, Position::new(1, 1_000), targets, &CONFIG);
}

/// A target at another address.
fn other(id: &str, renewed: u64) -> Target {
    Target {
        addr: "127.0.0.1:9001".parse().expect("an address"),
        ..target(id, renewed)
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

fn there(fleet: &Fleet, now: Micros) -> Vec<&str> {
    let there = fleet.replicas.values().filter(|r| r.there(now));
    there.map(|r| r.target.boot.id.as_str()).collect()
}

#[test]
fn of_targets_at_one_address_the_last_one_heard_is_there() {
    // An engine crashes and is back at its address under a new id while the list still names the
    // former one. Callers' requests went to the former, each refused at the cost of a try, and what
    // the sidecar told of the new engine was taken for the former's.
    let now = Micros::from_secs(100);
    let mut fleet = Fleet::default();
    list(&mut fleet, now, vec![target("old", 5)]);
    assert_eq!(there(&fleet, now), ["old"]);
    list(&mut fleet, now, vec![target("old", 5), target("new", 9)]);
    assert_eq!(there(&fleet, now), ["new"]);
    let update = Update {
        engine: ADDR.to_owned(),
        alive: true,
        parts: vec![HeldPart {
            scope: 1,
            part: 7,
            tokens: 30,
        }],
        ..Update::default()
    };
    fleet.hear(now, &update, ADDR.parse().expect("an address"));
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
    list(&mut fleet, now, listed());
    assert_eq!(there(&fleet, now), ["false"]);
    let found = fleet
        .replicas
        .iter()
        .find(|(_, r)| r.target.boot.id == "false");
    let key = found.map(|(k, _)| k).expect("the false one");
    fleet.replaced(now, key);
    list(&mut fleet, now, listed());
    assert_eq!(there(&fleet, now), ["good"]);
}

#[test]
fn an_engine_whose_process_has_ended_isn_t_used_until_its_next_heartbeat() {
    // An engine's process ends. Its sidecar sees that nobody listens any more, seconds before the list
    // lapses. Another engine may be there by the next request, which it would refuse as meant for its
    // predecessor; tens of streams then found no retry left.
    let now = Micros::from_secs(100);
    let addr = ADDR.parse().expect("an address");
    let mut fleet = Fleet::default();
    list(&mut fleet, now, vec![target("old", 5)]);
    let update = |ended: bool| Update {
        engine: ADDR.to_owned(),
        alive: !ended,
        ended,
        ..Update::default()
    };
    fleet.hear(now, &update(false), addr);
    assert_eq!(there(&fleet, now), ["old"]);
    fleet.hear(now, &update(true), addr);
    assert!(there(&fleet, now).is_empty());
    // The successor answers its sidecar before it is in the list.
    fleet.hear(now, &update(false), addr);
    list(&mut fleet, now, vec![target("old", 5)]);
    assert!(there(&fleet, now).is_empty());
    list(&mut fleet, now, vec![target("old", 5), target("new", 9)]);
    assert_eq!(there(&fleet, now), ["new"]);
    // Nobody listened for a moment, but the engine's own heartbeats go on.
    fleet.hear(now, &update(true), addr);
    list(&mut fleet, now, vec![target("new", 12)]);
    assert_eq!(there(&fleet, now), ["new"]);
}

#[test]
fn weights_that_went_back_are_believed_after_a_time() {
    // An order that was given up on is carried out late by an engine's next life and puts older weights
    // in the place of newer ones. Entries that believe only in newer ones demand those of each request,
    // and each is refused until the engine is ordered anew.
    let addr = ADDR.parse().expect("an address");
    let mut fleet = Fleet::default();
    let at = |ms| Micros::from_secs(100) + Micros::from_millis(ms);
    list(&mut fleet, at(0), vec![target("e", 5)]);
    let reports = |fleet: &mut Fleet, ms, version| {
        let update = Update {
            engine: ADDR.to_owned(),
            alive: true,
            weights: vec![LoadedWeights {
                model: "m".to_owned(),
                version,
            }],
            ..Update::default()
        };
        fleet.hear(at(ms), &update, addr);
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

#[test]
fn a_target_that_leaves_after_the_store_is_back_is_gone_at_once() {
    // The store turns an entry away for 6 s. It reads the list again, and 1.3 s later a target takes its
    // row away. The entry kept it, as if the row had lapsed with the store, and had no reason to look
    // again before its next read 4 s later: a record reached the target 2,264 ms after it had left, and
    // others were lost with its process. `target state=missing` and then `sent list_ms=0` told it.
    let at = |ms: u64| Micros::from_millis(100_000 + ms);
    let mut fleet = Fleet::default();
    let all = || vec![target("stays", 5), other("leaves", 6)];
    list(&mut fleet, at(0), all());
    fleet.fail(at(700));
    fleet.fail(at(5_900));
    list(&mut fleet, at(6_000), all());
    assert_eq!(there(&fleet, at(6_000)).len(), 2);
    list(&mut fleet, at(7_300), vec![target("stays", 5)]);
    assert_eq!(there(&fleet, at(7_300)), ["stays"]);
}

#[test]
fn a_target_whose_row_may_have_lapsed_is_kept_for_a_time_that_ends_by_itself() {
    // The store is down for 6 s and names a target less when it is back. The target may enter itself
    // again within two seconds, and callers need it until then. If it doesn't, it is gone, though the
    // list doesn't change any more and isn't read: the next read of an entry for which others read is
    // up to 4 s away, and requests went on being sent there until then.
    let at = |ms: u64| Micros::from_millis(100_000 + ms);
    let mut fleet = Fleet::default();
    list(
        &mut fleet,
        at(0),
        vec![target("stays", 5), other("lapsed", 6)],
    );
    fleet.fail(at(700));
    list(&mut fleet, at(6_000), vec![target("stays", 5)]);
    // Other entries go on telling that the list is as it was.
    fleet.confirm(at(7_000));
    list(&mut fleet, at(8_000), vec![target("stays", 5)]);
    assert_eq!(there(&fleet, at(8_100)).len(), 2);
    assert_eq!(there(&fleet, at(8_200)), ["stays"]);
}

/// A refusal that wasn't the target's fault keeps it from being used for as long as it lives.
#[test]
fn target_marked_by_mistake_is_used_again_once_it_renews_its_row() {
    struct Case {
        name: &'static str,
        /// Version of its row in lists read each second after the mark.
        rows: &'static [u64],
        marks: usize,
        there: bool,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "not listed since", rows: &[], marks: 1, there: false },
        Case { name: "its row may be from before the mark", rows: &[6], marks: 1, there: false },
        Case { name: "its row stays as it is, as that of a target that has ended", rows: &[5, 5, 5, 5], marks: 1, there: false },
        Case { name: "it renews its row", rows: &[5, 5, 6], marks: 1, there: true },
        Case { name: "marked again, one renewal is too few", rows: &[5, 6], marks: 2, there: false },
        Case { name: "marked again, two are enough", rows: &[5, 6, 7], marks: 2, there: true },
    ];
    for c in cases {
        let mut now = Micros::from_secs(100);
        let mut fleet = Fleet::default();
        list(&mut fleet, now, vec![target("one", 5)]);
        let key = fleet.replicas.keys().next().expect("one");
        for mark in 0..c.marks {
            fleet.replaced(now, key);
            let between: &[u64] = if mark + 1 < c.marks { &[1, 2] } else { c.rows };
            for row in between {
                now = now + Micros::from_secs(1);
                list(&mut fleet, now, vec![target("one", *row)]);
            }
        }
        assert_eq!(!there(&fleet, now).is_empty(), c.there, "{}", c.name);
    }
}

/// A restored list brings back a target that has left, or takes away one that has joined.
#[test]
fn targets_of_a_restored_list_are_what_was_known_until_their_rows_are_renewed() {
    struct Case {
        name: &'static str,
        /// Rows of the copy, and those of a later list.
        copy: Vec<Target>,
        later: Vec<Target>,
        /// Targets that are used after each.
        then: &'static [&'static str],
        last: &'static [&'static str],
    }
    let second = |mut t: Target, version: u64| {
        t.renewed = Position::new(2, version);
        t
    };
    let draining = |mut t: Target| {
        t.state = State::Draining;
        t
    };
    let (a, b) = (|v| second(target("a", 0), v), |v| second(other("b", 0), v));
    let cases = [
        Case {
            name: "a target that left is in the copy",
            copy: vec![a(20), b(21)],
            later: vec![a(20), b(95)],
            then: &["b"],
            last: &["b"],
        },
        Case {
            name: "it comes back",
            copy: vec![a(20), b(21)],
            later: vec![a(96), b(95)],
            then: &["b"],
            last: &["a", "b"],
        },
        Case {
            name: "a target that joined isn't in the copy and enters itself again",
            copy: vec![a(20)],
            later: vec![b(95)],
            then: &["b"],
            last: &["b"],
        },
        Case {
            name: "a target that joined is gone",
            copy: vec![],
            later: vec![],
            then: &["b"],
            last: &[],
        },
        Case {
            name: "one that leaves after the restore, before the first read",
            copy: vec![draining(b(30))],
            later: vec![draining(b(30))],
            then: &[],
            last: &[],
        },
    ];
    for c in cases {
        let mut fleet = Fleet::default();
        let at = Micros::from_millis;
        list(&mut fleet, at(1_000), vec![target("a", 40)]);
        list(&mut fleet, at(2_000), vec![other("b", 60)]);
        fleet.list(at(3_000), Position::new(2, 50), c.copy, &CONFIG);
        assert_eq!(usable(&fleet, at(3_000)), c.then, "{}", c.name);
        fleet.list(at(5_500), Position::new(2, 100), c.later, &CONFIG);
        assert_eq!(usable(&fleet, at(5_500)), c.last, "{}", c.name);
    }
}

/// A restored list names the former target of an address with a version of the new era.
#[test]
fn former_target_of_an_address_doesn_t_replace_the_present_one_after_a_restore() {
    let mut fleet = Fleet::default();
    let at = Micros::from_millis;
    list(
        &mut fleet,
        at(1_000),
        vec![target("old", 5), target("new", 9)],
    );
    let mut old = target("old", 0);
    old.renewed = Position::new(2, 5);
    fleet.list(at(3_000), Position::new(2, 7), vec![old], &CONFIG);
    assert_eq!(there(&fleet, at(3_000)), ["new"]);
}

/// Targets that take new work.
fn usable(fleet: &Fleet, now: Micros) -> Vec<&str> {
    let ready = |id: &&str| {
        let replica = fleet.replicas.values().find(|r| r.target.boot.id == **id);
        replica.is_some_and(|r| r.target.state == State::Ready)
    };
    let mut ids = there(fleet, now);
    ids.retain(ready);
    ids.sort_unstable();
    ids
}
