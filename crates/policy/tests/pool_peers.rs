//! Sidecars that are queried about suspects, from this process's own list and the reports of others.

use model::Micros;
use policy::pool_peers::PoolPeers;

fn at(seconds: u64) -> Micros {
    Micros::from_secs(100 + seconds)
}

/// Event at a sidecar, with its time in seconds.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// The own list changes.
    Listed(&'static [u32]),
    /// Another process reports a sidecar.
    Reported(u64, u32),
}

struct Case {
    name: &'static str,
    events: &'static [Event],
    /// Time of the check.
    now: u64,
    keys: &'static [u32],
    newest: &'static [u32],
}

/// Guards against running a suspect without querying a sidecar that only other processes list, and against
/// querying one forever that no longer exists.
#[test]
fn reported_sidecars_are_queried_for_a_while_and_listed_ones_always() {
    use Event::{Listed, Reported};
    #[rustfmt::skip]
    let cases = [
        Case { name: "none", events: &[], now: 0, keys: &[], newest: &[] },
        Case { name: "listed", events: &[Listed(&[1, 2])], now: 900, keys: &[1, 2], newest: &[2, 1] },
        Case { name: "listed later", events: &[Listed(&[3]), Listed(&[1, 2, 3])], now: 0, keys: &[1, 2, 3], newest: &[2, 1] },
        Case { name: "no longer listed", events: &[Listed(&[1, 2]), Listed(&[2])], now: 0, keys: &[2], newest: &[2] },
        Case { name: "reported", events: &[Listed(&[1]), Reported(0, 2)], now: 9, keys: &[1, 2], newest: &[1] },
        Case { name: "reported too long ago", events: &[Listed(&[1]), Reported(0, 2)], now: 10, keys: &[1], newest: &[1] },
        Case { name: "reported again", events: &[Reported(0, 2), Reported(5, 2)], now: 14, keys: &[2], newest: &[] },
        Case { name: "reported, then listed", events: &[Reported(0, 2), Listed(&[2])], now: 900, keys: &[2], newest: &[2] },
        Case { name: "listed, reported, no longer listed", events: &[Listed(&[2]), Reported(0, 2), Listed(&[])], now: 9, keys: &[2], newest: &[] },
        Case { name: "the same, too long ago", events: &[Listed(&[2]), Reported(0, 2), Listed(&[])], now: 10, keys: &[], newest: &[] },
        Case { name: "one of two reported too long ago", events: &[Reported(0, 1), Reported(5, 2)], now: 12, keys: &[2], newest: &[] },
    ];
    for c in cases {
        let mut peers = PoolPeers::default();
        for e in c.events {
            match e {
                Listed(keys) => peers.set_listed(keys.iter().map(|k| (*k, ()))),
                Reported(seconds, key) => {
                    peers.expire(at(*seconds));
                    peers.report(at(*seconds), *key, ());
                }
            }
        }
        peers.expire(at(c.now));
        assert_eq!(peers.keys(), c.keys, "{}", c.name);
        let newest = peers.newest(2);
        let newest: Vec<_> = newest.into_iter().map(|(key, ())| key).collect();
        assert_eq!(newest, c.newest, "{}", c.name);
    }
}
