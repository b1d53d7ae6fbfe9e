//! Metrics of the account.

use metrics::{counter, describe_counter, describe_gauge, gauge, Unit};

use crate::account::Usage;

/// Bytes held for callers.
pub const BYTES: &str = "clementinestep_caller_bytes";
/// Open connections of callers.
pub const CONNECTIONS: &str = "clementinestep_caller_connections";
/// Connections of callers that the process waits for.
pub const WAITING: &str = "clementinestep_caller_connections_waiting";
/// Connections that were closed or refused, by reason: evicted, late, vanished, refused.
pub const CLOSED: &str = "clementinestep_caller_connections_closed_total";

/// Registers the descriptions.
pub fn describe() {
    describe_gauge!(BYTES, Unit::Bytes, "bytes held for callers");
    describe_gauge!(CONNECTIONS, "open connections of callers");
    describe_gauge!(WAITING, "connections of callers that are waited for");
    describe_counter!(
        CLOSED,
        "connections of callers closed, by reason: evicted, late, vanished, refused"
    );
}

/// Sets the gauges.
pub fn set_usage(usage: &Usage) {
    gauge!(BYTES).set(usage.bytes as f64);
    gauge!(CONNECTIONS).set(usage.connections as f64);
    gauge!(WAITING).set(usage.waiting as f64);
}

/// Counts connections that were closed.
pub(crate) fn count_closed(reason: &'static str, n: usize) {
    if n > 0 {
        counter!(CLOSED, "reason" => reason).increment(n as u64);
    }
}
