//! `digest`: what a configuration holds in place of an API key.

use argh::FromArgs;

use crate::exit::Failure;

/// print the digest of an API key, read from standard input
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "digest")]
pub(crate) struct Digest {}

/// Prints the digest.
pub(crate) fn run(_: &Digest) -> Result<(), Failure> {
    let mut key = String::new();
    std::io::stdin()
        .read_line(&mut key)
        .map_err(|error| Failure::File {
            path: "standard input".into(),
            error,
        })?;
    println!("blake3:{}", blake3::hash(key.trim().as_bytes()).to_hex());
    Ok(())
}
