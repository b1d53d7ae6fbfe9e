//! Exit codes, the same for every command.

use std::path::PathBuf;
use std::process::ExitCode;

use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error)]
pub(crate) enum Failure {
    /// The configuration has faults.
    #[error("{0}")]
    Faults(rules::Faults),
    /// A file can't be read.
    #[error("{path}: {error}")]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// No entry answered.
    #[error("no entry answers at {address}: {error}")]
    Away {
        /// Where.
        address: String,
        /// Why.
        error: store::HttpError,
    },
    /// The fleet refused.
    #[error("refused with status {status}: {message}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// What it said.
        message: String,
    },
}

impl Failure {
    /// The exit code: 1 faults, 2 usage or files, 3 nobody answers, 4 refused.
    fn code(&self) -> u8 {
        match self {
            Self::Faults(_) => 1,
            Self::File { .. } => 2,
            Self::Away { .. } => 3,
            Self::Refused { .. } => 4,
        }
    }
}

/// Prints a failure and gives its exit code.
pub(crate) fn report(done: Result<(), Failure>) -> ExitCode {
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(f) => {
            eprintln!("{f}");
            ExitCode::from(f.code())
        }
    }
}
