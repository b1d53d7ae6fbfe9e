//! Metrics of connections.

use metrics::{counter, describe_counter};

/// Connections closed because their far end had vanished, by kind: caller, target.
pub const VANISHED: &str = "clementinestep_vanished_connections_total";

/// Registers the descriptions.
pub fn describe() {
    describe_counter!(
        VANISHED,
        "connections closed because their far end acknowledged nothing, by kind: caller, target"
    );
}

/// Counts a connection that was closed.
pub(crate) fn count_vanished(kind: &'static str) {
    counter!(VANISHED, "kind" => kind).increment(1);
}
