//! The operators' command line client, as a library that `main` calls.
//!
//! Each command has a module with the same structure: the arguments with their defaults, then
//! `run`, then its helper functions. `run` returns the text for standard output or a [`Failure`];
//! each kind of failure has the same exit code in all commands. Progress and warnings go to
//! standard error, so that the output can be piped.
//!
//! The commands share these modules: [`admin`] has the messages, [`fleet`] the calls, [`propose`]
//! the call that changes the configuration, [`propagation`] the wait until a version is in force,
//! [`logs`] the log reader, [`layout`] the text layout, and [`exit`] the failures and exit codes.
//!
//! The manual for operators is `docs/CLIENT.md`.

pub mod admin;
pub mod apply;
pub mod check;
pub mod diff;
pub mod digest;
pub mod exit;
pub mod explain;
pub mod fleet;
pub mod history;
pub mod layout;
pub mod logs;
pub mod propagation;
pub mod propose;
pub mod show;
pub mod status;
pub mod trace;
pub mod why;

use std::ffi::OsString;

use argh::{EarlyExit, FromArgs};

use crate::exit::{Failure, Usage};

/// Name of the program in help texts and error messages.
pub const NAME: &str = "clementinestep";

/// check, apply and inspect the configuration of a fleet, and read its logs
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

/// Parses the arguments, of which the first is the name of the program. An error ends the program
/// without a command: it is a usage failure, or the requested help text.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Args, Result<String, Failure>> {
    let mut texts = Vec::new();
    for arg in args.into_iter().skip(1) {
        match arg.into_string() {
            Ok(text) => texts.push(text),
            Err(arg) => return Err(Err(Usage::NotUtf8(arg).into())),
        }
    }
    let texts: Vec<_> = texts.iter().map(String::as_str).collect();
    Args::from_args(&[NAME], &texts).map_err(help_or_failure)
}

fn help_or_failure(EarlyExit { output, status }: EarlyExit) -> Result<String, Failure> {
    match status {
        Ok(()) => Ok(output),
        Err(()) => Err(Usage::Arguments(output).into()),
    }
}

/// Runs a command; returns the text for standard output.
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
