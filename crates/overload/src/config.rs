//! Limits of the account, with their defaults.

use std::time::Duration;

/// Descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: usize = 200;
/// Descriptors that a process needs besides connections, if only the kernel's limit is known.
const OTHER_DESCRIPTORS: usize = 40;
/// Budget if the memory limit of the process isn't known: that of a small host.
const DEFAULT_BYTES: usize = 40 << 20;
/// Part of the memory limit that is for callers, in tenths; the allocator needs some more than is counted.
const MEMORY_TENTHS: usize = 4;
/// Part of the sockets that is for callers: each may need another one to a target.
const SOCKET_FRACTION: usize = 2;

/// Limits of an account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Bytes that may be held for callers. Default: two fifths of the process's memory limit, or 40 MiB.
    pub bytes: usize,
    /// Connections that may be open. Default: half of the sockets that the process may have.
    pub connections: usize,
    /// Share of both that one address or team may have. Default: 7/8.
    pub share: f64,
    /// Share of the bytes that bodies of requests and answers may have. Default: 3/4.
    pub content_share: f64,
    /// Bytes per second below which a caller falls behind. Default: 4 KiB.
    pub min_rate: u64,
    /// Share of the bytes or connections in use from which connections are closed after their answer, so that
    /// others have their turn. Default: 3/4.
    pub pressure: f64,
    /// How far a caller may fall behind before idle connections are preferred to it. Default: 1 s.
    pub patience: Duration,
    /// Bytes that each connection counts for: what the kernel buffers of it, and its state. Default: 32 KiB.
    pub connection_bytes: usize,
    /// Bytes that a request counts for besides its body: its head, its connection to a target, and what is read
    /// ahead there. Default: 64 KiB.
    pub request_bytes: usize,
    /// Bytes that an answer counts for in addition while its caller doesn't read it: what the kernel receives of it
    /// then. Default: 96 KiB.
    pub unread_bytes: usize,
    /// How long a caller may acknowledge nothing of what it was sent before it counts as vanished. Default: 5 s.
    pub unacked: Duration,
    /// How long a caller may take nothing of an answer while there is room. Default: 10 minutes.
    pub unread: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            bytes: DEFAULT_BYTES,
            connections: usize::MAX,
            share: 7.0 / 8.0,
            content_share: 3.0 / 4.0,
            min_rate: 4 << 10,
            pressure: 3.0 / 4.0,
            patience: Duration::from_secs(1),
            connection_bytes: 32 << 10,
            request_bytes: 64 << 10,
            unread_bytes: 96 << 10,
            unacked: Duration::from_secs(5),
            unread: Duration::from_secs(600),
        }
    }
}

impl Config {
    /// Limits of a process with these limits of memory in bytes, and of descriptors.
    pub fn for_process(memory: Option<usize>, descriptors: Option<usize>) -> Self {
        let default = Self::default();
        let sockets = descriptors.map(|d| d.saturating_sub(FILE_DESCRIPTORS).max(d / 2));
        Self {
            bytes: memory.map_or(default.bytes, |m| m / 10 * MEMORY_TENTHS),
            connections: sockets.map_or(default.connections, |s| s / SOCKET_FRACTION),
            ..default
        }
    }

    /// Limits for a listener on which callers aren't served: a few connections beside those of callers.
    pub fn for_other(connections: usize) -> Self {
        Self {
            bytes: usize::MAX,
            connections,
            share: 1.0,
            content_share: 1.0,
            ..Self::default()
        }
    }

    /// Connections allowed with a limit of descriptors by the kernel.
    pub(crate) fn connections_within(&self, kernel: Option<u64>) -> usize {
        let kernel = kernel.and_then(|k| usize::try_from(k).ok());
        let sockets = kernel.map(|k| k.saturating_sub(OTHER_DESCRIPTORS).max(1));
        let within = sockets.map_or(usize::MAX, |s| (s / SOCKET_FRACTION).max(1));
        self.connections.min(within)
    }
}
