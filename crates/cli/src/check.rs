//! `check`: lists all faults of a configuration file, without a call to the fleet.

use std::path::{Path, PathBuf};

use argh::FromArgs;
use rules::RuleSet;

use crate::exit::{note, Failure};

/// check a configuration file
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// the configuration file
    #[argh(positional)]
    file: PathBuf,
}

/// Runs the command. Warnings alone don't make it fail.
pub fn run(c: &Check) -> Result<String, Failure> {
    let (_, rules) = load(&c.file)?;
    let conf = rules.config();
    Ok(format!(
        "{}: no errors (pools: {}, teams: {}, rules: {}, warnings: {})",
        c.file.display(),
        conf.pool.len(),
        conf.team.len(),
        conf.rule.len(),
        rules.warnings().len()
    ))
}

/// Reads and checks a file; returns its text and its rules, and prints the warnings.
pub fn load(path: &Path) -> Result<(String, RuleSet), Failure> {
    let text = read_file(path)?;
    let rules = compile(&path.display().to_string(), &text)?;
    rules.warnings().iter().for_each(note);
    Ok((text, rules))
}

/// Checks a text; the faults name its source.
pub fn compile(source: &str, text: &str) -> Result<RuleSet, Failure> {
    RuleSet::compile_file(source, text).map_err(Failure::Faults)
}

/// Reads a file.
pub fn read_file(path: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(path).map_err(|error| Failure::File {
        path: path.to_owned(),
        error,
    })
}
