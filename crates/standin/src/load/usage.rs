//! What a process of ours uses, from `/proc`.

use std::path::{Path, PathBuf};

use serde::Serialize;

/// Clock ticks a second in `/proc`; Linux has fixed it for programs at this number.
const TICKS: u64 = 100;
/// Threads of this name are control.
const CONTROL: &str = "control";

/// What a process has used up to a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Milliseconds of processor time.
    pub cpu_ms: u64,
    /// Of these, milliseconds of its control thread.
    pub control_ms: u64,
    /// Resident memory in KB.
    pub rss_kb: u64,
    /// Most resident memory so far in KB.
    pub peak_kb: u64,
}

impl Usage {
    /// What a process has used so far; nothing if it is gone.
    pub fn of(pid: u32) -> Self {
        let proc = PathBuf::from(format!("/proc/{pid}"));
        let status = std::fs::read_to_string(proc.join("status")).unwrap_or_default();
        Self {
            cpu_ms: ticks(&proc) * 1_000 / TICKS,
            control_ms: control(&proc) * 1_000 / TICKS,
            rss_kb: field(&status, "VmRSS:"),
            peak_kb: field(&status, "VmHWM:"),
        }
    }

    /// What was used since an earlier moment; memory as it is now.
    pub fn since(self, before: Self) -> Self {
        Self {
            cpu_ms: self.cpu_ms.saturating_sub(before.cpu_ms),
            control_ms: self.control_ms.saturating_sub(before.control_ms),
            ..self
        }
    }
}

fn control(proc: &Path) -> u64 {
    let Ok(tasks) = std::fs::read_dir(proc.join("task")) else {
        return 0;
    };
    tasks
        .flatten()
        .map(|t| t.path())
        .filter(|t| {
            let name = std::fs::read_to_string(t.join("comm")).unwrap_or_default();
            name.trim_end().contains(CONTROL)
        })
        .map(|t| ticks(&t))
        .sum()
}

/// User and system time; the fields after the name, which may itself hold blanks.
fn ticks(dir: &Path) -> u64 {
    let stat = std::fs::read_to_string(dir.join("stat")).unwrap_or_default();
    let rest = stat.rsplit_once(") ").map_or("", |(_, r)| r);
    let times = rest.split(' ').skip(11).take(2);
    times.filter_map(|t| t.parse::<u64>().ok()).sum()
}

fn field(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|l| l.strip_prefix(name));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}
