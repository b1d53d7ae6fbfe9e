//! `explain`: the rule that decides a request, and the reasons why earlier rules don't match.

use std::path::PathBuf;
use std::str::FromStr;

use argh::FromArgs;
use chrono::{DateTime, Utc};
use rules::{Facts, RuleSet};

use crate::admin::{InForce, CONFIGURATION_PATH};
use crate::check;
use crate::exit::{note, Failure, Usage};
use crate::fleet::Fleet;

/// show which rule of a file or of the configuration in force decides a request
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// the configuration file (default: the configuration in force)
    #[argh(positional)]
    file: Option<PathBuf>,
    /// operators' address of an entry as HOST:PORT; may be repeated, tried in order (default:
    /// CLEMENTINESTEP_ENTRIES)
    #[argh(option)]
    entry: Vec<String>,
    /// file with the operators' key (default: CLEMENTINESTEP_OPERATOR_KEY)
    #[argh(option)]
    operator_key_file: Option<PathBuf>,
    /// team that sends the request
    #[argh(option)]
    team: String,
    /// path of the request
    #[argh(option)]
    path: String,
    /// HTTP method (default: POST)
    #[argh(option, default = "String::from(\"POST\")")]
    method: String,
    /// model that the request names (default: none)
    #[argh(option)]
    model: Option<String>,
    /// header as NAME=VALUE; may be repeated
    #[argh(option)]
    header: Vec<Header>,
    /// size of the prompt in bytes (default: 0)
    #[argh(option, default = "0")]
    prompt_bytes: usize,
    /// time of the request, as 2026-03-02T14:30:00Z (default: now)
    #[argh(option, default = "UnixTime::now()")]
    at: UnixTime,
}

/// A header of the request to explain.
#[derive(Clone, Debug)]
struct Header {
    name: String,
    value: String,
}

/// A time in seconds since the epoch.
#[derive(Clone, Copy, Debug)]
struct UnixTime(u64);

/// Runs the command.
pub async fn run(e: &Explain) -> Result<String, Failure> {
    let facts = facts(e)?;
    let rules = rules(e).await?;
    if !rules.config().team.contains_key(&e.team) {
        let team = &e.team;
        note(format_args!(
            "no team is named `{team}`, so no caller can send this request"
        ));
    }
    Ok(rules.explain(&facts).to_string())
}

/// The rules of the file, or of the configuration in force if no file is given.
async fn rules(e: &Explain) -> Result<RuleSet, Failure> {
    if let Some(file) = &e.file {
        return check::load(file).map(|(_, rules)| rules);
    }
    let fleet = Fleet::from_options(&e.entry, &e.operator_key_file)?;
    let current: InForce = fleet.get(CONFIGURATION_PATH).await?;
    check::compile(&format!("version {}", current.version), &current.text)
}

fn facts(e: &Explain) -> Result<Facts, Failure> {
    let path = match e.path.split_once('?') {
        Some((path, _)) => path,
        None => &e.path,
    };
    if !path.starts_with('/') {
        return Err(Usage::BadPath(e.path.clone()).into());
    }
    let headers = e.header.iter();
    let facts = Facts {
        team: e.team.clone(),
        method: e.method.clone(),
        path: path.to_owned(),
        model: e.model.clone(),
        headers: headers.map(|h| (h.name.clone(), h.value.clone())).collect(),
        prompt_bytes: e.prompt_bytes,
        ..Facts::default()
    };
    Ok(facts.at_unix_time(e.at.0))
}

impl UnixTime {
    fn now() -> Self {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        Self(now.unwrap_or_default().as_secs())
    }
}

impl FromStr for Header {
    type Err = Usage;

    fn from_str(s: &str) -> Result<Self, Usage> {
        match s.split_once('=') {
            Some((name, value)) if !name.is_empty() => Ok(Self {
                name: name.to_ascii_lowercase(),
                value: value.to_owned(),
            }),
            _ => Err(Usage::BadHeader(s.to_owned())),
        }
    }
}

impl FromStr for UnixTime {
    type Err = Usage;

    fn from_str(s: &str) -> Result<Self, Usage> {
        let time = s.parse::<DateTime<Utc>>().ok();
        time.and_then(|t| u64::try_from(t.timestamp()).ok())
            .map(Self)
            .ok_or_else(|| Usage::BadTime(s.to_owned()))
    }
}
