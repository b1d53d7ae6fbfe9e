//! `clementinestep trace`: one request's way, from the logs of many processes.

use std::fmt::Write as _;
use std::path::PathBuf;

use argh::FromArgs;

use crate::exit::{Failure, Usage};
use crate::logs::{Line, Logs};

/// Kinds of line that change what a process believes of everything.
const BELIEFS: [&str; 3] = ["configured", "named", "lost"];

/// Show one request's way through the processes, in order, with the reason of each step.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "trace")]
pub struct Trace {
    /// the request's id
    #[argh(positional)]
    id: String,
    /// log files of the processes, - for standard input
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// Runs the command.
pub fn run(args: &Trace) -> Result<String, Failure> {
    if args.files.is_empty() {
        return Err(Usage::NoLogs.into());
    }
    let logs = Logs::read(&args.files)?;
    let way: Vec<_> = logs
        .lines
        .iter()
        .filter(|l| l.text("request") == Some(args.id.as_str()))
        .collect();
    let Some(first) = way.first() else {
        return Err(Failure::NoRequest {
            id: args.id.clone(),
            lines: logs.lines.len(),
            foreign: logs.foreign,
        });
    };
    let mut out = String::new();
    believed(&mut out, &logs, first);
    for line in &way {
        let _ = writeln!(
            out,
            "{}  {}  {:10} {}",
            line.at,
            line.host,
            line.event,
            line.rest()
        );
    }
    targets(&mut out, &logs, &way);
    out.push_str(&logs.passed_over());
    Ok(out)
}

/// What the process that took the request believed when it came.
fn believed(out: &mut String, logs: &Logs, first: &Line) {
    let before = logs.lines.iter();
    let before = before.filter(|l| l.host == first.host && l.at <= first.at);
    for kind in BELIEFS {
        let last = before.clone().rfind(|l| l.event == kind);
        if let Some(line) = last {
            let _ = writeln!(
                out,
                "{}  {}  {:10} {}  (before)",
                line.at,
                line.host,
                kind,
                line.rest()
            );
        }
    }
}

/// What was told of the targets that the request was sent to, around that time.
fn targets(out: &mut String, logs: &Logs, way: &[&Line]) {
    let (Some(first), Some(last)) = (way.first(), way.last()) else {
        return;
    };
    let sent: Vec<_> = way.iter().filter_map(|l| l.text("target")).collect();
    let about = logs.lines.iter().filter(|l| {
        let of_target = l.text("target").is_some_and(|t| sent.contains(&t));
        let change = l.event == "target" || l.event == "left_out";
        of_target && change && l.host == first.host && l.at <= last.at
    });
    for line in about {
        let _ = writeln!(
            out,
            "{}  {}  {:10} {}  (target)",
            line.at,
            line.host,
            line.event,
            line.rest()
        );
    }
}
