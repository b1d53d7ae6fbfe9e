//! `check`: says all that is wrong with a configuration.

use std::path::{Path, PathBuf};

use argh::FromArgs;
use rules::RuleSet;

use crate::exit::Failure;

/// check a configuration file
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// the file
    #[argh(positional)]
    file: PathBuf,
}

/// Checks.
pub(crate) fn run(c: &Check) -> Result<(), Failure> {
    let text = read(&c.file)?;
    let rules = RuleSet::compile(&text).map_err(Failure::Faults)?;
    let conf = rules.config();
    println!(
        "{}: {} pools, {} teams, {} rules, no faults",
        c.file.display(),
        conf.pool.len(),
        conf.team.len(),
        conf.rule.len()
    );
    Ok(())
}

/// Reads a file.
pub(crate) fn read(path: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(path).map_err(|error| Failure::File {
        path: path.to_owned(),
        error,
    })
}
