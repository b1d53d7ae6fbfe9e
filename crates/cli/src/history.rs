//! `history`: who changed the configuration, and when.

use std::path::PathBuf;

use argh::FromArgs;

use crate::admin::{Changes, HISTORY};
use crate::exit::Failure;
use crate::fleet::Fleet;
use crate::page;

/// list the changes of the configuration, the latest first
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
    /// print JSON in place of a table
    #[argh(switch)]
    json: bool,
}

/// Lists.
pub async fn run(h: &History) -> Result<String, Failure> {
    let fleet = Fleet::open(&h.entry, &h.operator_key_file)?;
    fleet.shown::<Changes>(HISTORY, h.json, table).await
}

fn table(changes: &Changes) -> String {
    let all = changes.current.iter().chain(&changes.past);
    let row = |c: &contract::apply::PastChange| {
        [
            c.version.to_string(),
            page::time(c.at),
            c.author.clone(),
            page::short(&c.digest).to_owned(),
            c.operation.clone(),
        ]
    };
    let rows: Vec<_> = all.filter(|c| c.version > 0).map(row).collect();
    page::table(["VERSION", "AT", "AUTHOR", "DIGEST", "OPERATION"], &rows)
}
