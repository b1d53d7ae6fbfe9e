//! Tests of the plain service stand-in: its log and its faults.

mod common;

use std::time::Duration;

use standin::call::Call;
use standin::service::{Faults, Service};

use common::{eventually, serve};

/// A service hangs before or after it has run a call. The caller can't distinguish the two; only
/// the log of the service shows whether the record was created.
#[tokio::test]
async fn call_hangs_before_or_after_it_ran() {
    struct Case {
        faults: Faults,
        records: usize,
        answered: bool,
    }
    let cases = [
        Case {
            faults: Faults::default(),
            records: 1,
            answered: true,
        },
        Case {
            faults: Faults {
                hang_before: 1,
                ..Faults::default()
            },
            records: 0,
            answered: false,
        },
        Case {
            faults: Faults {
                hang_after: 1,
                ..Faults::default()
            },
            records: 1,
            answered: false,
        },
    ];
    for c in cases {
        let service = Service::new(Duration::ZERO);
        let at = serve(service.router()).await;
        service.set_faults(c.faults.clone());
        let call = Call::post(at, "/records", "yes").header("idempotency-key", "k");
        let call = tokio::spawn(call.header("x-request-id", "r").fetch());
        if c.answered {
            assert_eq!(call.await.unwrap().unwrap().0, 201);
        } else {
            eventually(|| service.faults() != c.faults).await;
            eventually(|| service.runs().len() == c.records).await;
            assert!(!call.is_finished());
        }
        let runs = service.runs();
        assert_eq!(runs.len(), c.records);
        assert!(runs
            .iter()
            .all(|r| (&*r.request, &*r.idempotency) == ("r", "k")));
    }
}

#[tokio::test]
async fn log_has_only_records() {
    let service = Service::new(Duration::ZERO);
    let at = serve(service.router()).await;
    Call::get(at, "/quota/anand").fetch().await.unwrap();
    Call::post(at, "/records", "yes").fetch().await.unwrap();
    let (_, log) = Call::get(at, "/log").fetch().await.unwrap();
    assert_eq!(log, r#"["yes"]"#);
    let paths: Vec<_> = service.runs().into_iter().map(|r| r.path).collect();
    assert_eq!(paths, ["/quota/anand", "/records"]);
}

/// A service process aborts before or after it has run a call. Either way the caller's connection
/// breaks.
#[tokio::test]
async fn call_aborts_the_process() {
    for fault in ["die_before", "die_after"] {
        let mut service = common::example("service", &[]);
        let body = format!("{{\"{fault}\":1}}");
        Call::post(service.at, "/faults", body)
            .fetch()
            .await
            .unwrap();
        let got = Call::post(service.at, "/records", "yes").fetch().await;
        assert!(got.is_err());
        assert!(!service.child.wait().unwrap().success());
    }
}
