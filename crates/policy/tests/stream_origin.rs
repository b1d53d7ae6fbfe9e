//! Which build began a stream: what processes keep, who holds it, and how it is found.

use std::collections::HashSet;
use std::net::SocketAddr;

use assert_matches::assert_matches;
use model::Micros;
use policy::stream_origin::{
    holders, BuildKey, Config, Delivery, Inquiry, Members, Origins, Peer, Silent, Step, StreamKey,
};

const STREAM: StreamKey = StreamKey(7);

fn at(ms: u64) -> Micros {
    Micros::from_millis(ms)
}

fn peers(kind: u8, count: u8, domains: u64) -> Vec<Peer> {
    let peer = |n| Peer {
        addr: SocketAddr::from(([10, 0, kind, n], 7_000)),
        domain: u64::from(n) % domains,
    };
    (0..count).map(peer).collect()
}

fn members(entries: u8, sidecars: u8) -> Members {
    members_in(entries, sidecars, 1)
}

/// Processes in a number of failure domains.
fn members_in(entries: u8, sidecars: u8, domains: u64) -> Members {
    Members {
        entries: peers(1, entries, domains),
        sidecars: peers(2, sidecars, domains),
    }
}

/// The holders of a stream's origin.
fn holders_of(stream: StreamKey, members: &Members) -> Vec<SocketAddr> {
    holders(&Config::default(), stream, members)
}

#[test]
fn origin_is_kept_until_its_end_and_the_first_one_stays() {
    // Guards against a stream whose build changes, and against records that are never dropped.
    let mut origins = Origins::default();
    origins.record(at(0), STREAM, BuildKey(1), at(1_000));
    origins.record(at(100), STREAM, BuildKey(2), at(2_000));
    assert_eq!(
        origins.get(at(1_500), STREAM),
        Some((BuildKey(1), at(2_000)))
    );
    // A shorter time doesn't end it sooner.
    origins.record(at(1_500), STREAM, BuildKey(1), at(1_600));
    assert_eq!(
        origins.get(at(1_900), STREAM),
        Some((BuildKey(1), at(2_000)))
    );
    assert_eq!(origins.get(at(2_000), STREAM), None);
    assert!(origins.is_empty());
}

#[test]
fn number_of_origins_has_a_bound() {
    // Guards against memory that grows with the number of streams.
    let mut origins = Origins::default();
    let capacity = Config::default().capacity as u64;
    for n in 0..capacity + 100 {
        origins.record(at(0), StreamKey(n), BuildKey(1), at(1_000 + n));
    }
    assert_eq!(origins.len() as u64, capacity);
    // Those that end first are dropped.
    assert_eq!(origins.get(at(1), StreamKey(99)), None);
    assert!(origins.get(at(1), StreamKey(100)).is_some());
}

#[test]
fn holder_is_queried_first_although_members_have_changed() {
    // Guards against a stream that doesn't go on because processes have started or ended since.
    struct Case {
        name: &'static str,
        before: Members,
        after: Members,
    }
    let others = |members: &Members, without: usize| Members {
        entries: members.entries[without..].to_vec(),
        ..members.clone()
    };
    #[rustfmt::skip]
    let cases = [
        Case { name: "the same", before: members(29, 52), after: members(29, 52) },
        Case { name: "the first entry is gone", before: members(29, 52), after: others(&members(29, 52), 1) },
        Case { name: "two have started", before: members(28, 51), after: members(29, 52) },
        Case { name: "no sidecars", before: members(3, 0), after: members(3, 0) },
        Case { name: "no other entry", before: members(0, 3), after: members(0, 3) },
    ];
    for c in cases {
        for n in 0..500 {
            let stream = StreamKey(n);
            let held = holders_of(stream, &c.before);
            assert!((2..=3).contains(&held.len()), "{}", c.name);
            let mut inquiry = Inquiry::new(at(0), Config::default(), stream, &c.after);
            let queried = inquiry.next(at(0));
            assert_matches!(queried, Step::Query(to) if held.iter().any(|h| to.contains(h)));
        }
    }
}

#[test]
fn holders_are_spread_over_all_processes() {
    // Guards against one process that holds the origins of all streams.
    let held: HashSet<_> = (0..2_000)
        .flat_map(|n| holders_of(StreamKey(n), &members(29, 52)))
        .collect();
    assert_eq!(held.len(), 29 + 52);
}

#[test]
fn search_ends_at_once_if_no_process_knows_the_origin() {
    // Guards against a caller that waits although its request can't be served.
    let config = Config::default();
    let members = members(5, 2);
    let mut inquiry = Inquiry::new(at(0), config, STREAM, &members);
    let mut queried = HashSet::new();
    let mut now = at(0);
    loop {
        match inquiry.next(now) {
            Step::Query(to) => {
                now = now + at(2);
                queried.extend(to.iter().copied());
                to.iter()
                    .for_each(|from| inquiry.record_unknown(now, *from));
            }
            Step::Wait(_) => panic!("nothing to wait for"),
            Step::Unknown => break,
        }
    }
    assert_eq!(queried.len(), 7);
    assert!(now < at(10), "{now:?}");
}

#[test]
fn silent_processes_are_queried_again_until_the_search_ends() {
    // Guards against a stream that doesn't go on because a datagram was lost, and a search without
    // an end.
    let config = Config::default();
    let mut inquiry = Inquiry::new(at(0), config, STREAM, &members(10, 10));
    let mut counts = Vec::new();
    let mut now = at(0);
    loop {
        match inquiry.next(now) {
            Step::Query(to) => counts.push(to.len()),
            Step::Wait(until) => now = until,
            Step::Unknown => break,
        }
    }
    // The first candidates of both kinds, then all entries and sidecars as well.
    assert_eq!(counts, [6, 20, 20, 20, 20]);
    assert_eq!(now, config.timeout);
}

#[test]
fn holders_are_in_different_failure_domains() {
    // Guards against an origin that is lost with one failure domain.
    struct Case {
        name: &'static str,
        members: Members,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "few sidecars", members: members_in(4, 4, 2) },
        Case { name: "many sidecars", members: members_in(29, 52, 4) },
        Case { name: "one sidecar", members: members_in(6, 1, 3) },
        Case { name: "no sidecars", members: members_in(6, 0, 3) },
    ];
    for c in cases {
        let all = c.members.entries.iter().chain(&c.members.sidecars);
        let domain = |a: &SocketAddr| all.clone().find(|p| p.addr == *a).map(|p| p.domain);
        for n in 0..500 {
            let held = holders_of(StreamKey(n), &c.members);
            assert_eq!(held.len(), 3, "{}", c.name);
            let apart: HashSet<_> = held.iter().map(domain).collect();
            assert!(apart.len() >= 2, "{}: {held:?}", c.name);
        }
    }
}

#[test]
fn origin_is_found_although_most_listed_processes_have_ended() {
    // Guards against origins that only ended processes are sent to, or that only these are asked for:
    // rows of processes that have ended stay in the list.
    struct Case {
        name: &'static str,
        entries: u8,
        sidecars: u8,
        /// The first sidecars run, the others have ended; so have all entries but the searching one.
        running: u8,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "all run", entries: 3, sidecars: 9, running: 9 },
        Case { name: "most have ended", entries: 3, sidecars: 36, running: 10 },
        Case { name: "one runs", entries: 3, sidecars: 36, running: 1 },
        Case { name: "many", entries: 56, sidecars: 200, running: 120 },
    ];
    let config = Config::default();
    for c in cases {
        let members = members_in(c.entries, c.sidecars, 4);
        let runs = |a: &SocketAddr| {
            members.sidecars[..c.running.into()]
                .iter()
                .any(|p| p.addr == *a)
        };
        let mut silent = Silent::default();
        let mut found = 0;
        for n in 0..200 {
            let (stream, start) = (StreamKey(n), at(n * 20));
            let known = silent.without(start, members.clone());
            let (mut delivery, mut sent) = Delivery::new(&config, start, stream, &known);
            let mut held: HashSet<SocketAddr> = HashSet::new();
            // The entries end a second after the first event.
            for round in 0..20 {
                let now = start + at(round * 50);
                held.extend(sent.iter().filter(|a| runs(a)));
                for holder in &held {
                    delivery.confirm(*holder);
                    silent.clear(*holder);
                }
                if delivery.is_complete() {
                    break;
                }
                let late;
                (sent, late) = delivery.replace_silent(&config, now + at(50));
                late.into_iter()
                    .for_each(|a| silent.record(&config, now, a));
            }
            found += usize::from(is_found(stream, &members, runs, &held));
        }
        assert!(found >= 190, "{}: {found} of 200", c.name);
    }
}

/// Whether a search finds an origin that some processes hold; only those that run answer.
fn is_found(
    stream: StreamKey,
    members: &Members,
    runs: impl Fn(&SocketAddr) -> bool,
    held: &HashSet<SocketAddr>,
) -> bool {
    let mut inquiry = Inquiry::new(at(0), Config::default(), stream, members);
    let mut now = at(0);
    loop {
        match inquiry.next(now) {
            Step::Query(to) if to.iter().any(|a| held.contains(a)) => return true,
            Step::Query(to) => {
                let answers = to.iter().filter(|a| runs(a));
                answers.for_each(|a| inquiry.record_unknown(now, *a));
            }
            Step::Wait(until) => now = until,
            Step::Unknown => return false,
        }
    }
}
