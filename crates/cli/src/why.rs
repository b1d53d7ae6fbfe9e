//! `why`: the number of refusals and failures by cause.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::PathBuf;

use argh::FromArgs;

use crate::exit::{Failure, Usage};
use crate::logs::{Line, Logs};

/// Maximum number of request ids shown for each cause, as input for `trace`.
const IDS_PER_CAUSE: usize = 3;

/// count refusals, failures and interrupted streams by cause
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "why")]
pub struct Why {
    /// only lines from this time on, in the format of the logs (2026-01-31T09:30)
    #[argh(option)]
    from: Option<String>,
    /// only lines before this time, in the format of the logs
    #[argh(option)]
    to: Option<String>,
    /// log files of the processes, - for standard input
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// Occurrences of one cause.
#[derive(Default)]
struct Occurrences {
    count: usize,
    request_ids: Vec<String>,
}

/// Runs the command.
pub fn run(args: &Why) -> Result<String, Failure> {
    if args.files.is_empty() {
        return Err(Usage::NoLogs.into());
    }
    let logs = Logs::read(&args.files)?;
    let from = args.from.as_deref().unwrap_or_default();
    let within = |l: &&Line| {
        let at = l.at.as_str();
        at >= from && args.to.as_deref().is_none_or(|to| at < to)
    };
    let mut causes: BTreeMap<String, Occurrences> = BTreeMap::new();
    for line in logs.lines.iter().filter(within) {
        let Some(cause) = cause(line) else {
            continue;
        };
        let occurrences = causes.entry(cause).or_default();
        occurrences.count += line.number("lines").unwrap_or(1) as usize;
        let id = line
            .text("request")
            .filter(|_| occurrences.request_ids.len() < IDS_PER_CAUSE);
        occurrences.request_ids.extend(id.map(str::to_owned));
    }
    let mut causes: Vec<_> = causes.into_iter().collect();
    causes.sort_by_key(|(_, occurrences)| std::cmp::Reverse(occurrences.count));
    let mut out = String::new();
    for (cause, occurrences) in causes {
        let _ = writeln!(
            out,
            "{:6}  {cause:44} {}",
            occurrences.count,
            occurrences.request_ids.join(" ")
        );
    }
    if out.is_empty() {
        out.push_str("nothing was refused, failed or cut\n");
    }
    out.push_str(&logs.skipped());
    Ok(out)
}

/// The cause of the failure that a line reports; `None` if it reports no failure.
fn cause(line: &Line) -> Option<String> {
    let text = |name: &str| line.text(name).unwrap_or("?").to_owned();
    match line.event.as_str() {
        "refused" => Some(format!(
            "refused {} {} on {}",
            line.number("status").unwrap_or(0),
            text("reason"),
            text("route")
        )),
        "tried" => Some(format!("try: {}", text("reason"))),
        "streamed" if line.text("end") != Some("whole") => Some(format!("stream {}", text("end"))),
        "answered" if line.number("status")? >= 500 => {
            Some(format!("answered {} by its target", line.number("status")?))
        }
        "lost" => Some(format!("lost {}: {}", text("dependency"), text("error"))),
        "dropped" => Some(format!("log lines left out: {}", text("kind"))),
        _ => None,
    }
}
