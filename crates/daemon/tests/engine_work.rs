//! How sidecars judge the work of another sidecar's engine.

use assert_matches::assert_matches;
use contract::lease::Work;
use daemon::sidecar::control_channel::TargetReport;
use daemon::sidecar::engine_work::{EngineWork, ParseWorkError};
use daemon::sidecar::feed::FeedError;
use hyper::StatusCode;

/// Guards against a check of an engine on this host in place of one with the same address on another host.
#[test]
fn loopback_engine_of_another_host_is_checked() {
    struct Case {
        recorded: &'static str,
        from: &'static str,
        reachable: bool,
    }
    #[rustfmt::skip]
    let cases = [
        Case { recorded: "10.0.0.1 127.0.0.1:8000", from: "10.0.0.1", reachable: true },
        Case { recorded: "10.0.0.1 127.0.0.1:8000", from: "10.0.0.2", reachable: false },
        Case { recorded: "10.0.0.1 10.0.0.1:8000", from: "10.0.0.2", reachable: true },
        Case { recorded: "fd00::1 [::1]:8000", from: "fd00::2", reachable: false },
    ];
    for c in cases {
        let work: EngineWork = c.recorded.parse().expect("readable");
        assert_eq!(work.to_string(), c.recorded);
        let from = c.from.parse().expect("an address");
        assert_eq!(
            work.is_reachable(from),
            c.reachable,
            "{} from {}",
            c.recorded,
            c.from
        );
    }
}

/// Guards against unreadable entries that count as work somewhere.
#[test]
fn unreadable_work_is_parsed() {
    for text in [
        "",
        "10.0.0.1",
        "10.0.0.1 ",
        "10.0.0.1 10.0.0.1",
        "host 10.0.0.1:8000",
        "10.0.0.1 10.0.0.1:8000 1",
    ] {
        assert_matches!(text.parse::<EngineWork>(), Err(ParseWorkError), "{text}");
    }
}

/// Guards against a load that counts as ended because its engine's report is missing.
#[test]
fn missing_report_ends_a_load() {
    let report = |loading| TargetReport {
        loading,
        ..TargetReport::default()
    };
    let judge = |r: Result<TargetReport, FeedError>| EngineWork::judge(&r);
    assert_eq!(judge(Ok(report(true))), Work::Running);
    assert_eq!(judge(Ok(report(false))), Work::Ended);
    let status = FeedError::Status(StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(judge(Err(status)), Work::Unknown);
}
