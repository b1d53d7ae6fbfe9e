//! `apply`: puts a configuration in force and waits until every live member has it.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use argh::FromArgs;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rules::units;

use crate::admin::{InForce, Proposal, CONFIGURATION_PATH};
use crate::exit::{Failure, Seconds, Usage};
use crate::fleet::Fleet;
use crate::{check, propagation, propose};

/// Author of a change if neither the option nor the environment names an author.
const UNKNOWN_AUTHOR: &str = "unknown";
/// Number of hexadecimal digits in an operation id.
const OPERATION_ID_LEN: usize = 32;

/// put a configuration in force
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
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
    /// version that the file is based on; if another version is in force, the change is a
    /// conflict (default: the version in force when the command starts)
    #[argh(option)]
    base: Option<u64>,
    /// replace whatever version is in force
    #[argh(switch)]
    force: bool,
    /// author of the change (default: USER)
    #[argh(option)]
    author: Option<String>,
    /// time limit for the wait until every live member has the version (default: 10s)
    #[argh(option, default = "units::Duration::from_secs(10)")]
    wait: units::Duration,
    /// time limit for repeating a call whose outcome is unknown (default: 15s)
    #[argh(option, default = "units::Duration::from_secs(15)")]
    retry: units::Duration,
    /// operation id of an earlier call whose outcome is unknown, to repeat that call (default:
    /// random)
    #[argh(option)]
    operation: Option<String>,
}

/// Runs the command.
pub async fn run(a: &Apply) -> Result<String, Failure> {
    let (text, _) = check::load(&a.file)?;
    let fleet = Fleet::from_options(&a.entry, &a.operator_key_file)?;
    let proposal = Proposal {
        text,
        operation: operation(a)?,
        author: author(a),
        base: base(a, &fleet).await?,
    };
    let start = Instant::now();
    let version = propose::run(&fleet, &proposal, to_std(a.retry)).await?;
    let propagation = propagation::wait(&fleet, version, to_std(a.wait)).await?;
    let elapsed = Seconds(start.elapsed());
    let live = propagation.live;
    Ok(format!(
        "version {version} is in force on {live} members after {elapsed}"
    ))
}

/// The version that the change is based on; `None` replaces whatever version is in force.
async fn base(a: &Apply, fleet: &Fleet) -> Result<Option<u64>, Failure> {
    match (a.base, a.force) {
        (Some(_), true) => Err(Usage::BaseAndForce.into()),
        (None, true) => Ok(None),
        (Some(base), false) => Ok(Some(base)),
        (None, false) => {
            let current: InForce = fleet.get(CONFIGURATION_PATH).await?;
            Ok(Some(current.version))
        }
    }
}

/// The operation id: the given one, or a random one.
fn operation(a: &Apply) -> Result<String, Failure> {
    let valid =
        |id: &str| id.len() == OPERATION_ID_LEN && id.bytes().all(|b| b.is_ascii_hexdigit());
    match &a.operation {
        Some(id) if valid(id) => Ok(id.clone()),
        Some(id) => Err(Usage::BadOperation(id.clone()).into()),
        None => Ok(format!("{:032x}", StdRng::from_os_rng().random::<u128>())),
    }
}

fn author(a: &Apply) -> String {
    let user = || std::env::var("USER").ok().filter(|u| !u.is_empty());
    let author = a.author.clone().or_else(user);
    author.unwrap_or_else(|| UNKNOWN_AUTHOR.to_owned())
}

fn to_std(d: units::Duration) -> Duration {
    Duration::from_micros(d.0 .0)
}
