//! `history`: the authors and times of the configuration changes.

use std::path::PathBuf;

use argh::FromArgs;

use crate::admin::{ChangeHistory, HISTORY_PATH};
use crate::exit::Failure;
use crate::fleet::Fleet;
use crate::layout;

/// list the changes of the configuration, latest first
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "history")]
pub struct History {
    /// operators' address of an entry as HOST:PORT; may be repeated, tried in order (default:
    /// CLEMENTINESTEP_ENTRIES)
    #[argh(option)]
    entry: Vec<String>,
    /// file with the operators' key (default: CLEMENTINESTEP_OPERATOR_KEY)
    #[argh(option)]
    operator_key_file: Option<PathBuf>,
    /// print JSON instead of a table
    #[argh(switch)]
    json: bool,
}

/// Runs the command.
pub async fn run(h: &History) -> Result<String, Failure> {
    let fleet = Fleet::from_options(&h.entry, &h.operator_key_file)?;
    fleet
        .get_output::<ChangeHistory>(HISTORY_PATH, h.json, table)
        .await
}

fn table(history: &ChangeHistory) -> String {
    let changes = history.current.iter().chain(&history.past);
    let row = |c: &contract::apply::PastChange| {
        [
            c.version.to_string(),
            layout::utc_time(c.at),
            c.author.clone(),
            layout::short_id(&c.digest).to_owned(),
            c.operation.clone(),
        ]
    };
    let rows: Vec<_> = changes.filter(|c| c.version > 0).map(row).collect();
    layout::table(["VERSION", "AT", "AUTHOR", "DIGEST", "OPERATION"], &rows)
}
