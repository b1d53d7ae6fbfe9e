//! `status`: the members of the fleet and the version that each has in force.

use std::collections::BTreeMap;
use std::path::PathBuf;

use argh::FromArgs;

use crate::admin::{FleetStatus, Member, STATUS_PATH};
use crate::exit::Failure;
use crate::fleet::Fleet;
use crate::layout;
use crate::propagation::Propagation;

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
    /// print JSON instead of a table
    #[argh(switch)]
    json: bool,
}

/// Runs the command.
pub async fn run(s: &Status) -> Result<String, Failure> {
    let fleet = Fleet::from_options(&s.entry, &s.operator_key_file)?;
    fleet
        .get_output::<FleetStatus>(STATUS_PATH, s.json, render)
        .await
}

/// The highest version in force on the queried entry or a live member; members with an older
/// version lag.
fn newest_version(status: &FleetStatus) -> u64 {
    let live = status.members.iter().filter(|m| m.state.is_live());
    live.map(|m| m.version).fold(status.version, u64::max)
}

/// Formats the status as text.
fn render(status: &FleetStatus) -> String {
    let newest = newest_version(status);
    let propagation = Propagation::of(status, newest);
    let title = format!(
        "version {}, digest {}\n",
        status.version,
        layout::short_id(&status.digest)
    );
    let lag = match propagation.lagging.len() {
        0 => format!(
            "all {} live members have version {newest}\n",
            propagation.live
        ),
        n => format!(
            "{n} of {} live members lag behind version {newest}\n",
            propagation.live
        ),
    };
    let rows: Vec<_> = status.members.iter().map(|m| row(m, newest)).collect();
    let header = [
        "ROLE", "STATE", "VERSION", "HOST", "DOMAIN", "REGION", "POOL", "PEER", "ID",
    ];
    format!(
        "{title}{lag}{}\n{}",
        counts(status),
        layout::table(header, &rows)
    )
}

/// Formats the number of members in each role and state.
fn counts(status: &FleetStatus) -> String {
    let mut counts = BTreeMap::new();
    for m in &status.members {
        *counts.entry((m.role, m.state)).or_insert(0) += 1;
    }
    let rows = counts
        .iter()
        .map(|((role, state), n)| [role.to_string(), state.to_string(), n.to_string()]);
    layout::table(["ROLE", "STATE", "COUNT"], &rows.collect::<Vec<_>>())
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
        layout::short_id(&m.id).to_owned(),
    ]
}
