//! `diff`: the changes that a file would make to the configuration in force, listed by pools, teams
//! and rules rather than by lines.

use std::path::PathBuf;

use argh::FromArgs;

use crate::admin::{InForce, CONFIGURATION_PATH};
use crate::check;
use crate::exit::Failure;
use crate::fleet::Fleet;

/// print the changes that a file would make to the configuration in force
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// the configuration file
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

/// Runs the command.
pub async fn run(d: &Diff) -> Result<String, Failure> {
    let (_, new) = check::load(&d.file)?;
    let fleet = Fleet::from_options(&d.entry, &d.operator_key_file)?;
    let current: InForce = fleet.get(CONFIGURATION_PATH).await?;
    let source = format!("version {}", current.version);
    let old = check::compile(&source, &current.text)?;
    let changes = rules::diff(&old, &new);
    match changes.is_empty() {
        true => Ok(format!("no difference from {source}")),
        false => Ok(changes.to_string()),
    }
}
