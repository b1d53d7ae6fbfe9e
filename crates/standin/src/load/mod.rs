//! The load tool: replays a trace against a fleet and judges what the callers received.
//!
//! [`trace`] reads arrivals and [`generate`] makes them up; [`fleet`] starts the processes;
//! [`drive`] sends each request at its time, whatever became of those before it; [`reuse`] works
//! out from the engines' logs what was reused and what was computed in vain; [`report`] puts it
//! all together.

pub mod drive;
pub mod fleet;
pub mod generate;
pub mod report;
pub mod reuse;
pub mod trace;
pub mod usage;

use crate::call::CallError;

/// Why a run has no report.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// A file can't be read or written.
    #[error("{path}: {error}")]
    File {
        /// The file.
        path: String,
        /// Why.
        error: std::io::Error,
    },
    /// A line of a trace is no arrival.
    #[error("{path}:{line}: {error}")]
    Line {
        /// The file.
        path: String,
        /// Number of the line, from one.
        line: usize,
        /// Why.
        error: serde_json::Error,
    },
    /// A process can't be started.
    #[error("{name} did not start: {why}")]
    Start {
        /// The process.
        name: String,
        /// Why.
        why: String,
    },
    /// A log can't be fetched.
    #[error("log of {at}: {error}")]
    Log {
        /// Whose.
        at: std::net::SocketAddr,
        /// Why.
        error: CallError,
    },
    /// It was told to stop.
    #[error("stopped before the end")]
    Stopped,
    /// Nothing to send to.
    #[error("neither entries nor a fleet to send to")]
    Nowhere,
}
