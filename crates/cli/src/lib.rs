//! The operators' client, as a library under a thin `main`.
//!
//! There is one module per command, all of one shape: the arguments with their defaults first,
//! then `run`, then what it needs. `run` gives the text for standard output or a [`Failure`],
//! whose exit code is the same for every command. Progress and warnings go to standard error, so
//! that output can be piped. Beside the commands stand what they share: [`admin`] has the
//! messages, [`fleet`] the calls, [`propose`] the one call that changes something, [`spread`] the
//! wait until a version is in force, [`logs`] the reading of log lines, [`page`] the layout of text, [`exit`] the exit codes.
//!
//! `docs/CLIENT.md` is the operators' page.

pub mod admin;
pub mod apply;
pub mod check;
pub mod diff;
pub mod digest;
pub mod exit;
pub mod explain;
pub mod fleet;
pub mod history;
pub mod logs;
pub mod page;
pub mod propose;
pub mod show;
pub mod spread;
pub mod status;
pub mod trace;
pub mod why;

use std::ffi::OsString;

use argh::{EarlyExit, FromArgs};

use crate::exit::{Failure, Usage};

/// Name of the program in its own texts.
pub const NAME: &str = "clementinestep";

/// Checks, applies and inspects the configuration of a fleet.
#[derive(FromArgs, Debug)]
pub struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum Command {
    Check(check::Check),
    Apply(apply::Apply),
    Show(show::Show),
    History(history::History),
    Diff(diff::Diff),
    Status(status::Status),
    Explain(explain::Explain),
    Digest(digest::Digest),
    Trace(trace::Trace),
    Why(why::Why),
}

/// Reads the arguments, the program's name first. The error is what ends the run early: a usage
/// failure, or the help that was asked for.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Args, Result<String, Failure>> {
    let mut texts = Vec::new();
    for arg in args.into_iter().skip(1) {
        match arg.into_string() {
            Ok(text) => texts.push(text),
            Err(arg) => return Err(Err(Usage::NotText(arg).into())),
        }
    }
    let texts: Vec<_> = texts.iter().map(String::as_str).collect();
    Args::from_args(&[NAME], &texts).map_err(early)
}

fn early(EarlyExit { output, status }: EarlyExit) -> Result<String, Failure> {
    match status {
        Ok(()) => Ok(output),
        Err(()) => Err(Usage::Arguments(output).into()),
    }
}

/// Runs a command; gives the text for standard output.
pub async fn run(args: Args) -> Result<String, Failure> {
    match args.command {
        Command::Check(c) => check::run(&c),
        Command::Apply(c) => apply::run(&c).await,
        Command::Show(c) => show::run(&c).await,
        Command::History(c) => history::run(&c).await,
        Command::Diff(c) => diff::run(&c).await,
        Command::Status(c) => status::run(&c).await,
        Command::Explain(c) => explain::run(&c).await,
        Command::Digest(c) => digest::run(&c),
        Command::Trace(c) => trace::run(&c),
        Command::Why(c) => why::run(&c),
    }
}
