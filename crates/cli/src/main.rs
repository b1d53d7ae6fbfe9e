//! The operators' client: `clementinestep`.

use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let done = match cli::parse(std::env::args_os()) {
        Ok(args) => cli::run(args).await,
        Err(early) => early,
    };
    cli::exit::report(done)
}
