//! Targets that the list lacks: those that have left, and those whose row has only lapsed.

use model::Micros;
use policy::row_expiry::{retain_until, Config, Gap};

fn ms(n: u64) -> Micros {
    Micros::from_millis(n)
}

#[test]
fn only_what_may_have_lapsed_is_kept() {
    // A store is away, or turns one host away, and targets are missing from the list that is read next.
    // Those that have left must get nothing more: a record was sent to one 2,264 ms after it had left,
    // since the store had been back for 1.3 s only. Those that have lapsed must stay in use: the list
    // names none of them until they have entered themselves again, and all callers would be refused.
    struct Case {
        name: &'static str,
        known: u64,
        read: u64,
        failed: bool,
        restored: Option<u64>,
        want: Option<u64>,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "a calm moment", known: 9_300, read: 10_000, failed: false, restored: None, want: None },
        Case { name: "named by the first read after an outage", known: 28_850, read: 30_170, failed: false, restored: None, want: None },
        Case { name: "turned away, but others tell that the list is as it was", known: 9_700, read: 10_000, failed: true, restored: None, want: None },
        Case { name: "one call failed", known: 8_000, read: 10_000, failed: true, restored: None, want: None },
        Case { name: "paused, with no call failed", known: 2_000, read: 10_000, failed: false, restored: None, want: None },
        Case { name: "the store was away for long", known: 4_000, read: 10_000, failed: true, restored: None, want: Some(12_200) },
        Case { name: "just long enough to lapse", known: 7_600, read: 10_000, failed: true, restored: None, want: Some(12_200) },
        Case { name: "lost by a restore", known: 9_300, read: 10_000, failed: false, restored: Some(10_000), want: Some(12_200) },
        Case { name: "lost by a restore, later", known: 11_300, read: 12_100, failed: false, restored: Some(10_000), want: Some(12_200) },
        Case { name: "long after a restore", known: 12_100, read: 12_700, failed: false, restored: Some(10_000), want: None },
    ];
    for c in cases {
        let gap = Gap {
            known: ms(c.known),
            read: ms(c.read),
            failed: c.failed,
            restored: c.restored.map(ms),
        };
        let want = c.want.map(ms);
        assert_eq!(retain_until(&Config::default(), &gap), want, "{}", c.name);
    }
}

#[test]
fn slower_heartbeats_lapse_later() {
    // On a deployment whose targets renew their rows every 5 s, none lapses in an outage of 6 s; what is
    // missing after it has left.
    let config = Config {
        heartbeat: Micros::from_secs(5),
        ..Config::default()
    };
    let gap = |known| Gap {
        known: ms(known),
        read: ms(20_000),
        failed: true,
        restored: None,
    };
    assert_eq!(retain_until(&config, &gap(14_000)), None);
    assert_eq!(retain_until(&config, &gap(9_000)), Some(ms(22_200)));
}
