//! Which engines an entry subscribes to, and the subscribers of sidecars.

use model::Micros;
use policy::subscription::{self, Sidecar, Subscribers};

fn ms(n: u64) -> Micros {
    Micros::from_millis(n)
}

/// 350 entries that each receive 830 engines take in 16,000 datagrams a second.
#[test]
fn entry_subscribes_to_few_of_many_engines_and_the_near_ones_first() {
    struct Case {
        name: &'static str,
        engines: usize,
        domains: usize,
        chosen: usize,
        near: usize,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "a small fleet: all", engines: 9, domains: 3, chosen: 9, near: 3 },
        Case { name: "as many as there may be", engines: 96, domains: 4, chosen: 96, near: 24 },
        Case { name: "the domain and some others", engines: 830, domains: 11, chosen: 96, near: 76 },
        Case { name: "a part of a large domain", engines: 830, domains: 2, chosen: 96, near: 96 },
    ];
    let addr = |n: usize| std::net::SocketAddr::from(([127, 0, 0, 1], n as u16 + 1));
    for c in cases {
        let sidecars = (0..c.engines).map(|n| Sidecar {
            addr: addr(n),
            same_domain: n % c.domains == 0,
            rank: (n as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15),
        });
        let desired = subscription::select(sidecars);
        assert_eq!(desired.len(), c.chosen, "{}", c.name);
        let near = desired
            .iter()
            .filter(|a| (a.port() as usize - 1).is_multiple_of(c.domains));
        assert_eq!(near.count(), c.near, "{}", c.name);
    }
}

/// A sidecar reports for good to entries that are gone, or drops one after a single lost renewal.
#[test]
fn subscription_survives_two_lost_renewals_and_then_expires() {
    let entry = |n: u16| std::net::SocketAddr::from(([127, 0, 0, 1], n));
    let mut subscribers = Subscribers::default();
    assert!(subscribers.subscribe(ms(0), entry(1)), "it is new");
    assert!(subscribers.subscribe(ms(0), entry(2)));
    assert!(!subscribers.subscribe(ms(2_000), entry(1)), "it is renewed");
    // Two renewals of the first are lost.
    assert!(!subscribers.subscribe(ms(7_900), entry(1)));
    let active: Vec<_> = subscribers.active(ms(8_000)).collect();
    assert_eq!(active, [entry(1)]);
    assert!(subscribers.subscribe(ms(20_000), entry(1)), "it is new");
}

/// After a start of all processes no engine takes weights until the second renewal.
#[test]
fn subscriptions_are_retried_soon_after_a_start() {
    struct Case {
        name: &'static str,
        running: u64,
        all_confirmed: bool,
        want: u64,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "just started", running: 50, all_confirmed: false, want: 200 },
        Case { name: "all have confirmed", running: 50, all_confirmed: true, want: 2_000 },
        Case { name: "some sidecar is gone for good", running: 60_000, all_confirmed: false, want: 2_000 },
    ];
    for c in cases {
        let pause = subscription::renewal_delay(ms(c.running), c.all_confirmed);
        assert_eq!(pause, ms(c.want), "{}", c.name);
    }
}
