//! Reasons for the failure of a command, and the exit codes, which are the same for all commands.

use std::ffi::OsString;
use std::fmt;
use std::io::{self, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use rules::Faults;
use thiserror::Error;

use crate::admin::{ConflictingChange, Member};
use crate::fleet::EntryError;
use crate::layout::IndentedList;
use crate::{fleet, NAME};

/// Reason why a command failed.
#[derive(Debug, Error)]
pub enum Failure {
    /// The configuration has faults.
    #[error("{0}")]
    Faults(Faults),
    /// An entry rejected the configuration for faults that this client doesn't check for.
    #[error(
        "the fleet found faults that this client doesn't check for; \
         is the client older than the fleet?{}",
        IndentedList(.0)
    )]
    Rejected(Vec<String>),
    /// The command line is invalid.
    #[error("{0}")]
    Usage(#[from] Usage),
    /// A file couldn't be read, or output couldn't be written.
    #[error("{}: {error}", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        error: io::Error,
    },
    /// No entry gave a usable answer.
    #[error("no entry gave a usable answer{}\n{FLEET_UNAVAILABLE_HINT}", IndentedList(.0))]
    FleetUnavailable(Vec<EntryError>),
    /// An entry refused the request, and other entries would refuse it too.
    #[error("{entry} refused the request with status {status}: {reason}")]
    Refused {
        /// Address of the entry.
        entry: String,
        /// HTTP status.
        status: u16,
        /// Reason for the refusal.
        reason: Reason,
    },
    /// The logs contain no line of the request.
    #[error(
        "no line of request `{id}` among {lines} log lines ({unrecognized} more lines are not \
         log lines of this system)\n\
         check that the log of the process that took the request is among the files; its lines \
         may also have been dropped under load, see `{NAME} why`"
    )]
    RequestNotFound {
        /// Request id.
        id: String,
        /// Number of log lines read.
        lines: usize,
        /// Number of lines that are not log lines of this system.
        unrecognized: usize,
    },
    /// Another change was made first.
    #[error(
        "version {} by {} came first (operation {}); nothing was changed\n\
         compare with `{NAME} diff`, then apply again",
        .0.version, .0.author, .0.operation
    )]
    Conflict(ConflictingChange),
    /// A version was accepted, but some live members don't have it yet.
    #[error(
        "version {version} was accepted, but is not in force everywhere after {}: {} of {live} \
         live members lag, and the queried entry has version {entry_version}{}\n\
         the version continues to propagate; see `{NAME} status`",
        Seconds(*elapsed), lagging.len(), IndentedList(lagging)
    )]
    NotInForceEverywhere {
        /// Accepted version.
        version: u64,
        /// Version in force on the queried entry.
        entry_version: u64,
        /// Number of members that may still serve requests.
        live: usize,
        /// Live members that have an older version.
        lagging: Vec<Member>,
        /// Time waited for the version to propagate.
        elapsed: Duration,
    },
    /// A version was accepted, but no entry reports which members have it.
    #[error("version {version} was accepted, but it is unknown which members have it\n{cause}")]
    PropagationUnknown {
        /// Accepted version.
        version: u64,
        /// Failure to read the status of the fleet.
        cause: Box<Failure>,
    },
    /// A change may have been accepted.
    #[error(
        "the change may have been accepted: no entry could confirm the outcome after {}{}\n\
         look for operation {operation} in `{NAME} history`, or repeat the call with\n  \
         --operation {operation}{}",
        Seconds(*elapsed), IndentedList(errors), BaseOption(*base)
    )]
    OutcomeUnknown {
        /// Operation id of the change.
        operation: String,
        /// Version that the change is based on.
        base: Option<u64>,
        /// Time spent on repeating the call.
        elapsed: Duration,
        /// Errors of the last call to each entry.
        errors: Vec<EntryError>,
    },
    /// A change was not accepted, since the platform is unavailable.
    #[error(
        "the platform is unavailable: the change was not accepted\n\
         the configuration in force stays in force; try again later"
    )]
    NotAccepted,
    /// A read failed, since the platform is unavailable.
    #[error("the platform is unavailable; `{NAME} show` and `{NAME} status` work without it")]
    PlatformUnavailable,
}

/// Advice for the operator when no entry gives a usable answer.
const FLEET_UNAVAILABLE_HINT: &str = "check --entry and CLEMENTINESTEP_ENTRIES; \
    entries that run keep the configuration they have";

/// Error in the command line, the environment or the input.
#[derive(Debug, Error)]
pub enum Usage {
    /// The arguments don't match the command.
    #[error("{}\nrun `{NAME} --help` for more", .0.trim_end())]
    Arguments(String),
    /// An argument is not UTF-8.
    #[error("argument is not UTF-8: {}", .0.to_string_lossy())]
    NotUtf8(OsString),
    /// No entry was given.
    #[error(
        "no entry given; use --entry HOST:PORT or set {}",
        fleet::ENTRIES_VARIABLE
    )]
    NoEntry,
    /// The address of an entry is invalid.
    #[error("`{0}` is not an address of the form HOST:PORT")]
    BadEntry(String),
    /// No operators' key was given.
    #[error(
        "no operators' key given; use --operator-key-file or set {}",
        fleet::KEY_VARIABLE
    )]
    NoKey,
    /// The operators' key can't be sent in a header. The message doesn't show the key.
    #[error("the operators' key contains characters that are not allowed in an HTTP header")]
    BadKey,
    /// Both `--base` and `--force` were given.
    #[error("--base and --force are mutually exclusive")]
    BaseAndForce,
    /// An operation id is invalid.
    #[error("`{0}` is not an operation id; an id has 32 hexadecimal digits")]
    BadOperation(String),
    /// A header is invalid.
    #[error("`{0}` is not a header of the form NAME=VALUE")]
    BadHeader(String),
    /// A time is invalid.
    #[error("`{0}` is not a time; write it as 2026-03-02T14:30:00Z")]
    BadTime(String),
    /// A path doesn't begin with a slash.
    #[error("path `{0}` doesn't begin with `/`")]
    BadPath(String),
    /// No log file was given.
    #[error("no log file given; name one or more, or - for standard input")]
    NoLogs,
    /// Standard input contains no API key.
    #[error("standard input contains no key")]
    EmptyKey,
}

/// Reason why an entry refused a request.
#[derive(Debug, Error)]
pub enum Reason {
    /// The operators' key is wrong.
    #[error("the operators' key does not match the key of the fleet")]
    Unauthorized,
    /// Any other reason, as an excerpt of the answer.
    #[error("{0}")]
    Other(String),
}

impl Failure {
    /// The exit code.
    pub fn code(&self) -> u8 {
        match self {
            Self::Faults(_) | Self::Rejected(_) => 1,
            Self::Usage(_) | Self::File { .. } => 2,
            Self::FleetUnavailable(_) => 3,
            Self::Refused { .. } => 4,
            Self::Conflict(_) => 5,
            Self::NotInForceEverywhere { .. } | Self::PropagationUnknown { .. } => 6,
            Self::OutcomeUnknown { .. } => 7,
            Self::NotAccepted | Self::PlatformUnavailable => 8,
            Self::RequestNotFound { .. } => 9,
        }
    }
}

/// Prints the output of a command or its failure, and returns the exit code.
pub fn report(result: Result<String, Failure>) -> ExitCode {
    match result.and_then(print) {
        Ok(()) => ExitCode::SUCCESS,
        Err(f) => {
            note(f.to_string().trim_end());
            ExitCode::from(f.code())
        }
    }
}

/// Writes a line to standard error. A failed write is ignored: there is no other place to report
/// it, and the exit code still shows the outcome.
pub fn note(line: impl fmt::Display) {
    let _ = writeln!(io::stderr(), "{line}");
}

fn print(text: String) -> Result<(), Failure> {
    let newline = match text.is_empty() || text.ends_with('\n') {
        true => "",
        false => "\n",
    };
    match write!(io::stdout(), "{text}{newline}") {
        // The reader closed the pipe early, as in `show | head`.
        Err(e) if e.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        result => result.map_err(|error| Failure::File {
            path: "standard output".into(),
            error,
        }),
    }
}

/// A duration shown in seconds with one decimal.
pub(crate) struct Seconds(pub(crate) Duration);

impl fmt::Display for Seconds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1} s", self.0.as_secs_f64())
    }
}

/// The option of `apply` that repeats a change with the same base: `--base` or `--force`.
struct BaseOption(Option<u64>);

impl fmt::Display for BaseOption {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(base) => write!(f, " --base {base}"),
            None => f.write_str(" --force"),
        }
    }
}
