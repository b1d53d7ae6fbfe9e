//! Why commands fail, and the exit codes, the same for every command.

use std::ffi::OsString;
use std::fmt;
use std::io::{self, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use rules::Faults;
use thiserror::Error;

use crate::admin::{Member, Winner};
use crate::fleet::Miss;
use crate::page::List;
use crate::{fleet, NAME};

/// Why a command failed.
#[derive(Debug, Error)]
pub enum Failure {
    /// The configuration has faults.
    #[error("{0}")]
    Faults(Faults),
    /// An entry found faults that this client doesn't know of.
    #[error("the fleet finds faults that this client doesn't know; is the client older?{}", List(.0))]
    Rejected(Vec<String>),
    /// The command line doesn't say what to do.
    #[error("{0}")]
    Usage(#[from] Usage),
    /// A file can't be read, or output can't be written.
    #[error("{}: {error}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        error: io::Error,
    },
    /// No entry gave an answer that can be used.
    #[error("no entry answers{}\n{AWAY}", List(.0))]
    Away(Vec<Miss>),
    /// An entry refused.
    #[error("{entry} refuses with status {status}: {reason}")]
    Refused {
        /// The entry.
        entry: String,
        /// HTTP status.
        status: u16,
        /// Why.
        reason: Reason,
    },
    /// The logs don't tell of a request.
    #[error(
        "nothing of request `{id}` in {lines} lines ({foreign} more aren't this system's)\n\
         is its process's log among the files, and was its line left out under load? see `{NAME} why`"
    )]
    NoRequest {
        /// The request.
        id: String,
        /// Lines read.
        lines: usize,
        /// Lines of other writers.
        foreign: usize,
    },
    /// Another change came first.
    #[error(
        "version {} by {} came first (operation {}); nothing was changed\n\
         compare with `{NAME} diff`, then apply again",
        .0.version, .0.author, .0.operation
    )]
    Conflict(Winner),
    /// A version was accepted, but some live members don't have it yet.
    #[error(
        "version {version} is accepted, but not in force everywhere after {}: {} of {live} live \
         members lag, and the entry asked has version {seen}{}\n\
         it spreads on by itself; see `{NAME} status`",
        Span(*spent), behind.len(), List(behind)
    )]
    Partial {
        /// The version.
        version: u64,
        /// The version of the entry that says so.
        seen: u64,
        /// Members that may still serve.
        live: usize,
        /// Those among them that have an older version.
        behind: Vec<Member>,
        /// How long they had.
        spent: Duration,
    },
    /// A version was accepted, but nobody says who has it.
    #[error("version {version} is accepted, but its spread can't be seen\n{cause}")]
    Unseen {
        /// The version.
        version: u64,
        /// Why.
        cause: Box<Failure>,
    },
    /// A change may have been accepted.
    #[error(
        "the change may have been accepted: no entry could tell after {}{}\n\
         look for operation {operation} in `{NAME} history`, or repeat the call with\n  \
         --operation {operation}{}",
        Span(*spent), List(misses), Based(*base)
    )]
    Unknown {
        /// The operation.
        operation: String,
        /// The version it was written against.
        base: Option<u64>,
        /// How long it was tried.
        spent: Duration,
        /// What the last calls came to.
        misses: Vec<Miss>,
    },
    /// The platform is away, so a change was not accepted.
    #[error(
        "the platform is away: the change was not accepted\n\
         the configuration in force stays in force; try again later"
    )]
    NotAccepted,
    /// The platform is away, so something can't be read.
    #[error("the platform is away; `{NAME} show` and `{NAME} status` work without it")]
    Platform,
}

/// What to do when no entry answers.
const AWAY: &str = "check --entry and CLEMENTINESTEP_ENTRIES; \
    entries that run keep the configuration they have";

/// A command line that can't be followed.
#[derive(Debug, Error)]
pub enum Usage {
    /// Arguments that don't fit the command.
    #[error("{}\nrun `{NAME} --help` for more", .0.trim_end())]
    Arguments(String),
    /// An argument that is not UTF-8.
    #[error("not UTF-8: {}", .0.to_string_lossy())]
    NotText(OsString),
    /// No entry was named.
    #[error("no entry is named; give --entry HOST:PORT or set {}", fleet::ENTRIES)]
    NoEntry,
    /// An entry that isn't an address.
    #[error("`{0}` is no HOST:PORT")]
    BadEntry(String),
    /// No operators' key.
    #[error("no operators' key; give --operator-key-file or set {}", fleet::KEY)]
    NoKey,
    /// An operators' key that can't be sent. The key itself is not shown.
    #[error("the operators' key holds characters that can't be sent")]
    BadKey,
    /// Both `--base` and `--force`.
    #[error("--base and --force exclude one another")]
    BaseAndForce,
    /// An operation id that isn't one.
    #[error("`{0}` is no operation; it has 32 hexadecimal digits")]
    BadOperation(String),
    /// A header that isn't one.
    #[error("`{0}` is no header; write NAME=VALUE")]
    BadHeader(String),
    /// A time that isn't one.
    #[error("`{0}` is no time; write it as 2026-03-02T14:30:00Z")]
    BadTime(String),
    /// A path without a slash.
    #[error("path `{0}` doesn't begin with `/`")]
    BadPath(String),
    /// No log file was named.
    #[error("no log file is named; give one or more, or - for standard input")]
    NoLogs,
    /// Nothing on standard input.
    #[error("standard input has no key")]
    EmptyKey,
}

/// Why an entry refused.
#[derive(Debug, Error)]
pub enum Reason {
    /// The key doesn't fit.
    #[error("the operators' key is not the fleet's")]
    Unauthorized,
    /// What it said.
    #[error("{0}")]
    Said(String),
}

impl Failure {
    /// The exit code.
    pub fn code(&self) -> u8 {
        match self {
            Self::Faults(_) | Self::Rejected(_) => 1,
            Self::Usage(_) | Self::File { .. } => 2,
            Self::Away(_) => 3,
            Self::Refused { .. } => 4,
            Self::Conflict(_) => 5,
            Self::Partial { .. } | Self::Unseen { .. } => 6,
            Self::Unknown { .. } => 7,
            Self::NotAccepted | Self::Platform => 8,
            Self::NoRequest { .. } => 9,
        }
    }
}

/// Prints what a command came to and gives its exit code.
pub fn report(done: Result<String, Failure>) -> ExitCode {
    match done.and_then(print) {
        Ok(()) => ExitCode::SUCCESS,
        Err(f) => {
            note(f.to_string().trim_end());
            ExitCode::from(f.code())
        }
    }
}

/// Writes a line to standard error. One that can't be written is lost: there is nowhere left to
/// say so, and the exit code still tells.
pub fn note(line: impl fmt::Display) {
    let _ = writeln!(io::stderr(), "{line}");
}

fn print(text: String) -> Result<(), Failure> {
    let end = match text.is_empty() || text.ends_with('\n') {
        true => "",
        false => "\n",
    };
    match write!(io::stdout(), "{text}{end}") {
        // Whoever reads has enough, as in `show | head`.
        Err(e) if e.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        done => done.map_err(|error| Failure::File {
            path: "standard output".into(),
            error,
        }),
    }
}

/// A time span in seconds.
pub(crate) struct Span(pub(crate) Duration);

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1} s", self.0.as_secs_f64())
    }
}

struct Based(Option<u64>);

impl fmt::Display for Based {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(base) => write!(f, " --base {base}"),
            None => f.write_str(" --force"),
        }
    }
}
