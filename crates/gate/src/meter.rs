//! Names of the metrics, and the server for them.
//!
//! Label values are bounded: reasons, outcomes and pools, never teams, requests or addresses.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};
use metrics::{
    counter, describe_counter, describe_gauge, describe_histogram, gauge, histogram, Unit,
};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use tokio::net::TcpListener;

use crate::listener::Listener;
use crate::log;
use crate::node::SharedNode;

/// Default port of the metrics, the same as in the deploy file.
pub const PORT: u16 = 9_464;
/// Environment variable that overrides the port of the metrics; 0 selects any free port.
const PORT_VARIABLE: &str = "CLEMENTINESTEP_METRICS_PORT";
/// URL path of the metrics.
const PATH: &str = "/metrics";
/// Bucket bounds of the latency histograms in seconds, dense around the latency goals of 100 to 600
/// ms.
const BUCKETS: [f64; 14] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 2.0, 4.0, 12.0,
];
/// Connections for metrics at a time.
const CONNECTIONS: usize = 8;
/// Interval at which recorded histogram samples are aggregated, which bounds their memory.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Requests answered, by status.
pub const ANSWERS: &str = "clementinestep_answers_total";
/// Requests refused or failed by the entry, by reason.
pub const REFUSALS: &str = "clementinestep_refusals_total";
/// Failed attempts, by reason.
pub const FAILED_ATTEMPTS: &str = "clementinestep_failed_tries_total";
/// Requests that showed nothing for too long, by what came of it.
pub const STALLED: &str = "clementinestep_stalled_requests_total";
/// Units of teams' limits, by whether they were admitted, refused or returned unused.
pub const LIMIT_UNITS: &str = "clementinestep_limit_units_total";
/// Targets that state a limit.
pub const LIMITED_TARGETS: &str = "clementinestep_limited_targets";
/// Targets that have said in an answer that they leave.
pub const LEAVING_TARGETS: &str = "clementinestep_leaving_targets";
/// Origins of streams that the process keeps.
pub const STREAM_ORIGINS: &str = "clementinestep_stream_origins";
/// Processes that haven't confirmed the origin of a stream lately.
pub const SILENT_HOLDERS: &str = "clementinestep_silent_holders";
/// Origins of streams sent to further processes, by the reason.
pub const ORIGINS_SENT: &str = "clementinestep_origins_sent_total";
/// Prompt parts that an entry refuses because they crash targets.
pub const CONVICTED_PARTS: &str = "clementinestep_convicted_parts";
/// Streams that callers have taken up, by whether the build that began them was known.
pub const RESUMED_STREAMS: &str = "clementinestep_resumed_streams_total";
/// New connections to targets.
pub const TARGET_CONNECTIONS: &str = "clementinestep_target_connections_total";
/// Ended streams, by how they ended.
pub const STREAMS: &str = "clementinestep_streams_total";
/// Seconds from a request's arrival to its answer's head.
pub const ANSWER_HEAD: &str = "clementinestep_answer_head_seconds";
/// Seconds from a request's arrival to its stream's first event.
pub const FIRST_EVENT: &str = "clementinestep_first_event_seconds";
/// Seconds from a request's arrival to its answer's end.
pub const ANSWER_END: &str = "clementinestep_answer_whole_seconds";
/// Seconds from a request's arrival until it was first sent to a target.
pub const WAITING: &str = "clementinestep_waiting_seconds";
/// Prompt tokens sent to engines, by whether the engine held, fetched or read them.
pub const PROMPT_TOKENS: &str = "clementinestep_prompt_tokens_total";
/// Age in seconds of a target's last load report when a request is sent to the target.
pub const LOAD_AGE: &str = "clementinestep_belief_age_seconds";
/// Seconds since the list of targets was last read or confirmed as unchanged, when a request is
/// sent.
pub const LIST_AGE: &str = "clementinestep_list_age_seconds";
/// Duration in seconds of calls to the store, except calls that the store holds.
pub const STORE_CALL: &str = "clementinestep_store_call_seconds";
/// Callers' requests in progress on targets.
pub const RUNNING: &str = "clementinestep_running";
/// Retries left, by pool.
pub const RETRIES_LEFT: &str = "clementinestep_retries_left";
/// Orders to engines, by outcome.
pub const ORDERS: &str = "clementinestep_orders_total";
/// Engine reports read, by kind of agent; reads by delegates cost the engine time.
pub const ENGINE_REPORTS: &str = "clementinestep_engine_reports_total";
/// Engines that this entry is the delegate of.
pub const DELEGATES: &str = "clementinestep_delegates";
/// Restores of the store, and answers whose era can't be used, by kind.
pub const STORE_ERAS: &str = "clementinestep_store_eras_total";
/// Malformed datagrams.
pub const BAD_UPDATES: &str = "clementinestep_bad_updates_total";
/// Seconds since the copy of the operator's rows was last confirmed as complete.
pub const TABLE_AGE: &str = "clementinestep_operator_rows_age_seconds";
/// Version of the configuration in force.
pub const CONFIGURATION_VERSION: &str = "clementinestep_configuration_version";
/// Tokens of requests to engine pools that may be short, by whether they were admitted or refused.
pub const ROOM_TOKENS: &str = "clementinestep_room_tokens_total";
/// Tokens per second that a pool is observed to serve; 0 if unknown.
pub const ROOM_CAPACITY: &str = "clementinestep_room_capacity";
/// Observations of the speed of targets, by kind.
pub const SPEED_OBSERVATIONS: &str = "clementinestep_speed_observations_total";
/// Requests sent where the speed of targets counts, by how the target's factor compares to the pool.
pub const SPEED_CHOICES: &str = "clementinestep_speed_choices_total";
/// Targets that are permanently much slower than their pool.
pub const SLOW_TARGETS: &str = "clementinestep_slow_targets";
/// Bytes of long request bodies and answers that are kept.
pub const BODY_MEMORY: &str = "clementinestep_body_bytes";
/// Other processes known.
pub const MEMBERS: &str = "clementinestep_members";
/// Fraction of the home domain's work for other domains, by pool.
pub const DOMAIN_SHARE: &str = "clementinestep_domain_share";
/// Requests placed by the balance between domains, by domain: home, other, or other instead of a refusal.
pub const DOMAIN_REQUESTS: &str = "clementinestep_domain_requests_total";
/// Requests that made a copy of an opening whose rate rises.
pub const OPENING_COPIES: &str = "clementinestep_opening_copies_total";

fn describe() {
    describe_counter!(ANSWERS, "requests answered, by status");
    describe_counter!(REFUSALS, "requests refused or failed here, by reason");
    describe_counter!(FAILED_ATTEMPTS, "tries that came to nothing, by reason");
    describe_counter!(
        STALLED,
        "requests that showed nothing for too long: moved, no_retry, no_target, none_better, cut_off, over_limit, quarantined"
    );
    describe_counter!(
        LIMIT_UNITS,
        "units of teams' limits: admitted, refused, returned"
    );
    describe_gauge!(
        BODY_MEMORY,
        Unit::Bytes,
        "long request bodies and answers that are kept"
    );
    overload::meter::describe();
    tcp::meter::describe();
    describe_gauge!(LIMITED_TARGETS, "targets that state a limit");
    describe_gauge!(LEAVING_TARGETS, "targets that say that they leave");
    describe_gauge!(STREAM_ORIGINS, "origins of streams kept");
    describe_gauge!(
        SILENT_HOLDERS,
        "processes that confirm no origin of a stream"
    );
    describe_counter!(
        ORIGINS_SENT,
        "origins of streams sent to further processes, by reason"
    );
    describe_gauge!(
        CONVICTED_PARTS,
        "prompt parts refused because they crash targets"
    );
    describe_counter!(
        RESUMED_STREAMS,
        "streams that callers have taken up, by origin: known, unknown"
    );
    describe_counter!(TARGET_CONNECTIONS, "new connections to targets");
    describe_counter!(STREAMS, "streams ended, by how");
    describe_histogram!(ANSWER_HEAD, Unit::Seconds, "arrival to the answer's head");
    describe_histogram!(FIRST_EVENT, Unit::Seconds, "arrival to the first event");
    describe_histogram!(ANSWER_END, Unit::Seconds, "arrival to the answer's end");
    describe_histogram!(WAITING, Unit::Seconds, "arrival to the first sending");
    describe_counter!(PROMPT_TOKENS, "prompt tokens, by held, fetched or read");
    describe_histogram!(LOAD_AGE, Unit::Seconds, "age of a used target's load");
    describe_histogram!(
        LIST_AGE,
        Unit::Seconds,
        "age of the list of targets when used"
    );
    describe_histogram!(STORE_CALL, Unit::Seconds, "calls to the store");
    describe_gauge!(RUNNING, "requests at targets");
    describe_gauge!(RETRIES_LEFT, "retries left, by pool");
    describe_counter!(ORDERS, "orders to engines, by outcome");
    describe_counter!(
        ENGINE_REPORTS,
        "reports of engines that were read, by agent"
    );
    describe_gauge!(DELEGATES, "engines that this entry is the delegate of");
    describe_counter!(
        STORE_ERAS,
        "restores of the store, and eras that can't be used"
    );
    describe_counter!(BAD_UPDATES, "datagrams that can't be read");
    describe_gauge!(
        TABLE_AGE,
        Unit::Seconds,
        "age of the last confirmation of the operator's rows"
    );
    describe_gauge!(
        CONFIGURATION_VERSION,
        "version of the configuration in force"
    );
    describe_counter!(
        ROOM_TOKENS,
        "tokens asked of engine pools: admitted, refused"
    );
    describe_gauge!(ROOM_CAPACITY, "tokens per second that a pool serves");
    describe_gauge!(MEMBERS, "other processes known");
    describe_gauge!(DOMAIN_SHARE, "fraction of work for other domains, by pool");
    describe_counter!(DOMAIN_REQUESTS, "requests placed, by home or other domain");
    describe_counter!(OPENING_COPIES, "copies of openings whose rate rises");
    describe_counter!(
        SPEED_OBSERVATIONS,
        "observations of targets' speed, by kind"
    );
    describe_counter!(
        SPEED_CHOICES,
        "requests sent, by the target's speed: usual, fast, slow"
    );
    describe_gauge!(SLOW_TARGETS, "targets much slower than their pool");
}

/// Increments a counter by one.
pub fn increment(name: &'static str, label: &'static str, value: &'static str) {
    counter!(name, label => value).increment(1);
}

/// Records a duration in a histogram.
pub fn record_duration(name: &'static str, duration: Duration) {
    histogram!(name).record(duration.as_secs_f64());
}

/// Increments a counter by `n`.
pub fn add(name: &'static str, label: &'static str, value: &'static str, n: u64) {
    counter!(name, label => value).increment(n);
}

/// Sets a gauge.
pub fn set(name: &'static str, value: f64) {
    gauge!(name).set(value);
}

/// Serves the metrics at the IP address of [`site::Settings::peer`].
pub async fn serve(node: &SharedNode) -> std::io::Result<()> {
    let builder = PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), &BUCKETS)
        .map_err(std::io::Error::other)?;
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    if metrics::set_global_recorder(recorder).is_err() {
        // Another recorder is installed already, as in a test that runs several processes at once.
        return Ok(());
    }
    describe();
    let port = std::env::var(PORT_VARIABLE)
        .ok()
        .and_then(|p| p.parse().ok());
    let addr = SocketAddr::new(node.settings.borrow().peer.ip(), port.unwrap_or(PORT));
    let listener = match overload::accept::bind(addr) {
        Ok(l) => l,
        // Requests are processed without metrics too.
        Err(e) => {
            log::event(&log::Event::Lost {
                dependency: "metrics",
                error: &e.to_string(),
            });
            return Ok(());
        }
    };
    tokio::task::spawn_local(upkeep(handle.clone()));
    tokio::task::spawn_local(answer(listener, handle, Rc::clone(node)));
    Ok(())
}

async fn upkeep(handle: PrometheusHandle) {
    loop {
        tokio::time::sleep(UPKEEP_INTERVAL).await;
        handle.run_upkeep();
    }
}

async fn answer(listener: TcpListener, handle: PrometheusHandle, node: SharedNode) {
    let listener = Listener::new("metrics", listener, CONNECTIONS);
    listener
        .serve(move |r| {
            let (status, text) = match r.uri().path() {
                PATH => {
                    set(
                        TABLE_AGE,
                        node.tables.operator_age(node.now()).as_secs_f64(),
                    );
                    (StatusCode::OK, handle.render())
                }
                _ => (StatusCode::NOT_FOUND, String::new()),
            };
            let mut response = Response::new(Full::new(Bytes::from(text)));
            *response.status_mut() = status;
            response
        })
        .await;
}
