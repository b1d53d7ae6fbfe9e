//! What callers received, and what it cost.

use hdrhistogram::Histogram;
use model::{Class, Micros};
use serde::Serialize;

/// Longest time that is told apart, in milliseconds.
const HOUR: u64 = 3_600_000;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum End {
    /// Its first token came.
    Served { ttft: Micros, in_time: bool },
    /// It was refused on arrival.
    Refused,
    /// It waited, and was given back before its deadline as its turn would have come too late.
    Returned { after: Micros },
    /// It waited until it could no longer be answered in time.
    Expired { after: Micros },
    /// It was lost with its replica and could not be sent again.
    Lost,
}

/// What an engine did for a request.
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
    /// Answered in time.
    pub(crate) good: u32,
    pub(crate) late: u32,
    pub(crate) refused: u32,
    pub(crate) returned: u32,
    pub(crate) expired: u32,
    pub(crate) lost: u32,
    pub(crate) p50_ms: u64,
    pub(crate) p99_ms: u64,
    /// Time from arrival until those that waited and were not served were told so.
    pub(crate) told_p50_ms: u64,
    pub(crate) told_p99_ms: u64,
}

/// Figures of one replay, over its measured part.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    #[serde(skip)]
    ends: Vec<Option<End>>,
    #[serde(skip)]
    records: Vec<Option<Record>>,
    /// Part of the prompts' blocks that was cached.
    pub(crate) hit: f64,
    /// Part of the prompts' blocks that was recomputed though a live replica held it.
    pub(crate) wasted: f64,
    /// Answered in time, a second.
    pub(crate) goodput: f64,
    /// Part of the engines' time in use.
    pub(crate) busy: f64,
    /// Part of the calls whose first token came within 2 s.
    pub(crate) quick_calls: f64,
    /// Requests without any end, which must be none.
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

    pub(crate) fn ran(&mut self, request: usize, record: Record) {
        self.records[request] = Some(record);
    }

    /// The part of some requests whose first token came within a time.
    pub(crate) fn within(&self, time: Micros, pick: impl Fn(usize) -> bool) -> f64 {
        let picked = self.ends.iter().enumerate().filter(|(i, _)| pick(*i));
        let (all, quick) = picked.fold((0u32, 0u32), |(all, quick), (_, end)| {
            let served = matches!(end, Some(End::Served { ttft, .. }) if *ttft <= time);
            (all + 1, quick + u32::from(served))
        });
        f64::from(quick) / f64::from(all.max(1))
    }

    /// Sums up the requests from `from` on.
    pub(crate) fn close(&mut self, from: usize, span: Micros, replicas: usize) {
        let ran: Vec<&Record> = self.records[from..].iter().flatten().collect();
        let sum = |f: fn(&Record) -> u32| ran.iter().map(|r| f64::from(f(r))).sum::<f64>();
        let time = |f: fn(&Record) -> Micros| ran.iter().map(|r| f(r).as_secs_f64()).sum::<f64>();
        let blocks = sum(|r| r.blocks).max(1.0);
        self.hit = sum(|r| r.cached) / blocks;
        self.wasted = sum(|r| r.wasted) / blocks;
        let engines = replicas as f64 * span.as_secs_f64();
        self.busy = time(|r| r.prefill).max(time(|r| r.decode)) / engines;
    }

    /// Sums up what callers of each class received.
    pub(crate) fn judge(&mut self, classes: &[Class], from: usize, span: Micros) {
        let empty = || {
            Histogram::<u64>::new_with_max(HOUR, 3).expect("the bounds are constant and allowed")
        };
        let mut times = [(); 3].map(|()| empty());
        let mut told = [(); 3].map(|()| empty());
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
                    told[class.index()].saturating_record(after.as_millis().max(1));
                    figures.returned += 1;
                }
                Some(End::Expired { after }) => {
                    told[class.index()].saturating_record(after.as_millis().max(1));
                    figures.expired += 1;
                }
                Some(End::Lost) | None => figures.lost += 1,
            }
        }
        for (figures, times) in self.classes.iter_mut().zip(&times) {
            figures.p50_ms = times.value_at_quantile(0.5);
            figures.p99_ms = times.value_at_quantile(0.99);
        }
        for (figures, told) in self.classes.iter_mut().zip(&told) {
            figures.told_p50_ms = told.value_at_quantile(0.5);
            figures.told_p99_ms = told.value_at_quantile(0.99);
        }
        let two = Micros::from_secs(2);
        self.quick_calls = self.within(two, |i| i >= from && classes[i] == Class::Call);
        self.unended = self.ends.iter().filter(|e| e.is_none()).count();
        let good: u32 = self.classes.iter().map(|f| f.good).sum();
        self.goodput = f64::from(good) / span.as_secs_f64();
    }
}
