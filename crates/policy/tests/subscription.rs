//! Which engines an entry subscribes to, and the subscribers of sidecars.

use model::Micros;
use policy::subscription::{self, Sidecar, Subscribers};

fn ms(n: u64) -> Micros {
    Micros::from_millis(n)
}

/// Guards against entries that subscribe to all of many engines: 350 entries that each
/// subscribed to 830 engines received 16,000 datagrams a second.
#[test]
fn entry_subscribes_to_a_limited_number_of_engines_and_its_own_domain_first() {
    struct Case {
        name: &'static str,
        engines: usize,
        domains: usize,
        selected: usize,
        same_domain: usize,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "small fleet: all engines", engines: 9, domains: 3, selected: 9, same_domain: 3 },
        Case { name: "exactly the maximum", engines: 96, domains: 4, selected: 96, same_domain: 24 },
        Case { name: "own domain and some others", engines: 830, domains: 11, selected: 96, same_domain: 76 },
        Case { name: "part of a large domain", engines: 830, domains: 2, selected: 96, same_domain: 96 },
    ];
    let addr = |n: usize| std::net::SocketAddr::from(([127, 0, 0, 1], n as u16 + 1));
    for c in cases {
        let sidecars = (0..c.engines).map(|n| Sidecar {
            addr: addr(n),
            same_domain: n % c.domains == 0,
            rank: (n as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15),
        });
        let selected = subscription::select(sidecars);
        assert_eq!(selected.len(), c.selected, "{}", c.name);
        let same_domain = selected
            .iter()
            .filter(|a| (a.port() as usize - 1).is_multiple_of(c.domains));
        assert_eq!(same_domain.count(), c.same_domain, "{}", c.name);
    }
}

/// Guards against a sidecar that keeps reporting to entries that are gone, or that drops an entry after a
/// single lost renewal.
#[test]
fn subscription_survives_two_lost_renewals_and_then_expires() {
    let entry = |n: u16| std::net::SocketAddr::from(([127, 0, 0, 1], n));
    let mut subscribers = Subscribers::default();
    assert!(subscribers.subscribe(ms(0), entry(1)), "the entry is new");
    assert!(subscribers.subscribe(ms(0), entry(2)));
    assert!(
        !subscribers.subscribe(ms(2_000), entry(1)),
        "the subscription is renewed"
    );
    // Two renewals of the first entry are lost.
    assert!(!subscribers.subscribe(ms(7_900), entry(1)));
    let active: Vec<_> = subscribers.active(ms(8_000)).collect();
    assert_eq!(active, [entry(1)]);
    assert!(
        subscribers.subscribe(ms(20_000), entry(1)),
        "the entry is new"
    );
}

/// Guards against a start of all processes after which no engine loads weights until the second renewal.
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
        let delay = subscription::renewal_delay(ms(c.running), c.all_confirmed);
        assert_eq!(delay, ms(c.want), "{}", c.name);
    }
}
