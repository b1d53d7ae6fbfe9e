//! Outcomes of the requests and figures of the engines.

use hdrhistogram::Histogram;
use model::{Class, Micros};
use serde::Serialize;

/// Longest time that the histograms distinguish, in milliseconds: an hour.
const MAX_TIME_MS: u64 = 3_600_000;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum End {
    /// The first token arrived.
    Served { ttft: Micros, in_time: bool },
    /// No replica admitted it.
    Refused,
    /// It was refused from the queue before its deadline, as its slot would have come too late.
    Returned { after: Micros },
    /// It was queued until its deadline could no longer be met.
    Expired { after: Micros },
    /// It was lost with its replica and could not be retried.
    Lost,
}

/// Work of an engine for a request: blocks of the prompt, blocks found in the cache, blocks
/// recomputed although another engine had them cached, and times.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Record {
    pub(crate) blocks: u32,
    pub(crate) cached: u32,
    pub(crate) wasted: u32,
    pub(crate) prefill: Micros,
    pub(crate) decode: Micros,
}

/// Figures of one class.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Figures {
    pub(crate) offered: u32,
    /// Requests whose first token came before the deadline.
    pub(crate) good: u32,
    pub(crate) late: u32,
    pub(crate) refused: u32,
    pub(crate) returned: u32,
    pub(crate) expired: u32,
    pub(crate) lost: u32,
    pub(crate) p50_ms: u64,
    pub(crate) p99_ms: u64,
    /// Time from arrival until an error was sent to requests that had queued and were not served.
    pub(crate) told_p50_ms: u64,
    pub(crate) told_p99_ms: u64,
}

/// Figures of a replay without its warm-up.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    #[serde(skip)]
    ends: Vec<Option<End>>,
    #[serde(skip)]
    records: Vec<Option<Record>>,
    /// Share of the prompts' blocks that was cached.
    pub(crate) hit: f64,
    /// Share of the prompts' blocks that was recomputed although a live replica had them cached.
    pub(crate) wasted: f64,
    /// Requests per second whose first token came before the deadline.
    pub(crate) goodput: f64,
    /// Share of the engines' time in use: the larger of prefill and decode.
    pub(crate) busy: f64,
    /// Share of the calls whose first token came within 2 s.
    pub(crate) quick_calls: f64,
    /// Requests without an outcome; must be zero.
    pub(crate) unended: usize,
    pub(crate) classes: [Figures; 3],
}

impl Report {
    pub(crate) fn new(count: usize) -> Self {
        Self {
            ends: vec![None; count],
            records: vec![None; count],
            hit: 0.0,
            wasted: 0.0,
            goodput: 0.0,
            busy: 0.0,
            quick_calls: 0.0,
            unended: 0,
            classes: [Figures::default(); 3],
        }
    }

    pub(crate) fn end(&mut self, request: usize, end: End) {
        self.ends[request] = Some(end);
    }

    pub(crate) fn is_ended(&self, request: usize) -> bool {
        self.ends[request].is_some()
    }

    pub(crate) fn record_run(&mut self, request: usize, record: Record) {
        self.records[request] = Some(record);
    }

    /// The share of the requests selected by `pick` whose first token came within `time`.
    pub(crate) fn within(&self, time: Micros, pick: impl Fn(usize) -> bool) -> f64 {
        let picked = self.ends.iter().enumerate().filter(|(i, _)| pick(*i));
        let (all, quick) = picked.fold((0u32, 0u32), |(all, quick), (_, end)| {
            let served = matches!(end, Some(End::Served { ttft, .. }) if *ttft <= time);
            (all + 1, quick + u32::from(served))
        });
        f64::from(quick) / f64::from(all.max(1))
    }

    /// Computes the figures of the engines from the requests from number `from` on.
    pub(crate) fn summarize_engines(&mut self, from: usize, span: Micros, replicas: usize) {
        let ran: Vec<&Record> = self.records[from..].iter().flatten().collect();
        let sum = |f: fn(&Record) -> u32| ran.iter().map(|r| f64::from(f(r))).sum::<f64>();
        let time = |f: fn(&Record) -> Micros| ran.iter().map(|r| f(r).as_secs_f64()).sum::<f64>();
        let blocks = sum(|r| r.blocks).max(1.0);
        self.hit = sum(|r| r.cached) / blocks;
        self.wasted = sum(|r| r.wasted) / blocks;
        let engines = replicas as f64 * span.as_secs_f64();
        self.busy = time(|r| r.prefill).max(time(|r| r.decode)) / engines;
    }

    /// Computes the figures of each class from the outcomes of the requests from number `from` on.
    pub(crate) fn summarize_outcomes(&mut self, classes: &[Class], from: usize, span: Micros) {
        let histogram = || {
            Histogram::<u64>::new_with_max(MAX_TIME_MS, 3)
                .expect("the bounds are constant and valid")
        };
        let mut times = [(); 3].map(|()| histogram());
        let mut unserved_times = [(); 3].map(|()| histogram());
        for (class, end) in classes.iter().zip(&self.ends).skip(from) {
            let figures = &mut self.classes[class.index()];
            figures.offered += 1;
            match end {
                Some(End::Served { ttft, in_time }) => {
                    times[class.index()].saturating_record(ttft.as_millis().max(1));
                    figures.good += u32::from(*in_time);
                    figures.late += u32::from(!*in_time);
                }
                Some(End::Refused) => figures.refused += 1,
                Some(End::Returned { after }) => {
                    unserved_times[class.index()].saturating_record(after.as_millis().max(1));
                    figures.returned += 1;
                }
                Some(End::Expired { after }) => {
                    unserved_times[class.index()].saturating_record(after.as_millis().max(1));
                    figures.expired += 1;
                }
                Some(End::Lost) | None => figures.lost += 1,
            }
        }
        for (figures, times) in self.classes.iter_mut().zip(&times) {
            figures.p50_ms = times.value_at_quantile(0.5);
            figures.p99_ms = times.value_at_quantile(0.99);
        }
        for (figures, unserved_times) in self.classes.iter_mut().zip(&unserved_times) {
            figures.told_p50_ms = unserved_times.value_at_quantile(0.5);
            figures.told_p99_ms = unserved_times.value_at_quantile(0.99);
        }
        let quick = Micros::from_secs(2);
        self.quick_calls = self.within(quick, |i| i >= from && classes[i] == Class::Call);
        self.unended = self.ends.iter().filter(|e| e.is_none()).count();
        let good: u32 = self.classes.iter().map(|f| f.good).sum();
        self.goodput = f64::from(good) / span.as_secs_f64();
    }
}
