//! Which targets of a pool take new work.

use model::{Domain, Host, Incarnation, Kind, MemberId, Pool, Region, Target, World};

/// A world with a pool of one target a host.
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

/// The platform takes hosts away. What is begun there is cut; but if all hosts of a pool go, or
/// the list is wrong, refusing everything would be worse.
#[test]
fn leaving_hosts_take_new_work_only_if_no_other_does() {
    struct Case {
        what: &'static str,
        leaving: &'static [bool],
        takes: &'static [u64],
    }
    #[rustfmt::skip]
    let cases = [
        Case { what: "none leaves", leaving: &[false, false], takes: &[0, 1] },
        Case { what: "one leaves", leaving: &[true, false, false], takes: &[1, 2] },
        Case { what: "all leave", leaving: &[true, true], takes: &[0, 1] },
        Case { what: "there is none", leaving: &[], takes: &[] },
    ];
    for c in cases {
        let (world, pool) = world(c.leaving);
        let takes: Vec<u64> = world.pool_targets(pool).map(|(_, t)| t.rank).collect();
        assert_eq!(takes, c.takes, "{}", c.what);
    }
}
