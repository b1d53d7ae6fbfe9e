//! An accepted configuration comes into force everywhere within seconds and is never reverted.

mod common;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::caller::{Answer, Pending};
use common::child::FLEET_KEY;
use common::{quick, wait_for, Child, Fleet, OPERATOR_KEY, QUICKSTART};
use fleet::{Action, Digest, Event, Keyring, Member, MemberState, PullScope, Role, TableRow};
use model::{Incarnation, MemberId, Micros, Version};
use serde_json::{json, Value};
use standin::platform::Faults;
use tokio::net::{TcpListener, UdpSocket};
use wire::{Key, Keys};

/// The quickstart configuration with a mark that makes its text unique.
fn marked_text(mark: &str) -> String {
    format!("{QUICKSTART}\n# {mark}\n")
}

/// Sends an operator's change of the configuration through an entry.
fn send_change(fleet: &Fleet, entry: usize, base: Option<u64>, mark: &str) -> Pending {
    let body = json!({"text": marked_text(mark), "base": base, "operation": mark, "author": format!("by-{mark}")});
    let body = body.to_string();
    let to = fleet.operator(entry);
    to.begin("PUT", "/admin/configuration", &[], &body)
}

/// Sends an operator's change and waits for its answer.
fn change(fleet: &Fleet, entry: usize, base: Option<u64>, mark: &str) -> Answer {
    send_change(fleet, entry, base, mark).end()
}

/// Asserts that a change was accepted and returns its version.
fn accepted_version(a: &Answer) -> u64 {
    assert_eq!(a.status, 200, "{}", a.text());
    a.json()["version"].as_u64().expect("a version")
}

/// Version and text of the configuration that an entry has in force.
fn in_force(fleet: &Fleet, entry: usize) -> (u64, String) {
    let v = fleet.operator(entry).get("/admin/configuration").json();
    let text = v["text"].as_str().unwrap_or_default().to_owned();
    (v["version"].as_u64().unwrap_or_default(), text)
}

/// The configuration's row in the platform's table.
fn config_row(fleet: &Fleet) -> Value {
    let (_, value) = fleet.platform.row("configuration").expect("a row");
    serde_json::from_str(&value).expect("a readable row")
}

/// Number of live members whose version, as an entry sees it, is older than the given one.
fn lagging(fleet: &Fleet, entry: usize, version: u64) -> usize {
    let status = fleet.operator(entry).get("/admin/status").json();
    let members = status["members"].as_array().cloned().unwrap_or_default();
    let is_lagging = |m: &&Value| m["version"].as_u64() < Some(version) && m["state"] == "alive";
    members.iter().filter(is_lagging).count()
}

/// Guards against a lost update when two operators change the same version through different
/// entries: the losing change would be reported as accepted but not be in force.
#[test]
fn concurrent_change_is_refused_with_the_operation_and_author_of_the_accepted_one() {
    let fleet = Fleet::start(2, 0, &quick());
    let (mut base, _) = in_force(&fleet, 0);
    for round in 0..5 {
        let marks = [format!("left-{round}"), format!("right-{round}")];
        let both = [0, 1].map(|e| send_change(&fleet, e, Some(base), &marks[e]));
        let both = both.map(Pending::end);
        let won = both.iter().position(|a| a.status == 200).expect("a winner");
        let (winner, loser) = (&both[won], &both[1 - won]);
        assert_eq!(accepted_version(winner), base + 1);
        assert_eq!(loser.status, 409, "{}", loser.text());
        assert_eq!(loser.code(), "conflict");
        let conflict = &loser.json()["error"];
        assert_eq!(conflict["version"], base + 1, "{conflict}");
        assert_eq!(conflict["operation"], marks[won], "{conflict}");
        assert_eq!(
            conflict["author"],
            format!("by-{}", marks[won]),
            "{conflict}"
        );
        assert_eq!(config_row(&fleet)["operation"], marks[won]);
        base += 1;
        for entry in 0..2 {
            fleet.wait_version(entry, base);
            assert_eq!(in_force(&fleet, entry), (base, marked_text(&marks[won])));
        }
    }
}

/// Guards against reporting a change as failed, or as in conflict with itself when it is sent
/// again, because the answer to its write was lost.
#[test]
fn change_whose_write_lost_its_answer_is_accepted_once() {
    let fleet = Fleet::start(2, 0, &quick());
    let (base, _) = in_force(&fleet, 0);
    let lose = Faults {
        lose: 1,
        ..Faults::default()
    };
    fleet.platform.set_faults(lose);
    let first = change(&fleet, 0, Some(base), "once");
    assert_eq!(accepted_version(&first), base + 1);
    let again = change(&fleet, 1, Some(base), "once");
    assert_eq!(
        accepted_version(&again),
        base + 1,
        "the same change sent again"
    );
    assert_eq!(config_row(&fleet)["version"], base + 1);
    let others = change(&fleet, 1, Some(base), "others");
    assert_eq!(others.status, 409, "{}", others.text());
    fleet.wait_version(1, base + 1);
}

/// Guards against reverting a configuration when processes that were paused during three changes,
/// as on a host that swaps, resume and announce their old version.
#[test]
fn paused_process_catches_up_and_reverts_no_other_process() {
    let fleet = Fleet::start(3, 0, &quick());
    let (base, _) = in_force(&fleet, 0);
    fleet.entries[2].signal("STOP");
    fleet.fieldops.signal("STOP");
    for mark in ["a", "b", "c"] {
        accepted_version(&change(&fleet, 0, None, mark));
    }
    let last = base + 3;
    fleet.wait_version(1, last);
    // During the outage, the paused processes can get the new version only from their peers.
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
            assert_eq!(
                in_force(&fleet, other),
                (last, marked_text("c")),
                "entry {other}"
            );
        }
        let (version, _) = in_force(&fleet, 2);
        assert!(version >= seen, "{version} after {seen}");
        seen = version;
        version == last
    });
    assert_eq!(in_force(&fleet, 2), (last, marked_text("c")));
    for entry in 0..3 {
        wait_for("all members to have the last version", || {
            assert_eq!(in_force(&fleet, entry).0, last);
            lagging(&fleet, entry, last) == 0 && fleet.live_members(entry) == 4
        });
    }
}

/// A member of the fleet, run by this test, that never accepts a newer configuration.
struct StaleMember {
    sent: Arc<AtomicU64>,
    connections: Arc<AtomicU64>,
    _run: tokio::runtime::Runtime,
}

impl StaleMember {
    /// Joins the fleet with a configuration and keeps announcing it.
    fn join(seed: SocketAddr, row: TableRow) -> Self {
        let run = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("runtime");
        let (sent, connections) = (Arc::<AtomicU64>::default(), Arc::<AtomicU64>::default());
        let (t, a) = (Arc::clone(&sent), Arc::clone(&connections));
        run.spawn(run_stale_member(seed, row, t, a));
        Self {
            sent,
            connections,
            _run: run,
        }
    }
}

/// Takes part in the membership protocol, counts the datagrams that it sends and the connections
/// that it accepts, and lets its own fetches of newer configurations fail.
async fn run_stale_member(
    seed: SocketAddr,
    row: TableRow,
    sent: Arc<AtomicU64>,
    connections: Arc<AtomicU64>,
) {
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
    let mut stale = fleet::Fleet::new(set, me, 1);
    let born = Instant::now();
    let mut events = vec![Event::Seeds(vec![seed]), Event::Accepted(row)];
    let mut buf = vec![0; 2_048];
    loop {
        let now = Micros(born.elapsed().as_micros() as u64 + 1);
        let mut out = Vec::new();
        for event in events.drain(..) {
            stale.step(now, event, &mut out);
        }
        let mut failed = Vec::new();
        for action in out {
            match action {
                Action::Send { to, bytes } => {
                    sent.fetch_add(1, Ordering::Relaxed);
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
                connections.fetch_add(1, Ordering::Relaxed);
                let keys = Keys::new(Key::from_hex(FLEET_KEY).expect("key"), None);
                let data = stale.answer(PullScope::All).encode();
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

/// Guards against members that adopt the old configuration which a partitioned or paused member
/// still announces and serves: withdrawn rules would come into force again.
#[test]
fn member_with_an_old_configuration_reverts_no_other_member() {
    let fleet = Fleet::start(2, 0, &quick());
    let (old, old_text) = in_force(&fleet, 0);
    for mark in ["a", "b", "c"] {
        accepted_version(&change(&fleet, 0, None, mark));
    }
    let last = old + 3;
    (0..2).for_each(|e| fleet.wait_version(e, last));
    let row = TableRow {
        version: Version(old),
        digest: Digest::of(&old_text),
        text: Bytes::from(old_text),
    };
    let stale = StaleMember::join(fleet.fieldops.address("gossip"), row);
    for entry in 0..2 {
        wait_for("the stale member to be listed", || {
            fleet.live_members(entry) == 4
        });
    }
    let sent = stale.sent.load(Ordering::Relaxed);
    wait_for("the stale member to announce its configuration", || {
        for entry in 0..2 {
            assert_eq!(
                in_force(&fleet, entry),
                (last, marked_text("c")),
                "entry {entry}"
            );
        }
        stale.sent.load(Ordering::Relaxed) > sent + 30
    });
    assert_eq!(
        lagging(&fleet, 0, last),
        1,
        "the status shows the stale member"
    );
    println!(
        "the stale member accepted {} connections",
        stale.connections.load(Ordering::Relaxed)
    );
}

/// Guards against a process that reaches the platform but no peer, since its only seed is gone: it
/// would apply old rules, or accept a change and report it as in force everywhere.
#[test]
fn member_without_peers_follows_the_table_and_accepts_no_change() {
    let mut fleet = Fleet::start(1, 0, &quick());
    let gone = std::net::UdpSocket::bind("127.0.0.1:0").expect("socket");
    let gone = gone.local_addr().expect("address").to_string();
    fleet.entries.push(Child::entry(&fleet.url(), &gone));
    let (base, _) = in_force(&fleet, 0);
    fleet.wait_version(1, base);
    let version = accepted_version(&change(&fleet, 0, None, "one"));
    fleet.wait_version(1, version);
    assert_eq!(in_force(&fleet, 1), (version, marked_text("one")));
    let refused = change(&fleet, 1, None, "two");
    assert_eq!(refused.status, 503, "{}", refused.text());
    assert_eq!(refused.code(), "not_joined");
    assert_eq!(config_row(&fleet)["operation"], "one");
}

/// Guards against a wrong outcome of a change while the table refuses calls or doesn't answer:
/// "accepted" for one that isn't in force, or "failed" for one that is.
#[test]
fn change_is_refused_while_the_table_is_unavailable() {
    let fleet = Fleet::start(1, 0, &quick());
    let (base, base_text) = in_force(&fleet, 0);
    let faults = |outage, paused| Faults {
        outage,
        paused,
        ..Faults::default()
    };
    for unavailable in [faults(true, false), faults(false, true)] {
        fleet.platform.set_faults(unavailable.clone());
        let down = change(&fleet, 0, Some(base), "never");
        assert_eq!(down.status, 503, "{unavailable:?}: {}", down.text());
        assert_eq!(down.code(), "platform_down");
        assert_eq!(in_force(&fleet, 0), (base, base_text.clone()));
    }
    fleet.platform.set_faults(Faults::default());
    assert_eq!(config_row(&fleet)["version"], base);
    assert_eq!(
        accepted_version(&change(&fleet, 0, Some(base), "now")),
        base + 1
    );
}

/// Guards against a change that doesn't reach all processes, so that equal requests are decided by
/// different rules. The time that it takes is printed; only the time limit of each wait is checked.
#[test]
fn change_comes_into_force_everywhere() {
    let fleet = Fleet::start(3, 2, &quick());
    let mut took = Vec::new();
    for round in 0..5 {
        let version = accepted_version(&change(&fleet, round % 3, None, &format!("round-{round}")));
        let start = Instant::now();
        for entry in 0..3 {
            fleet.wait_version(entry, version);
        }
        wait_for("every process to have the version", || {
            lagging(&fleet, round % 3, version) == 0
        });
        took.push(start.elapsed());
    }
    took.sort();
    let longest = took.last().copied().unwrap_or(Duration::ZERO);
    println!("in force in 6 processes after {took:?}, the longest {longest:?}");
    let not_operator = common::Caller::new(fleet.entries[0].address("admin"), "no operator");
    assert_ne!(OPERATOR_KEY, "no operator");
    assert_eq!(not_operator.get("/admin/configuration").status, 401);
}
