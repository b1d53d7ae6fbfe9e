//! One run's figures, as an object and as a table.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::engine::RunRecord;
use crate::load::drive::{Ending, RequestResult};
use crate::load::reuse::Reuse;
use crate::load::usage::Usage;
use crate::service;

/// Longest time that histograms tell apart.
const MAX_MICROS: u64 = 600_000_000;

/// How a run was made.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Run {
    /// Trace file or generated user.
    pub source: String,
    /// Seed of a generated one.
    pub seed: u64,
    /// How replicas were chosen.
    pub policy: String,
    /// Seconds from the first arrival to the last.
    pub seconds: f64,
    /// Seconds from the first arrival to the last answer.
    pub elapsed: f64,
    /// Engines.
    pub engines: usize,
    /// Entries.
    pub entries: usize,
}

/// Times in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Times {
    /// How many.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Longest.
    pub max: f64,
}

/// What the way through the fleet adds to a first token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Hops {
    /// First tokens through entry and sidecar.
    pub routed: Times,
    /// First tokens from engines directly.
    pub direct: Times,
    /// Difference of the medians in milliseconds.
    pub added_p50: f64,
    /// Difference of the 99th percentiles in milliseconds.
    pub added_p99: f64,
}

/// A process and what it used in the run.
#[derive(Clone, Debug, Serialize)]
pub struct Process {
    /// Its name.
    pub name: String,
    /// What it used.
    #[serde(flatten)]
    pub usage: Usage,
    /// Processor time over the run's time.
    pub cpu_share: f64,
    /// Its own counters of bytes, a second.
    pub bytes_per_s: BTreeMap<String, f64>,
}

/// All figures of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// How it was made.
    pub run: Run,
    /// Requests of the trace.
    pub offered: usize,
    /// Answered whole and in order.
    pub served: usize,
    /// Of these, with a first token within the limit.
    pub in_time: usize,
    /// Served a second, until the last answer.
    pub goodput: f64,
    /// Served in time a second, until the last arrival.
    pub goodput_in_time: f64,
    /// Refused or failed, by code.
    pub refused: BTreeMap<String, usize>,
    /// Refused or failed, by what the answers said of their effect.
    pub outcomes: BTreeMap<String, usize>,
    /// Without an answer.
    pub lost: usize,
    /// Broken off openly.
    pub cut: usize,
    /// Ended as if whole, but weren't.
    pub truncated: usize,
    /// Answered with what belongs to another.
    pub crossed: usize,
    /// Run to the end more than once.
    pub doubled: usize,
    /// Of these, that might run only once.
    pub doubled_once: usize,
    /// Refused as not run, though a target began it.
    pub falsely_not_run: usize,
    /// Not sent, since too many were on their way.
    pub unsent: usize,
    /// 99th percentile of the milliseconds by which the tool itself was late.
    pub late_p99: f64,
    /// Reuse of prompts, if the engines' logs could be read.
    pub reuse: Option<Reuse>,
    /// Time to first token by class, in milliseconds.
    pub ttft: BTreeMap<String, Times>,
    /// Time between tokens by class, in milliseconds.
    pub gap: BTreeMap<String, Times>,
    /// Time of plain calls, in milliseconds.
    pub plain: Times,
    /// What the way through the fleet adds, if it was measured.
    pub hops: Option<Hops>,
    /// Our processes, if this tool started them.
    pub processes: Vec<Process>,
}

/// What a run gave, before it is judged.
#[derive(Debug, Default)]
pub struct RunData<'a> {
    /// What became of each request.
    pub done: &'a [RequestResult],
    /// Whether each arrival is a completion.
    pub completes: &'a [bool],
    /// Whether each arrival may run more than once.
    pub idempotent: &'a [bool],
    /// What the engines ran.
    pub runs: &'a [RunRecord],
    /// What the services ran.
    pub calls: &'a [service::RecordedCall],
    /// Longest time to a first token that counts as in time.
    pub limit: Duration,
}

impl Report {
    /// Judges a run.
    pub fn new(run: Run, e: &RunData<'_>) -> Self {
        let mut r = Self {
            offered: e.done.len(),
            late_p99: Times::of(e.done.iter().map(|d| d.late)).p99,
            run,
            ..Self::default()
        };
        e.done.iter().for_each(|d| r.count(d, e.limit));
        r.goodput = r.served as f64 / r.run.elapsed.max(1e-3);
        r.goodput_in_time = r.in_time as f64 / r.run.seconds.max(1e-3);
        r.times(e);
        r.repeats(e);
        r
    }

    fn count(&mut self, d: &RequestResult, limit: Duration) {
        match &d.ending {
            Ending::Whole => {
                self.served += 1;
                self.in_time += usize::from(d.first.is_none_or(|t| t <= limit));
            }
            Ending::Refused { code, outcome } => {
                *self.refused.entry(code.clone()).or_default() += 1;
                *self.outcomes.entry(outcome.clone()).or_default() += 1;
            }
            Ending::Lost => self.lost += 1,
            Ending::Cut => self.cut += 1,
            Ending::Truncated => self.truncated += 1,
            Ending::Crossed => self.crossed += 1,
            Ending::Unsent => self.unsent += 1,
        }
    }

    fn times(&mut self, e: &RunData<'_>) {
        let words = || e.done.iter().filter(|d| e.completes[d.n]);
        let routed = || words().filter(|d| !d.direct);
        for class in model::Class::ALL {
            let these = || routed().filter(|d| d.class == class);
            let first = Times::of(these().filter_map(|d| d.first));
            let gaps = Times::of(these().flat_map(|d| d.gaps.iter().copied()));
            self.ttft.insert(class.to_string(), first);
            self.gap.insert(class.to_string(), gaps);
        }
        let plain = e.done.iter().filter(|d| !e.completes[d.n]);
        self.plain = Times::of(plain.filter_map(|d| d.first));
        if e.done.iter().any(|d| d.direct) {
            // From the sending on: the tool's own lateness is no part of the way.
            let sent = |d: &RequestResult| d.first.map(|t| t.saturating_sub(d.late));
            let direct = Times::of(words().filter(|d| d.direct).filter_map(sent));
            let routed = Times::of(routed().filter_map(sent));
            self.hops = Some(Hops {
                routed,
                direct,
                added_p50: routed.p50 - direct.p50,
                added_p99: routed.p99 - direct.p99,
            });
        }
    }

    /// Counts what ran twice, and what ran although its caller was told otherwise.
    fn repeats(&mut self, e: &RunData<'_>) {
        let mut whole = BTreeMap::<&str, usize>::new();
        let mut begun = BTreeMap::<&str, usize>::new();
        for r in e.runs {
            *whole.entry(&r.request).or_default() += usize::from(r.whole);
            *begun.entry(&r.request).or_default() += usize::from(r.arrived > 0);
        }
        for c in e.calls {
            *whole.entry(&c.request).or_default() += 1;
            *begun.entry(&c.request).or_default() += 1;
        }
        let of =
            |map: &BTreeMap<&str, usize>, d: &RequestResult| map.get(&*d.id).copied().unwrap_or(0);
        for d in e.done {
            let once = !e.idempotent[d.n];
            // What may run only once mustn't even begin twice.
            let doubled = of(&whole, d) > 1 || once && of(&begun, d) > 1;
            self.doubled += usize::from(doubled);
            self.doubled_once += usize::from(doubled && once);
            let claimed =
                matches!(&d.ending, Ending::Refused { outcome, .. } if outcome == "not-run");
            self.falsely_not_run += usize::from(claimed && of(&begun, d) > 0);
        }
    }
}

impl Times {
    /// The distribution of some times.
    pub fn of(times: impl Iterator<Item = Duration>) -> Self {
        // The bounds are constants within what the library allows.
        let Ok(mut h) = Histogram::<u64>::new_with_bounds(1, MAX_MICROS, 3) else {
            return Self::default();
        };
        times.for_each(|t| h.saturating_record(t.as_micros() as u64));
        let at = |q: f64| h.value_at_quantile(q) as f64 / 1_000.0;
        match h.len() {
            0 => Self::default(),
            count => Self {
                count,
                p50: at(0.5),
                p95: at(0.95),
                p99: at(0.99),
                p999: at(0.999),
                max: h.max() as f64 / 1_000.0,
            },
        }
    }
}

impl fmt::Display for Times {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:>7} {:>9.2} {:>9.2} {:>9.2} {:>9.2} {:>9.2}",
            self.count, self.p50, self.p95, self.p99, self.p999, self.max
        )
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let r = &self.run;
        writeln!(
            f,
            "{} seed {} policy {}: {:.1} s, {} engines, {} entries",
            r.source, r.seed, r.policy, r.seconds, r.engines, r.entries
        )?;
        writeln!(
            f,
            "offered {} served {} in time {} goodput {:.1}/s in time {:.1}/s",
            self.offered, self.served, self.in_time, self.goodput, self.goodput_in_time
        )?;
        writeln!(
            f,
            "lost {} cut {} truncated {} crossed {} doubled {} ({} of those once only) falsely not run {} unsent {}",
            self.lost, self.cut, self.truncated, self.crossed, self.doubled, self.doubled_once,
            self.falsely_not_run, self.unsent
        )?;
        writeln!(f, "refused {:?} outcomes {:?}", self.refused, self.outcomes)?;
        if let Some(u) = &self.reuse {
            writeln!(
                f,
                "reuse: hit rate {:.3} oracle {:.3} seen {:.3} wasted {:.4} of {} prompt tokens",
                u.hit_rate, u.oracle_rate, u.seen_rate, u.waste_rate, u.prompt_tokens
            )?;
        }
        self.table(f)?;
        for p in &self.processes {
            writeln!(
                f,
                "{:<16} cpu {:>5.1}% control {:>5} ms rss {:>7} KB",
                p.name,
                p.cpu_share * 100.0,
                p.usage.control_ms,
                p.usage.rss_kb
            )?;
        }
        write!(f, "tool late p99 {:.2} ms", self.late_p99)
    }
}

impl Report {
    fn table(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<13} {:>7} {:>9} {:>9} {:>9} {:>9} {:>9}",
            "ms", "count", "p50", "p95", "p99", "p99.9", "max"
        )?;
        for (class, t) in &self.ttft {
            writeln!(f, "{:<13} {t}", format!("ttft {class}"))?;
        }
        for (class, t) in &self.gap {
            writeln!(f, "{:<13} {t}", format!("gap {class}"))?;
        }
        writeln!(f, "{:<13} {}", "plain", self.plain)?;
        if let Some(h) = &self.hops {
            writeln!(f, "{:<13} {}", "ttft routed", h.routed)?;
            writeln!(f, "{:<13} {}", "ttft direct", h.direct)?;
            writeln!(f, "hops add p50 {:.2} p99 {:.2}", h.added_p50, h.added_p99)?;
        }
        Ok(())
    }
}
