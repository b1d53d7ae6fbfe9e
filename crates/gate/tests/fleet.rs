//! An entry's state of the targets, from lists and from updates of sidecars.

use gate::entry::Fleet;
use gate::update::{HeldPart, LoadedWeights, Update};
use model::{Micros, Position};
use policy::row_expiry;
use site::{Boot, Part, PartId, State, Target};

/// Address of the targets, except those created by [`other`].
const ADDR: &str = "127.0.0.1:9000";
/// Expiry of rows of the list.
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
        build: "v1".to_owned(),
        slots: 8,
        renewed: Position::new(1, renewed),
        weights: Vec::new(),
    }
}

/// Applies a list of the store's first era.
fn list(fleet: &mut Fleet, at: Micros, targets: Vec<Target>) {
    fleet.apply_list(at, Position::new(1, 1_000), targets, &CONFIG);
}

/// A target at another address.
fn other(id: &str, renewed: u64) -> Target {
    Target {
        addr: "127.0.0.1:9001".parse().expect("an address"),
        ..target(id, renewed)
    }
}

/// Number of tokens that a target holds of the part in the test's updates.
fn holds(fleet: &Fleet, id: &str) -> u32 {
    let part = Part {
        id: PartId(7),
        tokens: 30,
    };
    let replica = fleet.replicas.values().find(|r| r.target.boot.id == id);
    replica.map_or(0, |r| r.holds(1, &[part]))
}

/// Ids of the targets that are present.
fn there(fleet: &Fleet, now: Micros) -> Vec<&str> {
    let there = fleet.replicas.values().filter(|r| r.is_present(now));
    there.map(|r| r.target.boot.id.as_str()).collect()
}

/// Guards against sending requests to a crashed engine that is still listed beside its successor at
/// the same address, and against applying the sidecar's updates to the crashed one.
#[test]
fn only_the_target_with_the_latest_heartbeat_is_used_at_an_address() {
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
    fleet.apply_update(now, &update, ADDR.parse().expect("an address"));
    assert_eq!(holds(&fleet, "new"), 30);
    assert_eq!(holds(&fleet, "old"), 0);
}

/// Guards against losing an engine whose address is also in a wrong row of the list: once the
/// engine refuses a request for the wrong target, the right one is used again.
#[test]
fn row_with_another_targets_address_is_excluded_after_a_refusal() {
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
    fleet.record_misdirected(now, key);
    list(&mut fleet, now, listed());
    assert_eq!(there(&fleet, now), ["good"]);
}

/// Guards against losing an engine whose address is in many wrong rows of the list: a refusal for one
/// of them shows that the others are wrong as well if the engine has served.
#[test]
fn wrong_rows_with_the_address_of_a_target_that_has_served_are_excluded_by_one_refusal() {
    let now = Micros::from_secs(100);
    let mut fleet = Fleet::default();
    list(&mut fleet, now, vec![target("good", 5)]);
    let key = |fleet: &Fleet, id: &str| {
        let mut replicas = fleet.replicas.iter();
        replicas
            .find(|(_, r)| r.target.boot.id == id)
            .map(|(k, _)| k)
    };
    let good = key(&fleet, "good").expect("the good one");
    fleet.record_success(good);
    let names: Vec<_> = (0..500).map(|n| format!("false-{n}")).collect();
    let false_ones = names.iter().zip(9..).map(|(n, at)| target(n, at));
    list(
        &mut fleet,
        now,
        false_ones.chain([target("good", 5)]).collect(),
    );
    assert_eq!(there(&fleet, now), ["false-499"]);
    let last = key(&fleet, "false-499").expect("the last one");
    fleet.record_misdirected(now, last);
    assert_eq!(there(&fleet, now), ["good"]);
}

/// Guards against sending requests to an ended engine until its row expires seconds later: its
/// successor at the address refuses them, and tens of streams exhausted the retry budget.
#[test]
fn ended_engine_is_not_used_until_its_next_heartbeat() {
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
    fleet.apply_update(now, &update(false), addr);
    assert_eq!(there(&fleet, now), ["old"]);
    fleet.apply_update(now, &update(true), addr);
    assert!(there(&fleet, now).is_empty());
    // The successor answers the sidecar before it is listed.
    fleet.apply_update(now, &update(false), addr);
    list(&mut fleet, now, vec![target("old", 5)]);
    assert!(there(&fleet, now).is_empty());
    list(&mut fleet, now, vec![target("old", 5), target("new", 9)]);
    assert_eq!(there(&fleet, now), ["new"]);
    // A connection was refused, but the engine still sends heartbeats.
    fleet.apply_update(now, &update(true), addr);
    list(&mut fleet, now, vec![target("new", 12)]);
    assert_eq!(there(&fleet, now), ["new"]);
}

/// An engine's next incarnation executes an abandoned order late. An entry that ignores the older
/// weights demands the newer ones, so all requests are refused until the next order.
#[test]
fn reported_downgrade_of_weights_is_applied_after_a_delay() {
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
        fleet.apply_update(at(ms), &update, addr);
        let first = fleet.replicas.values().next().expect("the engine");
        first.weights["m"]
    };
    assert_eq!(reports(&mut fleet, 0, 2), 2);
    assert_eq!(reports(&mut fleet, 10, 3), 3);
    // A report from before the load may arrive late.
    assert_eq!(reports(&mut fleet, 200, 2), 3);
    assert_eq!(reports(&mut fleet, 1_000, 2), 2);
    assert_eq!(reports(&mut fleet, 1_050, 3), 3);
}

/// A target that left 1.3 s after an outage was retained as if its row had expired in the outage:
/// a request reached it 2,264 ms after it had left, and others were lost.
#[test]
fn target_that_leaves_after_a_store_outage_is_removed_at_once() {
    let at = |ms: u64| Micros::from_millis(100_000 + ms);
    let mut fleet = Fleet::default();
    let all = || vec![target("stays", 5), other("leaves", 6)];
    list(&mut fleet, at(0), all());
    fleet.record_list_failure(at(700));
    fleet.record_list_failure(at(5_900));
    list(&mut fleet, at(6_000), all());
    assert_eq!(there(&fleet, at(6_000)).len(), 2);
    list(&mut fleet, at(7_300), vec![target("stays", 5)]);
    assert_eq!(there(&fleet, at(7_300)), ["stays"]);
}

/// A row that expired in an outage may be renewed within two seconds. If it isn't, an entry for
/// which others read the list used the target until its next read, up to four seconds later.
#[test]
fn target_whose_row_expired_in_a_store_outage_is_used_for_a_limited_time() {
    let at = |ms: u64| Micros::from_millis(100_000 + ms);
    let mut fleet = Fleet::default();
    list(
        &mut fleet,
        at(0),
        vec![target("stays", 5), other("lapsed", 6)],
    );
    fleet.record_list_failure(at(700));
    list(&mut fleet, at(6_000), vec![target("stays", 5)]);
    // Another entry confirms that the list is unchanged.
    fleet.confirm_list(at(7_000));
    list(&mut fleet, at(8_000), vec![target("stays", 5)]);
    assert_eq!(there(&fleet, at(8_100)).len(), 2);
    assert_eq!(there(&fleet, at(8_200)), ["stays"]);
}

/// Guards against excluding a target forever after a refusal that wasn't caused by the target.
#[test]
fn wrongly_excluded_target_is_used_again_once_it_renews_its_row() {
    struct Case {
        name: &'static str,
        /// Versions of the target's row in lists, one read per second, after the exclusion.
        rows: &'static [u64],
        exclusions: usize,
        there: bool,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "not listed since the exclusion", rows: &[], exclusions: 1, there: false },
        Case { name: "row may be from before the exclusion", rows: &[6], exclusions: 1, there: false },
        Case { name: "row unchanged, like that of a target that has ended", rows: &[5, 5, 5, 5], exclusions: 1, there: false },
        Case { name: "row renewed", rows: &[5, 5, 6], exclusions: 1, there: true },
        Case { name: "excluded twice, row renewed once", rows: &[5, 6], exclusions: 2, there: false },
        Case { name: "excluded twice, row renewed twice", rows: &[5, 6, 7], exclusions: 2, there: true },
    ];
    for c in cases {
        let mut now = Micros::from_secs(100);
        let mut fleet = Fleet::default();
        list(&mut fleet, now, vec![target("one", 5)]);
        let key = fleet.replicas.keys().next().expect("one");
        for i in 0..c.exclusions {
            fleet.record_misdirected(now, key);
            let between: &[u64] = if i + 1 < c.exclusions {
                &[1, 2]
            } else {
                c.rows
            };
            for row in between {
                now = now + Micros::from_secs(1);
                list(&mut fleet, now, vec![target("one", *row)]);
            }
        }
        assert_eq!(!there(&fleet, now).is_empty(), c.there, "{}", c.name);
    }
}

/// Guards against a restored list that adds a target that has left or removes one that has joined.
#[test]
fn known_targets_are_used_after_a_restore_until_their_rows_are_renewed() {
    struct Case {
        name: &'static str,
        /// List from the backup.
        backup: Vec<Target>,
        /// List after the targets had time to renew their rows.
        later: Vec<Target>,
        /// Targets that are used after the first list.
        used_first: &'static [&'static str],
        /// Targets that are used after the second list.
        used_last: &'static [&'static str],
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
            name: "a target that has left is in the backup",
            backup: vec![a(20), b(21)],
            later: vec![a(20), b(95)],
            used_first: &["b"],
            used_last: &["b"],
        },
        Case {
            name: "a target that has left joins again",
            backup: vec![a(20), b(21)],
            later: vec![a(96), b(95)],
            used_first: &["b"],
            used_last: &["a", "b"],
        },
        Case {
            name: "a target that has joined isn't in the backup and adds its row again",
            backup: vec![a(20)],
            later: vec![b(95)],
            used_first: &["b"],
            used_last: &["b"],
        },
        Case {
            name: "a target that has joined does not renew its row",
            backup: vec![],
            later: vec![],
            used_first: &["b"],
            used_last: &[],
        },
        Case {
            name: "a target drains after the restore, before the first read",
            backup: vec![draining(b(30))],
            later: vec![draining(b(30))],
            used_first: &[],
            used_last: &[],
        },
    ];
    for c in cases {
        let mut fleet = Fleet::default();
        let at = Micros::from_millis;
        list(&mut fleet, at(1_000), vec![target("a", 40)]);
        list(&mut fleet, at(2_000), vec![other("b", 60)]);
        fleet.apply_list(at(3_000), Position::new(2, 50), c.backup, &CONFIG);
        assert_eq!(usable(&fleet, at(3_000)), c.used_first, "{}", c.name);
        fleet.apply_list(at(5_500), Position::new(2, 100), c.later, &CONFIG);
        assert_eq!(usable(&fleet, at(5_500)), c.used_last, "{}", c.name);
    }
}

/// Guards against requests to a target that left after a restored store had listed it.
#[test]
fn target_that_leaves_after_being_listed_by_a_restored_store_is_kept() {
    struct Case {
        name: &'static str,
        /// Version of the target's row when it was last listed, 0.5 s after the first read.
        row: u64,
        /// Time from then to the first list without the target.
        left: Micros,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "row unchanged since the first read, left at once", row: 45, left: Micros::from_millis(1) },
        Case { name: "row unchanged since the first read, left later", row: 45, left: Micros::from_millis(680) },
        Case { name: "row renewed since the first read", row: 55, left: Micros::from_millis(680) },
    ];
    let stays = || vec![other("stays", 7)];
    let leaves = |era, version| Target {
        renewed: Position::new(era, version),
        ..target("leaves", 0)
    };
    for c in cases {
        let mut fleet = Fleet::default();
        let mut read = |at, position, leaves: Option<Target>| {
            let targets = stays().into_iter().chain(leaves).collect();
            fleet.apply_list(at, position, targets, &CONFIG);
            fleet.replicas.len()
        };
        let first = Micros::from_millis(14_000);
        let last = first + Micros::from_millis(500);
        read(
            Micros::from_millis(10_000),
            Position::new(1, 60),
            Some(leaves(1, 40)),
        );
        read(first, Position::new(2, 50), Some(leaves(2, 45)));
        assert_eq!(
            read(last, Position::new(2, 56), Some(leaves(2, c.row))),
            2,
            "{}",
            c.name
        );
        assert_eq!(
            read(last + c.left, Position::new(2, 57), None),
            1,
            "{}",
            c.name
        );
    }
}

/// Guards against a restored list in which the previous target of an address has a position of the
/// new era.
#[test]
fn previous_target_of_an_address_does_not_replace_the_current_one_after_a_restore() {
    let mut fleet = Fleet::default();
    let at = Micros::from_millis;
    list(
        &mut fleet,
        at(1_000),
        vec![target("old", 5), target("new", 9)],
    );
    let mut old = target("old", 0);
    old.renewed = Position::new(2, 5);
    fleet.apply_list(at(3_000), Position::new(2, 7), vec![old], &CONFIG);
    assert_eq!(there(&fleet, at(3_000)), ["new"]);
}

/// Ids of the targets that accept new requests.
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
