//! Event counts for metrics.

/// Event counts since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of sent datagrams.
    pub sent_bytes: u64,
    /// Datagrams received, valid or not.
    pub received: u64,
    /// Received datagrams that failed authentication.
    pub bad_seal: u64,
    /// Received datagrams or descriptions in them that could not be decoded, and datagrams that
    /// were too large.
    pub bad_packet: u64,
    /// Claims older than the view, as in replayed datagrams.
    pub stale: u64,
    /// Suspicions raised by this process itself.
    pub suspected: u64,
    /// Members that this process declared dead.
    pub declared_dead: u64,
    /// Suspicions and death claims about this process that it refuted.
    pub refuted: u64,
    /// Pauses of this process that it detected.
    pub paused: u64,
    /// Pulls started.
    pub pulls: u64,
    /// Pulls that failed.
    pub pull_failures: u64,
    /// Reads of the table started.
    pub table_reads: u64,
    /// Reads of the table that failed.
    pub table_read_failures: u64,
    /// Reads that returned an older version than the one in force, as after restoring a backup.
    pub table_behind: u64,
    /// Times that another text with the same version was seen.
    pub version_conflicts: u64,
}
