//! The operators' command line client `clementinestep`.

use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let result = match cli::parse(std::env::args_os()) {
        Ok(args) => cli::run(args).await,
        Err(help_or_failure) => help_or_failure,
    };
    cli::exit::report(result)
}
