//! An accepted configuration is in force everywhere within seconds and never reverted.

mod common;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::caller::{Answer, Pending};
use common::child::FLEET_KEY;
use common::{quick, wait_for, Child, Fleet, OPERATOR, QUICKSTART};
use fleet::{Action, Digest, Event, Keyring, Member, MemberState, PullScope, Role, TableRow};
use model::{Incarnation, MemberId, Micros, Version};
use serde_json::{json, Value};
use standin::platform::Faults;
use tokio::net::{TcpListener, UdpSocket};
use wire::{Key, Keys};

/// A change that differs from all others.
fn text(mark: &str) -> String {
    format!("{QUICKSTART}\n# {mark}\n")
}

/// An operator's change, on its way through an entry.
fn begin(fleet: &Fleet, entry: usize, base: Option<u64>, mark: &str) -> Pending {
    let body = json!({"text": text(mark), "base": base, "operation": mark, "author": format!("by-{mark}")});
    let body = body.to_string();
    let to = fleet.operator(entry);
    to.begin("PUT", "/admin/configuration", &[], &body)
}

/// An operator's change and what came of it.
fn change(fleet: &Fleet, entry: usize, base: Option<u64>, mark: &str) -> Answer {
    begin(fleet, entry, base, mark).end()
}

/// The version that an accepted change has.
fn accepted(a: &Answer) -> u64 {
    assert_eq!(a.status, 200, "{}", a.text());
    a.json()["version"].as_u64().expect("a version")
}

/// The configuration that an entry has in force.
fn shown(fleet: &Fleet, entry: usize) -> (u64, String) {
    let v = fleet.operator(entry).get("/admin/configuration").json();
    let text = v["text"].as_str().unwrap_or_default().to_owned();
    (v["version"].as_u64().unwrap_or_default(), text)
}

/// The row that the table holds.
fn row(fleet: &Fleet) -> Value {
    let (_, value) = fleet.platform.row("configuration").expect("a row");
    serde_json::from_str(&value).expect("a readable row")
}

/// Members that an entry doesn't know to have a version.
fn lagging(fleet: &Fleet, entry: usize, version: u64) -> usize {
    let status = fleet.operator(entry).get("/admin/status").json();
    let members = status["members"].as_array().cloned().unwrap_or_default();
    let behind = |m: &&Value| m["version"].as_u64() < Some(version) && m["state"] == "alive";
    members.iter().filter(behind).count()
}

/// Two operators start from the same version and send their changes through different entries at
/// the same moment. If the later write simply won, one of them would believe that a change is in
/// force which nobody has; they would learn of it from their callers.
#[test]
fn racing_operators_one_wins_and_the_other_is_told_who() {
    let fleet = Fleet::start(2, 0, &quick());
    let (mut base, _) = shown(&fleet, 0);
    for round in 0..5 {
        let marks = [format!("left-{round}"), format!("right-{round}")];
        let both = [0, 1].map(|e| begin(&fleet, e, Some(base), &marks[e]));
        let both = both.map(Pending::end);
        let won = both.iter().position(|a| a.status == 200).expect("a winner");
        let (winner, loser) = (&both[won], &both[1 - won]);
        assert_eq!(accepted(winner), base + 1);
        assert_eq!(loser.status, 409, "{}", loser.text());
        assert_eq!(loser.code(), "conflict");
        let told = &loser.json()["error"];
        assert_eq!(told["version"], base + 1, "{told}");
        assert_eq!(told["operation"], marks[won], "{told}");
        assert_eq!(told["author"], format!("by-{}", marks[won]), "{told}");
        assert_eq!(row(&fleet)["operation"], marks[won]);
        base += 1;
        for entry in 0..2 {
            fleet.wait_version(entry, base);
            assert_eq!(shown(&fleet, entry), (base, text(&marks[won])));
        }
    }
}

/// The table takes a change, but its answer is lost. An operator who were told that the change
/// failed would make it again, or be told of a conflict with themselves.
#[test]
fn answer_lost_after_the_write_is_accepted_once() {
    let fleet = Fleet::start(2, 0, &quick());
    let (base, _) = shown(&fleet, 0);
    let lose = Faults {
        lose: 1,
        ..Faults::default()
    };
    fleet.platform.set_faults(lose);
    let first = change(&fleet, 0, Some(base), "once");
    assert_eq!(accepted(&first), base + 1);
    let again = change(&fleet, 1, Some(base), "once");
    assert_eq!(accepted(&again), base + 1, "the same change sent again");
    assert_eq!(row(&fleet)["version"], base + 1);
    let others = change(&fleet, 1, Some(base), "others");
    assert_eq!(others.status, 409, "{}", others.text());
    fleet.wait_version(1, base + 1);
}

/// A process stands still while the configuration changes three times, as under a debugger or on
/// a host that swaps. When it goes on, it still has the old text and tells of it. Users would
/// notice a rule that comes back for a moment, or for good.
#[test]
fn paused_process_catches_up_and_nobody_reverts() {
    let fleet = Fleet::start(3, 0, &quick());
    let (base, _) = shown(&fleet, 0);
    fleet.entries[2].signal("STOP");
    fleet.fieldops.signal("STOP");
    for mark in ["a", "b", "c"] {
        accepted(&change(&fleet, 0, None, mark));
    }
    let last = base + 3;
    fleet.wait_version(1, last);
    // The paused ones have only their peers to learn from.
    let outage = Faults {
        outage: true,
        ..Faults::default()
    };
    fleet.platform.set_faults(outage);
    fleet.entries[2].signal("CONT");
    fleet.fieldops.signal("CONT");
    let mut seen = base;
    wait_for("the paused entry to catch up", || {
        for other in 0..2 {
            assert_eq!(shown(&fleet, other), (last, text("c")), "entry {other}");
        }
        let (version, _) = shown(&fleet, 2);
        assert!(version >= seen, "{version} after {seen}");
        seen = version;
        version == last
    });
    assert_eq!(shown(&fleet, 2), (last, text("c")));
    for entry in 0..3 {
        wait_for("all members to have it", || {
            assert_eq!(shown(&fleet, entry).0, last);
            lagging(&fleet, entry, last) == 0 && fleet.live(entry) == 4
        });
    }
}

/// A member of the fleet in this process that never takes a newer configuration.
struct Ghost {
    told: Arc<AtomicU64>,
    asked: Arc<AtomicU64>,
    _run: tokio::runtime::Runtime,
}

impl Ghost {
    /// Joins with a configuration and sticks to it.
    fn join(seed: SocketAddr, row: TableRow) -> Self {
        let run = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("runtime");
        let (told, asked) = (Arc::<AtomicU64>::default(), Arc::<AtomicU64>::default());
        let (t, a) = (Arc::clone(&told), Arc::clone(&asked));
        run.spawn(haunt(seed, row, t, a));
        Self {
            told,
            asked,
            _run: run,
        }
    }
}

async fn haunt(seed: SocketAddr, row: TableRow, told: Arc<AtomicU64>, asked: Arc<AtomicU64>) {
    let udp = UdpSocket::bind("127.0.0.1:0").await.expect("socket");
    let tcp = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let me = Member {
        id: MemberId(rand::random()),
        role: Role::Sidecar,
        host: "elsewhere".to_owned(),
        domain: "local".to_owned(),
        region: "local".to_owned(),
        udp: udp.local_addr().expect("address"),
        tcp: tcp.local_addr().expect("address"),
        http: None,
        pool: None,
        tags: String::new(),
        incarnation: Incarnation(1),
        state: MemberState::Alive,
    };
    let key = Key::from_hex(FLEET_KEY).expect("key");
    let set = fleet::Settings::new(Keyring::new(key.bytes()));
    let mut ghost = fleet::Fleet::new(set, me, 1);
    let born = Instant::now();
    let mut events = vec![Event::Seeds(vec![seed]), Event::Accepted(row)];
    let mut buf = vec![0; 2_048];
    loop {
        let now = Micros(born.elapsed().as_micros() as u64 + 1);
        let mut out = Vec::new();
        for event in events.drain(..) {
            ghost.step(now, event, &mut out);
        }
        let mut failed = Vec::new();
        for action in out {
            match action {
                Action::Send { to, bytes } => {
                    told.fetch_add(1, Ordering::Relaxed);
                    let _ = udp.send_to(&bytes, to).await;
                }
                Action::Pull { from, .. } => failed.push(Event::PullFailed { from }),
                _ => {}
            }
        }
        events = failed;
        tokio::select! {
            got = udp.recv_from(&mut buf) => if let Ok((n, from)) = got {
                let bytes = Bytes::copy_from_slice(&buf[..n]);
                events.push(Event::Datagram { from, bytes });
            },
            got = tcp.accept() => if let Ok((stream, _)) = got {
                asked.fetch_add(1, Ordering::Relaxed);
                let keys = Keys::new(Key::from_hex(FLEET_KEY).expect("key"), None);
                let data = ghost.answer(PullScope::All).encode();
                tokio::spawn(async move {
                    let (mut tx, mut rx) = wire::accept(stream, &keys, rand::random()).await.ok()?;
                    rx.next().await.ok()?;
                    tx.send(wire::Text { data }).await.ok()
                });
            },
            () = tokio::time::sleep(Duration::from_millis(20)) => events.push(Event::Tick),
        }
    }
}

/// A member was cut off from all others, or stood still, and still tells of an old configuration
/// and hands it to whoever asks. Had it its way, rules that were withdrawn would come back.
#[test]
fn member_that_sticks_to_an_old_text_reverts_nobody() {
    let fleet = Fleet::start(2, 0, &quick());
    let (old, was) = shown(&fleet, 0);
    for mark in ["a", "b", "c"] {
        accepted(&change(&fleet, 0, None, mark));
    }
    let last = old + 3;
    (0..2).for_each(|e| fleet.wait_version(e, last));
    let row = TableRow {
        version: Version(old),
        digest: Digest::of(&was),
        text: Bytes::from(was),
    };
    let ghost = Ghost::join(fleet.fieldops.address("gossip"), row);
    for entry in 0..2 {
        wait_for("the old member to be seen", || fleet.live(entry) == 4);
    }
    let told = ghost.told.load(Ordering::Relaxed);
    wait_for("it to have told of the old text", || {
        for entry in 0..2 {
            assert_eq!(shown(&fleet, entry), (last, text("c")), "entry {entry}");
        }
        ghost.told.load(Ordering::Relaxed) > told + 30
    });
    assert_eq!(lagging(&fleet, 0, last), 1, "an operator sees it");
    println!(
        "it was asked for its text {} times",
        ghost.asked.load(Ordering::Relaxed)
    );
}

/// A process reaches none of its peers, but the platform: its only seed is gone. Its callers
/// would be decided upon by old rules for as long as that lasts, and an operator at it would
/// read a change as in force everywhere.
#[test]
fn member_without_peers_follows_the_table_and_accepts_no_change() {
    let mut fleet = Fleet::start(1, 0, &quick());
    let gone = std::net::UdpSocket::bind("127.0.0.1:0").expect("socket");
    let gone = gone.local_addr().expect("address").to_string();
    fleet.entries.push(Child::entry(&fleet.url(), &gone));
    let (base, _) = shown(&fleet, 0);
    fleet.wait_version(1, base);
    let version = accepted(&change(&fleet, 0, None, "one"));
    fleet.wait_version(1, version);
    assert_eq!(shown(&fleet, 1), (version, text("one")));
    let refused = change(&fleet, 1, None, "two");
    assert_eq!(refused.status, 503, "{}", refused.text());
    assert_eq!(refused.code(), "not_joined");
    assert_eq!(row(&fleet)["operation"], "one");
}

/// The table is away when an operator changes something, and later it answers so slowly that the
/// outcome can't be known. An operator told "failed" of a change that holds, or "accepted" of one
/// that doesn't, would act on it.
#[test]
fn operators_are_told_what_is_known_when_the_table_is_away() {
    let fleet = Fleet::start(1, 0, &quick());
    let (base, was) = shown(&fleet, 0);
    let faults = |outage, paused| Faults {
        outage,
        paused,
        ..Faults::default()
    };
    for away in [faults(true, false), faults(false, true)] {
        fleet.platform.set_faults(away.clone());
        let down = change(&fleet, 0, Some(base), "never");
        assert_eq!(down.status, 503, "{away:?}: {}", down.text());
        assert_eq!(down.code(), "platform_down");
        assert_eq!(shown(&fleet, 0), (base, was.clone()));
    }
    fleet.platform.set_faults(Faults::default());
    assert_eq!(row(&fleet)["version"], base);
    assert_eq!(accepted(&change(&fleet, 0, Some(base), "now")), base + 1);
}

/// Until a change is in force everywhere, two callers with the same request may be decided upon
/// differently. How long that takes is measured and printed; the test itself only demands that
/// it ends.
#[test]
fn change_comes_into_force_everywhere() {
    let fleet = Fleet::start(3, 2, &quick());
    let mut took = Vec::new();
    for round in 0..5 {
        let version = accepted(&change(&fleet, round % 3, None, &format!("round-{round}")));
        let start = Instant::now();
        for entry in 0..3 {
            fleet.wait_version(entry, version);
        }
        wait_for("every process to have it", || {
            lagging(&fleet, round % 3, version) == 0
        });
        took.push(start.elapsed());
    }
    took.sort();
    let longest = took.last().copied().unwrap_or(Duration::ZERO);
    println!("in force in 6 processes after {took:?}, the longest {longest:?}");
    let other = common::Caller::new(fleet.entries[0].address("admin"), "no operator");
    assert_ne!(OPERATOR, "no operator");
    assert_eq!(other.get("/admin/configuration").status, 401);
}
