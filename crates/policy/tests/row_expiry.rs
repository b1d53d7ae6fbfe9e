//! Targets that are missing from the list: those that have left, and those whose row has only expired.

use model::Micros;
use policy::row_expiry::{retain_until, Config, Gap};

fn ms(n: u64) -> Micros {
    Micros::from_millis(n)
}

#[test]
fn missing_target_is_kept_only_if_its_row_may_have_expired() {
    // Guards against requests to a target that has left: one was sent 2,264 ms later, as the store had been
    // back for only 1.3 s. Also guards against refusing all callers until expired targets register again.
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
        Case { name: "no failure", known: 9_300, read: 10_000, failed: false, restored: None, want: None },
        Case { name: "listed by the first read after an outage", known: 28_850, read: 30_170, failed: false, restored: None, want: None },
        Case { name: "read refused, but other entries report an unchanged list", known: 9_700, read: 10_000, failed: true, restored: None, want: None },
        Case { name: "one call failed", known: 8_000, read: 10_000, failed: true, restored: None, want: None },
        Case { name: "paused, with no call failed", known: 2_000, read: 10_000, failed: false, restored: None, want: None },
        Case { name: "long outage of the store", known: 4_000, read: 10_000, failed: true, restored: None, want: Some(12_200) },
        Case { name: "outage just long enough for rows to expire", known: 7_600, read: 10_000, failed: true, restored: None, want: Some(12_200) },
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
fn rows_with_slower_heartbeats_expire_later() {
    // Guards against a fixed expiry time: where targets renew their rows every 5 s, no row expires in an outage
    // of 6 s, so a target that is missing afterwards has left.
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
