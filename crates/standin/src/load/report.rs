//! The figures of a run, as a JSON object and as a table.

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

/// Longest time that histograms resolve, in microseconds.
const MAX_MICROS: u64 = 600_000_000;

/// The parameters of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Run {
    /// Trace file or kind of generated traffic.
    pub source: String,
    /// Seed of generated traffic.
    pub seed: u64,
    /// Policy by which entries chose replicas.
    pub policy: String,
    /// Seconds from the first arrival to the last.
    pub seconds: f64,
    /// Seconds from the first arrival to the last answer.
    pub elapsed: f64,
    /// Number of engines.
    pub engines: usize,
    /// Number of entries.
    pub entries: usize,
}

/// The distribution of some times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Times {
    /// Number of times.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Maximum.
    pub max: f64,
}

/// The latency that the route through the fleet adds to the first token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Hops {
    /// Times to first token through entry and sidecar.
    pub routed: Times,
    /// Times to first token directly from engines.
    pub direct: Times,
    /// Difference of the medians in milliseconds.
    pub added_p50: f64,
    /// Difference of the 99th percentiles in milliseconds.
    pub added_p99: f64,
}

/// A process and its resource usage in the run.
#[derive(Clone, Debug, Serialize)]
pub struct Process {
    /// Name of the process.
    pub name: String,
    /// Resources used.
    #[serde(flatten)]
    pub usage: Usage,
    /// Processor time over the duration of the run.
    pub cpu_share: f64,
    /// Increase per second of the byte counters in its metrics.
    pub bytes_per_s: BTreeMap<String, f64>,
}

/// All figures of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Parameters of the run.
    pub run: Run,
    /// Number of requests in the trace.
    pub offered: usize,
    /// Requests answered whole and in order.
    pub served: usize,
    /// Served requests whose first token arrived within the limit.
    pub in_time: usize,
    /// Requests served per second, until the last answer.
    pub goodput: f64,
    /// Requests served in time per second, until the last arrival.
    pub goodput_in_time: f64,
    /// Requests refused or failed, by error code.
    pub refused: BTreeMap<String, usize>,
    /// Requests refused or failed, by the effect that the answer states.
    pub outcomes: BTreeMap<String, usize>,
    /// Requests without an answer.
    pub lost: usize,
    /// Answers cut off with an error.
    pub cut: usize,
    /// Answers that ended without an error but were incomplete.
    pub truncated: usize,
    /// Requests that received the answer to another request.
    pub crossed: usize,
    /// Requests that ran to the end more than once, or started twice though they may run only once.
    pub doubled: usize,
    /// Doubled requests that may run only once.
    pub doubled_once: usize,
    /// Requests refused as not run although a target had started them.
    pub falsely_not_run: usize,
    /// Requests not sent because too many were in flight.
    pub unsent: usize,
    /// 99th percentile of the delay of the tool in sending requests, in milliseconds.
    pub late_p99: f64,
    /// Reuse of cached prompt tokens, if the engines' logs could be read.
    pub reuse: Option<Reuse>,
    /// Time to first token by class, in milliseconds.
    pub ttft: BTreeMap<String, Times>,
    /// Time between tokens by class, in milliseconds.
    pub gap: BTreeMap<String, Times>,
    /// Time of calls to the plain service, in milliseconds.
    pub plain: Times,
    /// Latency added by the fleet, if requests were sent directly to engines as well.
    pub hops: Option<Hops>,
    /// Processes of the router, if this tool started them.
    pub processes: Vec<Process>,
}

/// The results and logs from which a report is computed.
#[derive(Debug, Default)]
pub struct RunData<'a> {
    /// Result of each request.
    pub done: &'a [RequestResult],
    /// Whether each arrival is a completion.
    pub completes: &'a [bool],
    /// Whether each arrival may run more than once.
    pub idempotent: &'a [bool],
    /// Requests that ran on engines.
    pub runs: &'a [RunRecord],
    /// Calls that ran on plain services.
    pub calls: &'a [service::RecordedCall],
    /// Longest time to first token that counts as in time.
    pub limit: Duration,
}

impl Report {
    /// Computes the report of a run.
    pub fn new(run: Run, data: &RunData<'_>) -> Self {
        let mut r = Self {
            offered: data.done.len(),
            late_p99: Times::of(data.done.iter().map(|d| d.late)).p99,
            run,
            ..Self::default()
        };
        data.done.iter().for_each(|d| r.count(d, data.limit));
        r.goodput = r.served as f64 / r.run.elapsed.max(1e-3);
        r.goodput_in_time = r.in_time as f64 / r.run.seconds.max(1e-3);
        r.add_times(data);
        r.count_repeats(data);
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

    fn add_times(&mut self, data: &RunData<'_>) {
        let completions = || data.done.iter().filter(|d| data.completes[d.n]);
        let routed = || completions().filter(|d| !d.direct);
        for class in model::Class::ALL {
            let of_class = || routed().filter(|d| d.class == class);
            let first = Times::of(of_class().filter_map(|d| d.first));
            let gaps = Times::of(of_class().flat_map(|d| d.gaps.iter().copied()));
            self.ttft.insert(class.to_string(), first);
            self.gap.insert(class.to_string(), gaps);
        }
        let plain = data.done.iter().filter(|d| !data.completes[d.n]);
        self.plain = Times::of(plain.filter_map(|d| d.first));
        if data.done.iter().any(|d| d.direct) {
            // Measured from the actual sending, to exclude the delay of the tool itself.
            let sent = |d: &RequestResult| d.first.map(|t| t.saturating_sub(d.late));
            let direct = Times::of(completions().filter(|d| d.direct).filter_map(sent));
            let routed = Times::of(routed().filter_map(sent));
            self.hops = Some(Hops {
                routed,
                direct,
                added_p50: routed.p50 - direct.p50,
                added_p99: routed.p99 - direct.p99,
            });
        }
    }

    /// Counts requests that ran twice, and requests that ran although refused as not run.
    fn count_repeats(&mut self, data: &RunData<'_>) {
        let mut whole = BTreeMap::<&str, usize>::new();
        let mut started = BTreeMap::<&str, usize>::new();
        for r in data.runs {
            *whole.entry(&r.request).or_default() += usize::from(r.whole);
            *started.entry(&r.request).or_default() += usize::from(r.arrived > 0);
        }
        for c in data.calls {
            *whole.entry(&c.request).or_default() += 1;
            *started.entry(&c.request).or_default() += 1;
        }
        let of =
            |map: &BTreeMap<&str, usize>, d: &RequestResult| map.get(&*d.id).copied().unwrap_or(0);
        for d in data.done {
            let once = !data.idempotent[d.n];
            // A request that may run only once must not even start twice.
            let doubled = of(&whole, d) > 1 || once && of(&started, d) > 1;
            self.doubled += usize::from(doubled);
            self.doubled_once += usize::from(doubled && once);
            let refused_as_not_run =
                matches!(&d.ending, Ending::Refused { outcome, .. } if outcome == "not-run");
            self.falsely_not_run += usize::from(refused_as_not_run && of(&started, d) > 0);
        }
    }
}

impl Times {
    /// The distribution of some times.
    pub fn of(times: impl Iterator<Item = Duration>) -> Self {
        // Cannot fail: the bounds are constants in the range that the library accepts.
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
        self.write_times(f)?;
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
    fn write_times(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
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
