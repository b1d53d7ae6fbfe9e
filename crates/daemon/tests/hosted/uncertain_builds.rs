//! Streams that begin at a target whose connection has just broken, or whose row a restore has brought
//! back.

use std::sync::Arc;

use standin::hosted::replica::{Fault, Replica};
use tokio::time::{sleep, Duration};
use tokio_util::task::AbortOnDropHandle;

use crate::builds::{assert_one_build, Fleet, STREAMS};

/// Interval at which targets write their rows.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Streams that break; each breaks a connection to both engines.
const BREAKS: usize = 3;
/// Time of their callers, in milliseconds; the entry looks for another engine for half of it.
const BROKEN_TIME_MS: u64 = 300;
/// Time within which an entry has read a list with a later row of each target.
const SETTLED: Duration = Duration::from_secs(3);
/// Time for which callers take their streams up again, in milliseconds.
const STREAM_TIME_MS: u64 = 30_000;

/// Writes the rows of all engines at the interval of heartbeats.
fn heartbeats(fleet: &Fleet) -> AbortOnDropHandle<()> {
    let store = Arc::clone(&fleet.platform.store);
    let ids: Vec<_> = fleet.engines.iter().map(|e| e.id.clone()).collect();
    AbortOnDropHandle::new(tokio::spawn(async move {
        loop {
            sleep(HEARTBEAT).await;
            for id in &ids {
                let row = store.read("servers", id).expect("a row");
                store.write("servers", id, &row);
            }
        }
    }))
}

#[tokio::test(flavor = "multi_thread")]
async fn origin_of_a_stream_that_began_after_a_break_is_known_once_the_target_has_written_its_row()
{
    // Guards against streams that never get an origin because their target's connection had broken.
    // One engine of each build, so that streams begin at those whose connections broke.
    let mut fleet = Fleet::start_at(2, true, ["v1", "v2"]).await;
    let _heartbeats = heartbeats(&fleet);
    let set = |fault| {
        fleet
            .engines
            .iter()
            .for_each(|e: &Arc<Replica>| e.set_fault(fault))
    };
    set(Fault::Cut);
    for n in 0..BREAKS {
        let id = format!("broken-{n}");
        let broken = fleet.begin_within(0, &id, BROKEN_TIME_MS).await;
        assert!(broken.finish().await.is_none());
    }
    set(Fault::None);
    let mut streams = Vec::new();
    for n in 0..STREAMS {
        let id = format!("started-{n}");
        streams.push(fleet.begin_within(0, &id, STREAM_TIME_MS).await);
    }
    sleep(SETTLED).await;
    let entry = &mut fleet.entries[0].process;
    entry.signal("KILL");
    entry.wait_for_end();
    let mut went_on = 0;
    for (n, stream) in streams.iter().enumerate() {
        let (status, events) = fleet.take_up(1, stream, &format!("taken-{n}")).await;
        if status == 200 {
            assert_one_build(&format!("{}{events}", stream.events), "after a break");
            went_on += 1;
        }
    }
    assert_eq!(went_on, STREAMS);
}
