//! Streams that callers take up again after all entries were killed at once.

use serde_json::json;
use tokio::time::{sleep, Duration};

use crate::builds::{assert_one_build, Fleet, STREAMS};

/// Number of sidecars whose rows stay in the list although they have ended.
const ENDED: u16 = 30;
/// Time within which records reach processes that run.
const DELIVERY_TIME: Duration = Duration::from_secs(2);

fn kill_entries(fleet: &mut Fleet) {
    for entry in &mut fleet.entries {
        entry.process.signal("KILL");
        entry.process.wait_for_end();
    }
    fleet.entries.clear();
}

#[tokio::test]
async fn streams_go_on_after_all_entries_were_killed_among_sidecars_that_have_ended() {
    // Guards against origins of streams that lie only at processes which have ended but are still listed.
    struct Case {
        name: &'static str,
        /// Address of the engine in the rows of sidecars that have ended.
        engine: Option<&'static str>,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "of engines that have left", engine: Some("127.0.0.1:9") },
        Case { name: "of unknown engines", engine: None },
    ];
    for c in cases {
        let mut fleet = Fleet::start(2, true).await;
        for n in 0..ENDED {
            let addr = format!("127.0.0.{}:9", n + 10);
            let row = json!({"addr": addr, "entry": false, "domain": "a", "engine": c.engine});
            fleet
                .platform
                .store
                .write("members", &format!("ended-{n}"), &row);
        }
        let knows = |e: &serde_json::Value| e["sidecars"].as_u64() > Some(ENDED.into());
        for entry in &fleet.entries {
            entry.process.wait_for_event("members", knows).await;
        }
        // The first records show which processes don't answer.
        for n in 0..STREAMS {
            fleet.begin(0, &format!("first-{n}")).await;
        }
        sleep(DELIVERY_TIME).await;
        let mut streams = Vec::new();
        for n in 0..STREAMS {
            streams.push(fleet.begin(0, &format!("begun-{n}")).await);
        }
        kill_entries(&mut fleet);
        fleet.add_entry("front-new").await;
        let mut went_on = 0;
        for (n, stream) in streams.iter().enumerate() {
            let (status, events) = fleet.take_up(0, stream, &format!("taken-{n}")).await;
            if status == 200 {
                assert_one_build(&format!("{}{events}", stream.events), c.name);
                went_on += 1;
            }
        }
        assert!(went_on * 2 >= STREAMS, "{}: {went_on} of {STREAMS}", c.name);
    }
}
