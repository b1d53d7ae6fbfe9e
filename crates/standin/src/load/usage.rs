//! Processor time and memory of a process, from `/proc`.

use std::path::{Path, PathBuf};

use serde::Serialize;

/// Clock ticks per second in `/proc`; Linux has fixed this number for user programs.
const TICKS_PER_SECOND: u64 = 100;
/// Part of the name of control threads.
const CONTROL_THREAD: &str = "control";

/// The resources that a process has used up to a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Milliseconds of processor time.
    pub cpu_ms: u64,
    /// Milliseconds of these used by the control thread.
    pub control_ms: u64,
    /// Resident memory in KB.
    pub rss_kb: u64,
    /// Highest resident memory up to that moment in KB.
    pub peak_kb: u64,
}

impl Usage {
    /// Current usage of a process; zero if it has ended.
    pub fn of(pid: u32) -> Self {
        let proc = PathBuf::from(format!("/proc/{pid}"));
        let status = std::fs::read_to_string(proc.join("status")).unwrap_or_default();
        Self {
            cpu_ms: ticks(&proc) * 1_000 / TICKS_PER_SECOND,
            control_ms: control_ticks(&proc) * 1_000 / TICKS_PER_SECOND,
            rss_kb: status_kb(&status, "VmRSS:"),
            peak_kb: status_kb(&status, "VmHWM:"),
        }
    }

    /// Processor time used since an earlier moment, with the current memory.
    pub fn since(self, before: Self) -> Self {
        Self {
            cpu_ms: self.cpu_ms.saturating_sub(before.cpu_ms),
            control_ms: self.control_ms.saturating_sub(before.control_ms),
            ..self
        }
    }
}

fn control_ticks(proc: &Path) -> u64 {
    let Ok(tasks) = std::fs::read_dir(proc.join("task")) else {
        return 0;
    };
    tasks
        .flatten()
        .map(|t| t.path())
        .filter(|t| {
            let name = std::fs::read_to_string(t.join("comm")).unwrap_or_default();
            name.trim_end().contains(CONTROL_THREAD)
        })
        .map(|t| ticks(&t))
        .sum()
}

/// User and system time in ticks. Fields are counted after the process name, which may contain
/// blanks.
fn ticks(dir: &Path) -> u64 {
    let stat = std::fs::read_to_string(dir.join("stat")).unwrap_or_default();
    let rest = stat.rsplit_once(") ").map_or("", |(_, r)| r);
    let times = rest.split(' ').skip(11).take(2);
    times.filter_map(|t| t.parse::<u64>().ok()).sum()
}

fn status_kb(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|l| l.strip_prefix(name));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}
