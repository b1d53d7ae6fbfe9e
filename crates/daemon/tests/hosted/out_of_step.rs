//! Entries that are out of step with the others while engines of a new build join.

use std::time::Duration;

use futures::future::join_all;
use http_body_util::BodyExt;
use standin::hosted::replica::{Fault, Replica};
use tokio::time::{sleep, timeout};

use crate::builds::{Fleet, Stream, STREAMS};
use crate::fleet::{request, MODEL, TIMEOUT};

/// Streams that are begun at most, so that enough of them are at engines of the new build.
const MAX_BEGUN: usize = 200;

/// What keeps entries out of step.
#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    /// Number of entries that are paused while the engines join.
    paused: usize,
    /// How long at least.
    pause: Duration,
    /// Whether they take streams up while they start.
    starting: bool,
}

/// Joins engines of a new build, and begins streams at them through an entry.
async fn begin_at_new_build(fleet: &mut Fleet, entry: usize) -> Vec<Stream> {
    for n in 2..4 {
        let engine = Replica::new(&format!("e{n}"), 6, Duration::from_millis(20));
        engine.set_version(MODEL, 1);
        engine.set_build("v2");
        fleet.platform.replica(&engine, "engines").await;
        let is_listed = |e: &serde_json::Value| e["target"] == engine.id.as_str();
        let process = &fleet.entries[entry].process;
        process.wait_for_event("target", is_listed).await;
        fleet.engines.push(engine);
    }
    // Else the engines that have the prompt in their cache may get all streams.
    let former: Vec<_> = fleet.engines[..2].to_vec();
    former.iter().for_each(|e| e.set_fault(Fault::Full));
    let mut streams = Vec::new();
    for n in 0..MAX_BEGUN {
        let stream = fleet.begin(entry, &format!("begun-{n}")).await;
        if stream.events.contains("by v2") {
            streams.push(stream);
        }
        if streams.len() == STREAMS {
            break;
        }
    }
    former.iter().for_each(|e| e.set_fault(Fault::None));
    assert_eq!(streams.len(), STREAMS);
    streams
}

/// Takes a stream up at an entry, without the attempt that began it.
async fn take_up(fleet: &Fleet, entry: usize, stream: &Stream) -> (u16, String) {
    let id = format!("again-{entry}-{}", stream.id);
    let mut call = request(&fleet.entries[entry], "/probe/1", &id);
    call.headers.push(("last-event-id", stream.last_id()));
    let exchange = async {
        let answer = call.send().await.expect("an answer");
        let status = answer.status().as_u16();
        let body = answer.into_body().collect().await;
        let body = body.map(|b| b.to_bytes()).unwrap_or_default();
        (status, String::from_utf8_lossy(&body).into_owned())
    };
    timeout(TIMEOUT, exchange).await.expect("an end")
}

async fn check(case: Case) {
    let mut fleet = Fleet::start_at(3, false, ["v1", "v1"]).await;
    let last = fleet.entries.len() - 1;
    if case.starting {
        fleet.add_entry("late").await;
        fleet.entries.swap(0, last + 1);
    }
    for entry in &fleet.entries[..case.paused] {
        entry.process.signal("STOP");
    }
    let pause = sleep(case.pause);
    let streams = begin_at_new_build(&mut fleet, last).await;
    pause.await;
    for entry in &fleet.entries[..case.paused] {
        entry.process.signal("CONT");
    }
    let fleet = &fleet;
    let taken = (0..case.paused).flat_map(|e| streams.iter().map(move |s| take_up(fleet, e, s)));
    let taken = join_all(taken).await;
    let mixed = taken.iter().filter(|(_, events)| events.contains("by v1"));
    assert_eq!(mixed.count(), 0, "{}: {taken:#?}", case.name);
}

#[tokio::test]
async fn entry_that_was_out_of_step_mixes_no_builds() {
    // Guards against "the pool has a single build", said by an entry whose list and row are older than the stream.
    let ms = Duration::from_millis;
    #[rustfmt::skip]
    let cases = [
        Case { name: "paused for long", paused: 1, pause: ms(4_000), starting: false },
        Case { name: "paused shortly", paused: 1, pause: ms(0), starting: false },
        Case { name: "two paused", paused: 2, pause: ms(2_500), starting: false },
        Case { name: "paused just after its start", paused: 1, pause: ms(1_000), starting: true },
    ];
    for case in cases {
        check(case).await;
    }
}

#[tokio::test]
async fn stream_of_the_only_build_goes_on_at_an_entry_that_was_paused() {
    // Guards against refusing what the entry could find out.
    let fleet = Fleet::start_at(2, false, ["v1", "v1"]).await;
    let begun = join_all((0..STREAMS).map(|n| {
        let fleet = &fleet;
        async move { fleet.begin(1, &format!("begun-{n}")).await }
    }));
    let streams = begun.await;
    fleet.entries[0].process.signal("STOP");
    sleep(Duration::from_millis(1_000)).await;
    fleet.entries[0].process.signal("CONT");
    let taken = join_all(streams.iter().map(|s| take_up(&fleet, 0, s))).await;
    let went_on = taken.iter().filter(|(status, _)| *status == 200).count();
    assert_eq!(went_on, STREAMS, "{taken:#?}");
}
