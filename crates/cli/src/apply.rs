//! `apply`: puts a configuration in force.

use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use hyper::Method;
use rules::RuleSet;

use crate::call::send;
use crate::check::read;
use crate::exit::Failure;

/// put a configuration in force
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "apply")]
pub(crate) struct Apply {
    /// the file
    #[argh(positional)]
    file: PathBuf,
    /// operators' address of any entry
    #[argh(option)]
    entry: String,
}

/// Longest wait for the entry.
const LIMIT: Duration = Duration::from_secs(15);

/// Applies.
pub(crate) async fn run(a: &Apply) -> Result<(), Failure> {
    let text = read(&a.file)?;
    RuleSet::compile(&text).map_err(Failure::Faults)?;
    let path = "/admin/configuration";
    let change =
        serde_json::json!({"text": text, "operation": format!("{:x}", std::process::id())});
    let body = send(Method::PUT, &a.entry, path, change.to_string(), LIMIT).await?;
    println!("{}", String::from_utf8_lossy(&body));
    Ok(())
}
