//! The load tool: replays a trace against a fleet and evaluates what the callers received.
//!
//! [`trace`] reads arrivals and [`generate`] generates them; [`fleet`] starts the processes;
//! [`drive`] sends each request at its scheduled time, whether or not earlier ones were answered;
//! [`reuse`] computes from the engines' logs which prompt tokens were reused and which were
//! computed although another engine had them cached; [`usage`] reads the resource usage of the
//! processes; [`report`] combines all figures of a run.

pub mod drive;
pub mod fleet;
pub mod generate;
pub mod report;
pub mod reuse;
pub mod trace;
pub mod usage;

use crate::call::CallError;

/// The reason for which a run has no report.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// Reading or writing a file failed.
    #[error("{path}: {error}")]
    File {
        /// Path of the file.
        path: String,
        /// The error.
        error: std::io::Error,
    },
    /// A line of a trace is not an arrival.
    #[error("{path}:{line}: {error}")]
    Line {
        /// Path of the file.
        path: String,
        /// Number of the line, from one.
        line: usize,
        /// The error.
        error: serde_json::Error,
    },
    /// A process did not start.
    #[error("{name} did not start: {reason}")]
    Start {
        /// Name of the process.
        name: String,
        /// The reason.
        reason: String,
    },
    /// Fetching a log failed.
    #[error("log of {at}: {error}")]
    Log {
        /// Address of the process.
        at: std::net::SocketAddr,
        /// The error.
        error: CallError,
    },
    /// The tool received a signal to stop.
    #[error("stopped before the end")]
    Stopped,
    /// Neither entries were given nor a fleet to start.
    #[error("neither entries nor a fleet to send to")]
    NoEntries,
}
