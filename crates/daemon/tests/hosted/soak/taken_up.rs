//! Streams that callers take up again after processes were killed, at an entry that is in touch.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use http_body_util::BodyExt;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

use super::check::written_by;
use super::cluster::{Cluster, BUILDS, ENGINES};
use crate::fleet::{request_to, TIMEOUT};

/// Time without a fault after which a process is in touch.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Interval at which targets write their rows; a restarted target is certain only after the next one.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Streams that begin at the same time.
const STREAMS: usize = 16;
/// Least number of streams taken up for which a share is judged.
const MIN_STREAMS: usize = 12;
/// Rounds after which fewer are taken up only because streams aren't broken.
const MAX_ROUNDS: usize = 5;
/// Time for which a caller takes its stream up again, as its deadline says.
const STREAM_TIME: Duration = Duration::from_millis(3_000);
/// Pause before a stream is taken up again.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Path of streams that may be resumed.
const PATH: &str = "/probe/1";
/// The entry that isn't killed.
const SURVIVOR: usize = 2;

/// A stream that began, and what its caller has of it.
struct Stream {
    id: String,
    started: Instant,
    events: String,
    whole: bool,
}

impl Stream {
    fn last_id(&self) -> &str {
        let mut ids = self.events.lines().rev();
        ids.find_map(|l| l.strip_prefix("id: ")).unwrap_or_default()
    }

    /// Sends an attempt and adds the events that arrive; `first` is called after the first ones. Returns
    /// the status.
    async fn attempt(
        &mut self,
        cluster: &Cluster,
        entry: usize,
        id: &str,
        first: impl Fn(),
    ) -> u16 {
        let callers = cluster.entries[entry].host.daemon().callers;
        let mut call = request_to(callers, PATH, id);
        if !self.events.is_empty() {
            call.headers
                .push(("last-event-id", self.last_id().to_owned()));
            call.headers.push(("resumes", self.id.clone()));
        }
        let Ok(response) = call.send().await else {
            return 0;
        };
        let status = response.status().as_u16();
        let (mut body, mut tail) = (response.into_body(), String::new());
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return status;
            };
            let data = frame.into_data().unwrap_or_default();
            tail.push_str(&String::from_utf8_lossy(&data));
            if let (200, Some(end)) = (status, tail.rfind("\n\n")) {
                let rest = tail.split_off(end + 2);
                self.events.push_str(&std::mem::replace(&mut tail, rest));
                first();
            }
        }
        self.whole = status == 200;
        status
    }
}

/// Lets streams begin at an entry, and kills it, another entry and a sidecar once all have started.
async fn break_streams(cluster: &Arc<Cluster>, round: usize) -> Vec<Stream> {
    let started = Arc::new(AtomicUsize::new(0));
    let mut streams = JoinSet::new();
    for n in 0..STREAMS {
        let (cluster, started) = (Arc::clone(cluster), Arc::clone(&started));
        streams.spawn(async move {
            let id = format!("started-{round}-{n}");
            let mut stream = Stream {
                id: id.clone(),
                started: Instant::now(),
                events: String::new(),
                whole: false,
            };
            let counted = AtomicUsize::new(0);
            let first = || {
                if counted.fetch_add(1, Ordering::Relaxed) == 0 {
                    started.fetch_add(1, Ordering::Relaxed);
                }
            };
            stream.attempt(&cluster, 0, &id, first).await;
            stream
        });
    }
    let all_started = async {
        while started.load(Ordering::Relaxed) < STREAMS {
            sleep(Duration::from_millis(1)).await;
        }
    };
    // Streams that are refused break nothing.
    let _ = timeout(STREAM_TIME / 10, all_started).await;
    let sidecar = async {
        if !cluster.sidecars.is_empty() {
            cluster.replace_sidecar(0, "KILL").await;
        }
    };
    tokio::join!(
        cluster.replace_entry(0, "KILL"),
        cluster.replace_entry(1, "KILL"),
        sidecar
    );
    streams.join_all().await
}

/// Takes a stream up until it is whole or its time has passed; returns the statuses of the attempts.
async fn take_up(cluster: &Cluster, stream: &mut Stream) -> Vec<u16> {
    let mut statuses = Vec::new();
    while !stream.whole && stream.started.elapsed() < STREAM_TIME {
        let id = format!("taken-{}-{}", stream.id, statuses.len());
        statuses.push(stream.attempt(cluster, SURVIVOR, &id, || {}).await);
        sleep(RETRY_DELAY).await;
    }
    statuses
}

/// Checks that streams which callers take up go on at least half as often as new ones begin, while two
/// engines of their build serve, and that they stay at their build.
pub async fn check_taken_up(seed: u64, cluster: &Arc<Cluster>) {
    for n in 0..ENGINES {
        cluster.replicas[n].replica.set_build(BUILDS[0]);
        cluster.restart_replica(n);
    }
    sleep(HEARTBEAT).await;
    (0..ENGINES).for_each(|n| cluster.renew(n));
    let (mut new, mut began, mut taken, mut went_on) = (0, 0, 0, 0);
    let mut failed = Vec::new();
    for round in 0..MAX_ROUNDS {
        // Until then the processes of the last round are not in touch.
        sleep(CONTACT).await;
        let streams = timeout(TIMEOUT, break_streams(cluster, round)).await;
        let streams = streams.expect("an end of all streams");
        new += streams.len();
        began += streams.iter().filter(|s| !s.events.is_empty()).count();
        let broken = streams
            .into_iter()
            .filter(|s| !s.whole && !s.events.is_empty());
        let attempts = broken.map(|mut stream| async {
            let statuses = take_up(cluster, &mut stream).await;
            (stream, statuses)
        });
        for (stream, statuses) in join_all(attempts).await {
            taken += 1;
            if stream.whole {
                went_on += 1;
                let one_build = BUILDS
                    .iter()
                    .any(|b| written_by(b) == stream.events.as_bytes());
                assert!(one_build, "seed {seed}: joined stream: {}", stream.events);
            } else {
                let id = format!("taken-{}-0", stream.id);
                let log = cluster.entries[SURVIVOR].host.log_of_request(&id);
                failed.push(format!("{} {statuses:?}\n{log}", stream.id));
            }
        }
        if taken >= MIN_STREAMS {
            break;
        }
    }
    println!("seed {seed}: {went_on} of {taken} streams taken up in touch went on, {began} of {new} new ones began");
    let enough = taken < MIN_STREAMS || 2 * went_on * new >= taken * began;
    assert!(
        enough,
        "seed {seed}: {went_on} of {taken} streams taken up went on, {began} of {new} new ones began:\n{}",
        failed.concat()
    );
}
