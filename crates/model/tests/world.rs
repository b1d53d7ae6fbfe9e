//! Selection of the targets of a pool that get new requests.

use model::{Domain, Host, Incarnation, Kind, MemberId, Pool, Region, Target, World};

/// A pool with one target on each host; `leaving` has an entry for each host.
fn world(leaving: &[bool]) -> (World, model::PoolKey) {
    let mut w = World::default();
    let region = w.regions.insert(Region {
        name: "r".to_owned(),
    });
    let domain = w.domains.insert(Domain {
        name: "d".to_owned(),
        region,
    });
    let pool = w.pools.insert(Pool {
        name: "p".to_owned(),
        kind: Kind::Model,
    });
    for (i, leaving) in leaving.iter().enumerate() {
        let host = w.hosts.insert(Host {
            name: i.to_string(),
            domain,
            leaving: *leaving,
        });
        let at = "127.0.0.1:1".parse().expect("an address");
        w.targets.insert(Target {
            pool,
            host,
            member: MemberId(i as u64),
            incarnation: Incarnation(1),
            rank: i as u64,
            probe: at,
            exchange: at,
        });
    }
    (w, pool)
}

/// Guards against requests that are cut off because they were started on a leaving host, and
/// against refusing every request when all hosts of a pool are leaving or are listed so wrongly.
#[test]
fn leaving_hosts_get_new_requests_only_if_no_other_host_is_available() {
    struct Case {
        what: &'static str,
        leaving: &'static [bool],
        selected: &'static [u64],
    }
    #[rustfmt::skip]
    let cases = [
        Case { what: "no host is leaving", leaving: &[false, false], selected: &[0, 1] },
        Case { what: "one host is leaving", leaving: &[true, false, false], selected: &[1, 2] },
        Case { what: "all hosts are leaving", leaving: &[true, true], selected: &[0, 1] },
        Case { what: "the pool is empty", leaving: &[], selected: &[] },
    ];
    for c in cases {
        let (world, pool) = world(c.leaving);
        let selected: Vec<u64> = world.pool_targets(pool).map(|(_, t)| t.rank).collect();
        assert_eq!(selected, c.selected, "{}", c.what);
    }
}
