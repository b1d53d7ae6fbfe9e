//! `trace`: the path of one request, from the logs of many processes.

use std::fmt::Write as _;
use std::path::PathBuf;

use argh::FromArgs;

use crate::exit::{Failure, Usage};
use crate::logs::{Line, Logs};

/// Events that change the state by which a process decides all requests: the configuration, the
/// announced weights, and dependencies that stop answering.
const STATE_EVENTS: [&str; 3] = ["configured", "named", "lost"];

/// show the path of one request through the processes, in order, with the reason of each step
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "trace")]
pub struct Trace {
    /// id of the request
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
    let steps: Vec<_> = logs
        .lines
        .iter()
        .filter(|l| l.text("request") == Some(args.id.as_str()))
        .collect();
    let Some(first) = steps.first() else {
        return Err(Failure::RequestNotFound {
            id: args.id.clone(),
            lines: logs.lines.len(),
            unrecognized: logs.unrecognized,
        });
    };
    let mut out = String::new();
    write_state_before(&mut out, &logs, first);
    for line in &steps {
        let _ = writeln!(
            out,
            "{}  {}  {:10} {}",
            line.at,
            line.host,
            line.event,
            line.details()
        );
    }
    write_target_events(&mut out, &logs, &steps);
    out.push_str(&logs.skipped());
    Ok(out)
}

/// Writes the last state events before the request, from the host of its first line.
fn write_state_before(out: &mut String, logs: &Logs, first: &Line) {
    let before = logs.lines.iter();
    let before = before.filter(|l| l.host == first.host && l.at <= first.at);
    for event in STATE_EVENTS {
        let last = before.clone().rfind(|l| l.event == event);
        if let Some(line) = last {
            let _ = writeln!(
                out,
                "{}  {}  {:10} {}  (before)",
                line.at,
                line.host,
                event,
                line.details()
            );
        }
    }
}

/// Writes the events that changed the targets of the request, up to the last line of the request,
/// from the host of its first line.
fn write_target_events(out: &mut String, logs: &Logs, steps: &[&Line]) {
    let (Some(first), Some(last)) = (steps.first(), steps.last()) else {
        return;
    };
    let targets: Vec<_> = steps.iter().filter_map(|l| l.text("target")).collect();
    let changes = logs.lines.iter().filter(|l| {
        let of_target = l.text("target").is_some_and(|t| targets.contains(&t));
        let change = l.event == "target" || l.event == "left_out";
        of_target && change && l.host == first.host && l.at <= last.at
    });
    for line in changes {
        let _ = writeln!(
            out,
            "{}  {}  {:10} {}  (target)",
            line.at,
            line.host,
            line.event,
            line.details()
        );
    }
}
