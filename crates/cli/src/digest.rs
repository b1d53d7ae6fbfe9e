//! `digest`: the digest that a configuration contains instead of an API key.

use argh::FromArgs;

use crate::exit::{Failure, Usage};

/// print the digest of an API key, read from standard input
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "digest")]
pub struct Digest {}

/// Runs the command. The key is read from standard input, since arguments are visible in process
/// lists and shell histories.
pub fn run(_: &Digest) -> Result<String, Failure> {
    let mut key = String::new();
    let read = std::io::stdin().read_line(&mut key);
    read.map_err(|error| Failure::File {
        path: "standard input".into(),
        error,
    })?;
    match key.trim() {
        "" => Err(Usage::EmptyKey.into()),
        key => Ok(rules::key_digest(key)),
    }
}
