//! Permits for loads of weights that outlive the sidecar which took them.

mod common;

use std::time::{Duration, Instant};

use common::{quick, wait_for, Fleet, QUICKSTART, TIMEOUT};
use standin::engine::Settings;

/// A load that is longer than the term of a permit.
const LONG_LOAD: Duration = Duration::from_secs(14);
/// A load that is longer than any wait of these tests.
const ENDLESS_LOAD: Duration = Duration::from_secs(600);

struct Case {
    name: &'static str,
    load_time: Duration,
    permits: usize,
    engines: usize,
    /// What happens to the replica whose engine loads first.
    event: fn(&mut Fleet, usize),
    /// Whether the load of that engine continues.
    continues: bool,
}

impl Case {
    fn run(&self) -> Result<(), String> {
        let set = Settings {
            load_time: self.load_time,
            ..quick()
        };
        let mut fleet = Fleet::start(1, self.engines, &set);
        let weights = QUICKSTART.replace("weights = \"1\"", "weights = \"2\"");
        let permits = format!("fencing = true\npermits = {}", self.permits);
        fleet.apply(&weights.replace("fencing = true", &permits));
        let has_order = |fleet: &Fleet, at: usize| !fleet.replicas[at].engine.orders().is_empty();
        let loading = |fleet: &Fleet| {
            let all = 0..self.engines;
            all.filter(|at| has_order(fleet, *at)).collect::<Vec<_>>()
        };
        wait_for("all permits to be used", || {
            loading(&fleet).len() >= self.permits
        });
        let first = loading(&fleet)[0];
        let started = Instant::now();
        (self.event)(&mut fleet, first);
        let next = || loading(&fleet).len() > self.permits;
        while !next() && started.elapsed() < LONG_LOAD + TIMEOUT {
            std::thread::sleep(Duration::from_millis(20));
        }
        let waited = started.elapsed();
        println!(
            "{}: next order after {waited:?}, engines {:?}",
            self.name,
            loading(&fleet)
        );
        // The test sees the first order a moment after it was sent.
        let expected = self.load_time.saturating_sub(Duration::from_secs(1));
        match () {
            () if !next() => Err(format!("{}: no further order", self.name)),
            () if self.continues && waited < expected => {
                Err(format!("{}: ordered after {waited:?}", self.name))
            }
            () => Ok(()),
        }
    }
}

/// Guards against a permit that ends with its sidecar and not with the load, or that outlives the engine.
#[test]
fn permit_of_a_stopped_sidecar_ends_before_its_load_or_never() {
    #[rustfmt::skip]
    let cases = [
        Case { name: "sidecar killed", load_time: LONG_LOAD, permits: 1, engines: 2, continues: true, event: |fleet, at| fleet.replicas[at].sidecar.kill() },
        Case { name: "sidecar restarted", load_time: LONG_LOAD, permits: 1, engines: 2, continues: true, event: |fleet, at| fleet.replicas[at].sidecar.restart(&[]) },
        Case { name: "sidecar stopped, two permits", load_time: LONG_LOAD, permits: 2, engines: 3, continues: true, event: |fleet, at| fleet.replicas[at].sidecar.signal("STOP") },
        Case { name: "sidecar and engine killed", load_time: ENDLESS_LOAD, permits: 1, engines: 2, continues: false, event: |fleet, at| {
            fleet.replicas[at].sidecar.kill();
            fleet.replicas[at].standin.kill();
        } },
        Case { name: "engine killed", load_time: ENDLESS_LOAD, permits: 1, engines: 2, continues: false, event: |fleet, at| fleet.replicas[at].standin.kill() },
    ];
    let results = std::thread::scope(|s| {
        let runs: Vec<_> = cases.iter().map(|c| s.spawn(|| c.run())).collect();
        let results = runs.into_iter().map(|r| r.join().expect("no panic"));
        results.collect::<Vec<_>>()
    });
    let broken: Vec<_> = results.into_iter().filter_map(Result::err).collect();
    assert!(broken.is_empty(), "{broken:#?}");
}
