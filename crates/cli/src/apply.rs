//! `apply`: puts a configuration in force and waits until every live member has it.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use argh::FromArgs;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rules::units;

use crate::admin::{InForce, Proposal, CONFIGURATION};
use crate::exit::{Failure, Span, Usage};
use crate::fleet::Fleet;
use crate::{check, propose, spread};

/// Author of a change when neither the option nor the environment names one.
const NOBODY: &str = "unknown";
/// Hexadecimal digits of an operation id.
const DIGITS: usize = 32;

/// put a configuration in force
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// the file
    #[argh(positional)]
    file: PathBuf,
    /// operators' address of an entry as HOST:PORT; may be repeated, tried in order (default:
    /// CLEMENTINESTEP_ENTRIES)
    #[argh(option)]
    entry: Vec<String>,
    /// file with the operators' key (default: CLEMENTINESTEP_OPERATOR_KEY)
    #[argh(option)]
    operator_key_file: Option<PathBuf>,
    /// version that the file was written against; another one in force is a conflict (default:
    /// the version in force when the command starts)
    #[argh(option)]
    base: Option<u64>,
    /// replace whatever version is in force
    #[argh(switch)]
    force: bool,
    /// who asks for the change (default: USER)
    #[argh(option)]
    author: Option<String>,
    /// longest wait until every live member has the version (default: 10s)
    #[argh(option, default = "units::Duration::from_secs(10)")]
    wait: units::Duration,
    /// how long a call whose outcome is uncertain is repeated (default: 15s)
    #[argh(option, default = "units::Duration::from_secs(15)")]
    retry: units::Duration,
    /// operation id of an earlier call whose outcome was unknown, to repeat it (default: random)
    #[argh(option)]
    operation: Option<String>,
}

/// Applies.
pub async fn run(a: &Apply) -> Result<String, Failure> {
    let (text, _) = check::load(&a.file)?;
    let fleet = Fleet::open(&a.entry, &a.operator_key_file)?;
    let proposal = Proposal {
        text,
        operation: operation(a)?,
        author: author(a),
        base: base(a, &fleet).await?,
    };
    let start = Instant::now();
    let version = propose::run(&fleet, &proposal, span(a.retry)).await?;
    let spread = spread::wait(&fleet, version, span(a.wait)).await?;
    let spent = Span(start.elapsed());
    let live = spread.live;
    Ok(format!(
        "version {version} is in force on {live} members after {spent}"
    ))
}

async fn base(a: &Apply, fleet: &Fleet) -> Result<Option<u64>, Failure> {
    match (a.base, a.force) {
        (Some(_), true) => Err(Usage::BaseAndForce.into()),
        (None, true) => Ok(None),
        (Some(base), false) => Ok(Some(base)),
        (None, false) => {
            let now: InForce = fleet.get(CONFIGURATION).await?;
            Ok(Some(now.version))
        }
    }
}

fn operation(a: &Apply) -> Result<String, Failure> {
    let valid = |id: &str| id.len() == DIGITS && id.bytes().all(|b| b.is_ascii_hexdigit());
    match &a.operation {
        Some(id) if valid(id) => Ok(id.clone()),
        Some(id) => Err(Usage::BadOperation(id.clone()).into()),
        None => Ok(format!("{:032x}", StdRng::from_os_rng().random::<u128>())),
    }
}

fn author(a: &Apply) -> String {
    let user = || std::env::var("USER").ok().filter(|u| !u.is_empty());
    let author = a.author.clone().or_else(user);
    author.unwrap_or_else(|| NOBODY.to_owned())
}

fn span(d: units::Duration) -> Duration {
    Duration::from_micros(d.0 .0)
}
