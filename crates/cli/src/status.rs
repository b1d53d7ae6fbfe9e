//! `status`: the members of the fleet and the version that each has in force.

use std::collections::BTreeMap;
use std::path::PathBuf;

use argh::FromArgs;

use crate::admin::{Member, Members, STATUS};
use crate::exit::Failure;
use crate::fleet::Fleet;
use crate::page;
use crate::spread::Spread;

/// list the members of the fleet and their versions
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub struct Status {
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
pub async fn run(s: &Status) -> Result<String, Failure> {
    let fleet = Fleet::open(&s.entry, &s.operator_key_file)?;
    fleet.shown::<Members>(STATUS, s.json, page).await
}

/// The highest version that anybody reports; members below it lag.
fn newest(m: &Members) -> u64 {
    let all = m.members.iter().filter(|m| m.state.is_live());
    all.map(|m| m.version).fold(m.version, u64::max)
}

fn page(m: &Members) -> String {
    let newest = newest(m);
    let spread = Spread::of(m, newest);
    let title = format!("version {}, digest {}\n", m.version, page::short(&m.digest));
    let lag = match spread.behind.len() {
        0 => format!("all {} live members have version {newest}\n", spread.live),
        n => format!(
            "{n} of {} live members lag behind version {newest}\n",
            spread.live
        ),
    };
    let rows: Vec<_> = m.members.iter().map(|m| row(m, newest)).collect();
    let head = [
        "ROLE", "STATE", "VERSION", "HOST", "DOMAIN", "REGION", "POOL", "PEER", "ID",
    ];
    format!("{title}{lag}{}\n{}", counts(m), page::table(head, &rows))
}

fn counts(m: &Members) -> String {
    let mut counts = BTreeMap::new();
    for m in &m.members {
        *counts.entry((m.role, m.state)).or_insert(0) += 1;
    }
    let rows = counts
        .iter()
        .map(|((role, state), n)| [role.to_string(), state.to_string(), n.to_string()]);
    page::table(["ROLE", "STATE", "COUNT"], &rows.collect::<Vec<_>>())
}

fn row(m: &Member, newest: u64) -> [String; 9] {
    let version = match m.version < newest && m.state.is_live() {
        true => format!("{} lags", m.version),
        false => m.version.to_string(),
    };
    [
        m.role.to_string(),
        m.state.to_string(),
        version,
        m.host.clone(),
        m.domain.clone(),
        m.region.clone(),
        m.pool.clone().unwrap_or_default(),
        m.peer.clone(),
        page::short(&m.id).to_owned(),
    ]
}
