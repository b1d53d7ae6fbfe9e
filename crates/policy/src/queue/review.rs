//! Which waiting requests will not have their turn in time.
//!
//! Load pattern: twice the load for minutes. The wait told on arrival turns out too short: the
//! engine slows down, prefixes are evicted while requests wait for them, and others that go first
//! come later. Without a second look such a request is kept until its deadline and then refused,
//! when its caller can do nothing more, and those behind it are told a wait that counts it.

use std::ops::Bound;

use model::Micros;

use super::{Job, JobKey, Kept, Queue};

/// Requests looked at in a call. At twice the load some 55 wait at an engine, which are thus seen
/// in four calls; with 4 in place of 16, 12 calls of the replay reached their deadline in place of 10.
const REVIEWED: usize = 16;
/// By how much a wait is taken to be longer than expected in a review. Under overload it is, up to
/// twice, by evicted prefixes and later arrivals. With 1, calls at twice the load are given back
/// after 8 s of their 10 in the median, with 1.25 after 5 s, and as many are served. With 1.5 it is
/// 3 s, but calls wait longer at 0.9 of the load.
const MARGIN: f64 = 1.25;
/// Least time between two calls that look. A look sums up what its team has waiting, and the driver
/// may call at each packet.
const PAUSE: Micros = Micros::from_millis(10);

impl<T> Queue<T> {
    /// Takes out requests that will not have their turn in time, before their deadline.
    ///
    /// `wait` tells how long work takes from now, and `work` what a request would take now; each
    /// is returned with its wait.
    ///
    /// Only a few are looked at in a call, the earliest deadline first, and the next ones in the
    /// next call, 10 ms later at the soonest, so that the cost grows neither with the number that
    /// waits nor with that of the events.
    pub fn review(
        &mut self,
        now: Micros,
        wait: impl Fn(Micros) -> Micros,
        work: impl Fn(&Job<T>) -> Micros,
    ) -> Vec<(Job<T>, Micros)> {
        let mut hopeless = Vec::new();
        if now < self.again {
            return hopeless;
        }
        self.again = now + PAUSE;
        for _ in 0..REVIEWED.min(self.latest.len()) {
            let Some((latest, key)) = self.following() else {
                break;
            };
            self.seen = Some((latest, key));
            let Some(before) = self.before(key) else {
                break;
            };
            let (wait, job) = (wait(before), &self.jobs[key.0].job);
            let likely = Micros((wait.0 as f64 * MARGIN) as u64);
            if now + likely + work(job) > job.deadline {
                hopeless.extend(self.remove(key).map(|job| (job, wait)));
            }
        }
        hopeless
    }

    /// The request after the last one looked at, by latest start; after the last the first.
    fn following(&self) -> Option<(Micros, JobKey)> {
        let after = self.seen.map_or(Bound::Unbounded, Bound::Excluded);
        let next = self.latest.range((after, Bound::Unbounded)).next();
        next.or_else(|| self.latest.first()).copied()
    }

    /// The engine time that a waiting request still waits for.
    fn before(&self, key: JobKey) -> Option<Micros> {
        let Kept { job, order } = self.jobs.get(key.0)?;
        let lane = self.bands[job.class.index()].lanes.get(&job.team)?;
        let first = lane.order.range(..(*order, key));
        let before: u64 = first.map(|(_, k)| self.jobs[k.0].job.work.0).sum();
        Some(self.slowed(job.class, job.team, job.weight, before, job.work))
    }
}
