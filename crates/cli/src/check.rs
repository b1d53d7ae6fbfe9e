//! `check`: says all that is wrong with a configuration, without asking anybody.

use std::path::{Path, PathBuf};

use argh::FromArgs;
use rules::RuleSet;

use crate::exit::{note, Failure};

/// check a configuration file
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// the file
    #[argh(positional)]
    file: PathBuf,
}

/// Checks; warnings alone are no failure.
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

/// Reads and checks a file; gives its text along with what it means, and notes the warnings.
pub fn load(path: &Path) -> Result<(String, RuleSet), Failure> {
    let text = read(path)?;
    let rules = compile(&path.display().to_string(), &text)?;
    rules.warnings().iter().for_each(note);
    Ok((text, rules))
}

/// Checks a text; faults bear the name of where it came from.
pub fn compile(name: &str, text: &str) -> Result<RuleSet, Failure> {
    RuleSet::compile_file(name, text).map_err(Failure::Faults)
}

/// Reads a file.
pub fn read(path: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(path).map_err(|error| Failure::File {
        path: path.to_owned(),
        error,
    })
}
