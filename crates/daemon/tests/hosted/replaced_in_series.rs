//! Streams that callers take up again after entries and sidecars were replaced one after the other.

use futures::future::join_all;
use tokio::time::{sleep, timeout, Duration};

use crate::builds::{assert_one_build, Fleet, STREAMS};
use crate::fleet::{Process, TIMEOUT};

/// Time for which callers take their streams up again, in milliseconds.
const STREAM_TIME_MS: u64 = 60_000;
/// Time that a process runs after another one has ended, so that it can pass on what it knows.
const PAUSE: Duration = Duration::from_secs(2);

/// A process that is replaced.
#[derive(Clone, Copy)]
enum End {
    /// An entry, which starts again.
    Entry(usize),
    /// A sidecar, which starts again.
    Sidecar(usize),
    /// A sidecar, which leaves together with its engine.
    SidecarForGood(usize),
}

/// A series of ends.
struct Case {
    name: &'static str,
    signal: &'static str,
    series: &'static [End],
}

/// Ends a process.
fn end(process: &mut Process, signal: &str) {
    process.signal(signal);
    process.wait_for_end();
}

async fn replace(fleet: &mut Fleet, step: End, signal: &str) {
    match step {
        End::Entry(n) => {
            end(&mut fleet.entries[n].process, signal);
            let name = format!("front-{n}");
            let old = fleet.platform.store.row_version("members", &name);
            let entry = fleet.platform.entry(&name, fleet.listed()).await;
            fleet.entries[n] = entry;
            wait_for_row(fleet, &name, old).await;
        }
        End::Sidecar(n) => {
            end(&mut fleet.sidecars[n], signal);
            let name = format!("side-{n}");
            let old = fleet.platform.store.row_version("members", &name);
            let engine = fleet.engines[n].addr().expect("an address");
            fleet.sidecars[n] = fleet.platform.sidecar(&name, engine);
            wait_for_row(fleet, &name, old).await;
        }
        End::SidecarForGood(n) => {
            let engine = &fleet.engines[n];
            fleet.platform.store.remove("servers", &engine.id);
            end(&mut fleet.sidecars[n], signal);
        }
    }
    sleep(PAUSE).await;
}

/// Waits until a process that has started again has written its row.
async fn wait_for_row(fleet: &Fleet, name: &str, old: u64) {
    let written = async {
        while fleet.platform.store.row_version("members", name) == old {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(TIMEOUT, written).await.expect("a row");
}

/// Begins streams, plays a series and takes the streams up; returns how many go on.
async fn play(case: &Case) -> usize {
    // Two engines of each build serve until the end.
    let mut fleet = Fleet::start_at(3, true, ["v1", "v2", "v1", "v2", "v1", "v2"]).await;
    let mut streams = Vec::new();
    for n in 0..STREAMS {
        let id = format!("started-{n}");
        streams.push(fleet.begin_within(0, &id, STREAM_TIME_MS).await);
    }
    sleep(PAUSE).await;
    for step in case.series {
        replace(&mut fleet, *step, case.signal).await;
    }
    let mut went_on = 0;
    for (n, stream) in streams.iter().enumerate() {
        let (status, events) = fleet.take_up(n % 3, stream, &format!("taken-{n}")).await;
        if status == 200 {
            assert_one_build(&format!("{}{events}", stream.events), case.name);
            went_on += 1;
        }
    }
    went_on
}

#[tokio::test(flavor = "multi_thread")]
async fn origin_outlives_all_its_holders_if_they_end_one_after_the_other() {
    // Guards against streams that can't go on because each holder of their origin has been replaced since.
    use End::{Entry, Sidecar, SidecarForGood};
    #[rustfmt::skip]
    let cases = [
        Case { name: "all are killed", signal: "KILL",
            series: &[Entry(0), Sidecar(0), Entry(1), Sidecar(1), Sidecar(2), Sidecar(3), Entry(2), Sidecar(4), Sidecar(5)] },
        Case { name: "entries before sidecars", signal: "KILL",
            series: &[Entry(0), Entry(1), Entry(2), Sidecar(5), Sidecar(4), Sidecar(3), Sidecar(2), Sidecar(1), Sidecar(0)] },
        Case { name: "sidecars leave with their engines", signal: "KILL",
            series: &[Entry(0), SidecarForGood(0), Entry(1), SidecarForGood(1), Entry(2), Sidecar(2), Sidecar(3), Sidecar(4), Sidecar(5)] },
        Case { name: "all are stopped", signal: "TERM",
            series: &[Sidecar(0), Sidecar(1), Sidecar(2), Sidecar(3), Sidecar(4), Sidecar(5), Entry(0), Entry(1), Entry(2)] },
    ];
    let went_on = join_all(cases.iter().map(play)).await;
    for (case, went_on) in cases.iter().zip(went_on) {
        assert_eq!(went_on, STREAMS, "{}", case.name);
    }
}
