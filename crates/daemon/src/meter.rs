//! Names and descriptions of all metrics.
//!
//! Labels have few values, such as classes, codes and directions, and never teams, requests or
//! addresses.

use std::time::Duration;

use fleet::Counters;
use metrics::{
    counter, describe_counter, describe_gauge, describe_histogram, gauge, histogram, Unit,
};
use model::Class;

/// Requests answered or refused, by code; `ok` for an answer.
pub const REQUESTS: &str = "clementinestep_requests_total";
/// Attempts at requests.
pub const ATTEMPTS: &str = "clementinestep_attempts_total";
/// Exchanges resumed on another connection.
pub const RESUMES: &str = "clementinestep_resumes_total";
/// Seconds from a request's arrival to the first event of its stream, by class.
pub const FIRST_TOKEN: &str = "clementinestep_first_token_seconds";
/// Probes sent, by whether they were answered in time.
pub const PROBES: &str = "clementinestep_probes_total";
/// Bytes of probes sent.
pub const PROBE_BYTES: &str = "clementinestep_probe_bytes_total";
/// Invalid datagrams received at a sidecar's probe port.
pub const PROBE_FAULTS: &str = "clementinestep_probe_faults_total";
/// Invalid datagrams received by an entry in place of offers.
pub const OFFER_FAULTS: &str = "clementinestep_offer_faults_total";
/// Offers for which no probe is pending: late, repeated or replayed ones.
pub const OFFERS_UNASKED: &str = "clementinestep_offers_unasked_total";
/// Connections to the peer port that were dropped because they violated the protocol.
pub const PEER_FAULTS: &str = "clementinestep_peer_faults_total";
/// Bytes of membership datagrams, by direction.
pub const GOSSIP_BYTES: &str = "clementinestep_gossip_bytes_total";
/// Membership datagrams that were dropped as invalid.
pub const GOSSIP_FAULTS: &str = "clementinestep_gossip_faults_total";
/// Events of membership, by kind.
pub const MEMBERSHIP: &str = "clementinestep_membership_events_total";
/// Version of the configuration in force.
pub const VERSION: &str = "clementinestep_configuration_version";
/// Number of live members, including this process.
pub const MEMBERS: &str = "clementinestep_members";
/// Requests queued at this sidecar.
pub const QUEUE: &str = "clementinestep_queue_length";
/// Requests running at the target.
pub const RUNNING: &str = "clementinestep_target_running";
/// Blocks known to be in the engine's cache.
pub const BLOCKS: &str = "clementinestep_index_blocks";
/// Requests that a sidecar didn't dispatch to its target, by code.
pub const REFUSED: &str = "clementinestep_refused_total";

/// Queries to other sidecars about requests that may crash targets.
pub const INQUIRIES: &str = "clementinestep_inquiries_total";
/// Failed calls of the target's interface, by path.
pub const FEED_FAULTS: &str = "clementinestep_feed_faults_total";

/// Registers the descriptions of all metrics.
pub fn describe() {
    describe_counter!(REQUESTS, "requests answered or refused, by code");
    describe_counter!(ATTEMPTS, "attempts at requests");
    describe_counter!(RESUMES, "exchanges resumed on another connection");
    describe_histogram!(
        FIRST_TOKEN,
        Unit::Seconds,
        "arrival to first event, by class"
    );
    describe_counter!(PROBES, "probes, by outcome");
    describe_counter!(PROBE_BYTES, Unit::Bytes, "probes sent");
    describe_counter!(
        FEED_FAULTS,
        "calls for the target's state that failed, by path"
    );
    describe_counter!(INQUIRIES, "questions about requests that may crash targets");
    describe_counter!(PROBE_FAULTS, "datagrams refused at the probe port");
    describe_counter!(OFFER_FAULTS, "datagrams refused as offers");
    describe_counter!(OFFERS_UNASKED, "offers that nobody waits for");
    describe_counter!(PEER_FAULTS, "peer connections dropped for what they sent");
    describe_counter!(GOSSIP_BYTES, Unit::Bytes, "membership datagrams, by way");
    describe_counter!(GOSSIP_FAULTS, "membership datagrams refused");
    describe_counter!(MEMBERSHIP, "what membership has done, by kind");
    describe_gauge!(VERSION, "version of the configuration in force");
    describe_gauge!(MEMBERS, "live members");
    describe_gauge!(QUEUE, "requests waiting here");
    describe_gauge!(RUNNING, "requests at the target");
    describe_gauge!(BLOCKS, "cached blocks known of the engine");
    describe_counter!(REFUSED, "requests not handed over, by code");
}

/// Records the time from a request's arrival to the first event of its stream.
pub fn record_first_event(class: Class, after: Duration) {
    histogram!(FIRST_TOKEN, "class" => class.as_str()).record(after.as_secs_f64());
}

/// Exports the counters of membership.
pub fn record_membership(live: usize, counters: &Counters) {
    gauge!(MEMBERS).set(live as f64);
    counter!(GOSSIP_FAULTS).absolute(counters.bad_seal + counters.bad_packet);
    let kinds = [
        ("suspected", counters.suspected),
        ("declared_dead", counters.declared_dead),
        ("refuted", counters.refuted),
        ("paused", counters.paused),
        ("pulls", counters.pulls),
        ("pull_failures", counters.pull_failures),
        ("table_reads", counters.table_reads),
        ("table_read_failures", counters.table_read_failures),
    ];
    for (kind, n) in kinds {
        counter!(MEMBERSHIP, "kind" => kind).absolute(n);
    }
}
