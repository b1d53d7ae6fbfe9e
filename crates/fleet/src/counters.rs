//! Counts for metrics.

/// What has happened since the start; for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes in them.
    pub sent_bytes: u64,
    /// Datagrams that came in, good or bad.
    pub received: u64,
    /// Datagrams whose seal didn't hold.
    pub bad_seal: u64,
    /// Datagrams that couldn't be decoded or were too large.
    pub bad_packet: u64,
    /// Reports and answers that were older than what was known, as in replayed datagrams.
    pub stale: u64,
    /// Members that this process began to suspect by itself.
    pub suspected: u64,
    /// Members that this process declared dead.
    pub declared_dead: u64,
    /// Accusations of this process that it refuted.
    pub refuted: u64,
    /// Times that this process was found to have been paused.
    pub paused: u64,
    /// Pulls asked for.
    pub pulls: u64,
    /// Pulls that failed.
    pub pull_failures: u64,
    /// Reads of the table asked for.
    pub table_reads: u64,
    /// Reads of the table that failed.
    pub table_read_failures: u64,
    /// Reads that gave an older version than is in force, as after a restored backup.
    pub table_behind: u64,
    /// Times that another text of the same version was seen.
    pub version_conflicts: u64,
}
