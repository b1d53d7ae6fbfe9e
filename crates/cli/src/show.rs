//! `show`: the configuration in force.

use std::path::PathBuf;

use argh::FromArgs;

use crate::admin::{InForce, CONFIGURATION_PATH};
use crate::exit::{note, Failure};
use crate::fleet::Fleet;

/// print the configuration in force
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "show")]
pub struct Show {
    /// operators' address of an entry as HOST:PORT; may be repeated, tried in order (default:
    /// CLEMENTINESTEP_ENTRIES)
    #[argh(option)]
    entry: Vec<String>,
    /// file with the operators' key (default: CLEMENTINESTEP_OPERATOR_KEY)
    #[argh(option)]
    operator_key_file: Option<PathBuf>,
    /// print its version and digest instead of its text
    #[argh(switch)]
    version: bool,
}

/// Runs the command. Standard output gets the text alone, so that a redirected file has the same text;
/// version and digest go to standard error.
pub async fn run(s: &Show) -> Result<String, Failure> {
    let fleet = Fleet::from_options(&s.entry, &s.operator_key_file)?;
    let current: InForce = fleet.get(CONFIGURATION_PATH).await?;
    let InForce {
        version,
        digest,
        text,
    } = current;
    let title = format!("version {version}, digest {digest}");
    if s.version {
        return Ok(title);
    }
    note(title);
    Ok(text)
}
