//! `diff`: what a file would change, in terms of pools, teams and rules rather than lines.

use std::path::PathBuf;

use argh::FromArgs;

use crate::admin::{InForce, CONFIGURATION};
use crate::check;
use crate::exit::Failure;
use crate::fleet::Fleet;

/// print what a file would change in the configuration in force
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// the file
    #[argh(positional)]
    file: PathBuf,
    /// operators' address of an entry as HOST:PORT; may be repeated, tried in order (default:
    /// CLEMENTINESTEP_ENTRIES)
    #[argh(option)]
    entry: Vec<String>,
    /// file with the operators' key (default: CLEMENTINESTEP_OPERATOR_KEY)
    #[argh(option)]
    operator_key_file: Option<PathBuf>,
}

/// Compares.
pub async fn run(d: &Diff) -> Result<String, Failure> {
    let (_, new) = check::load(&d.file)?;
    let fleet = Fleet::open(&d.entry, &d.operator_key_file)?;
    let now: InForce = fleet.get(CONFIGURATION).await?;
    let name = format!("version {}", now.version);
    let old = check::compile(&name, &now.text)?;
    let changes = rules::diff(&old, &new);
    match changes.is_empty() {
        true => Ok(format!("no difference from {name}")),
        false => Ok(changes.to_string()),
    }
}
