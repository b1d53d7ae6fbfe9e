//! The operators' client: `clementinestep`.

mod apply;
mod call;
mod check;
mod digest;
mod exit;

use std::process::ExitCode;

use argh::FromArgs;

/// Checks, applies and inspects the configuration of a fleet.
#[derive(FromArgs, Debug)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum Command {
    Check(check::Check),
    Apply(apply::Apply),
    Digest(digest::Digest),
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let done = match args.command {
        Command::Check(c) => check::run(&c),
        Command::Apply(a) => apply::run(&a).await,
        Command::Digest(d) => digest::run(&d),
    };
    exit::report(done)
}
