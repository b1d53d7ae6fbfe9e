//! Streams that callers take up again after all entries were killed at once.

use std::sync::Arc;

use serde_json::json;
use standin::hosted::replica::Replica;
use tokio::time::{sleep, timeout, Duration};

use crate::builds::{assert_one_build, Fleet, STREAMS};
use crate::fleet::{request, TIMEOUT};

/// Number of sidecars whose rows stay in the list although they have ended.
const ENDED: u16 = 30;
/// Time within which records reach processes that run.
const DELIVERY_TIME: Duration = Duration::from_secs(2);
/// Interval between two checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

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
            streams.push(fleet.begin(0, &format!("started-{n}")).await);
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

#[tokio::test]
async fn stream_of_a_build_that_left_before_all_entries_were_killed_does_not_go_on_at_another_one()
{
    // Guards against entries that take the only build they have seen for the one that began the stream.
    struct Case {
        name: &'static str,
        /// Whether the former build leaves while no entry runs.
        unseen: bool,
        /// Id of the attempt that the caller names.
        resumes: Option<&'static str>,
        /// Whether targets of another build have served.
        released: bool,
        status: u16,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "left before", unseen: false, resumes: None, released: true, status: 503 },
        Case { name: "left meanwhile", unseen: true, resumes: None, released: true, status: 503 },
        Case { name: "unknown attempt", unseen: false, resumes: Some("never-started"), released: true, status: 503 },
        Case { name: "one build", unseen: false, resumes: None, released: false, status: 200 },
        Case { name: "one build, unknown attempt", unseen: false, resumes: Some("never-started"), released: false, status: 200 },
    ];
    for c in cases {
        let (builds, former) = match c.released {
            true => (["v1", "v2", "v1", "v2"], 2),
            false => (["v2"; 4], 0),
        };
        let mut fleet = Fleet::start_at(1, false, builds).await;
        let store = Arc::clone(&fleet.platform.store);
        let listed = if c.released { 2 } else { 1 };
        let is_kept = async {
            let count = |row: serde_json::Value| row["engines"].as_object().map_or(0, |b| b.len());
            while store.read("builds", "pools").map_or(0, count) < listed {
                sleep(POLL_INTERVAL).await;
            }
        };
        // Entries that keep no builds fail below.
        let _ = timeout(TIMEOUT / 4, is_kept).await;
        let has_left = |r: &&Arc<Replica>| c.released && r.build() == "v1";
        let engines = fleet.engines.clone();
        let remove = || {
            let former = engines.iter().filter(has_left);
            former.for_each(|r| store.remove("servers", &r.id));
        };
        if !c.unseen {
            remove();
            let gone = |e: &serde_json::Value| e["state"] == "gone";
            let process = &fleet.entries[0].process;
            while process.events("target").into_iter().filter(gone).count() < former {
                sleep(POLL_INTERVAL).await;
            }
        }
        kill_entries(&mut fleet);
        if c.unseen {
            remove();
        }
        let entry = fleet
            .platform
            .entry("front-0", engines.len() - former)
            .await;
        let mut call = request(&entry, "/probe/1", "taken");
        call.headers.push(("last-event-id", "2".to_owned()));
        if let Some(id) = c.resumes {
            call.headers.push(("resumes", id.to_owned()));
        }
        let response = call.send().await.expect("an answer");
        assert_eq!(response.status().as_u16(), c.status, "{}", c.name);
    }
}
