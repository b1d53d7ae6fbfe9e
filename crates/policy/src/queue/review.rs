//! Early return of waiting requests that will not start in time.
//!
//! Load pattern: twice the load for minutes. The wait estimated on arrival turns out too short: the
//! engine slows down, prefixes are evicted while requests wait for them, and requests that go first
//! arrive later. Without a review, such a request is kept until its deadline and then refused, when
//! its caller can do nothing more, and it lengthens the estimated wait of those behind it.

use std::ops::Bound;

use model::Micros;

use super::{Job, JobKey, Queue, Waiting};

/// Requests examined in one call. At twice the load some 55 wait at an engine, so that four calls
/// examine all; with 4 instead of 16, 12 instead of 10 calls of the replay reached their deadline.
const REVIEW_BATCH: usize = 16;
/// Factor by which waits are assumed to exceed their estimate. Under overload they do, by up to 2,
/// because of evicted prefixes and later arrivals. At twice the load the median call is returned
/// after 8 s of its 10 s with a factor of 1 and after 5 s with 1.25, and as many are served. With
/// 1.5 it is returned after 3 s, but calls wait longer at 0.9 of the load.
const MARGIN: f64 = 1.25;
/// Least time between two reviews. A review sums up the waiting work of each request's team, and
/// the caller may call it for each packet.
const REVIEW_INTERVAL: Micros = Micros::from_millis(10);

impl<T> Queue<T> {
    /// Removes requests that will not start in time, before their deadline, and returns each with its
    /// estimated wait.
    ///
    /// `wait` converts an amount of engine time into the time that it will take from now; `work`
    /// returns the engine time that a request would take now.
    ///
    /// A call examines only a few requests, in the order of their latest start, and the next call, at
    /// least 10 ms later, continues after them. The cost therefore grows neither with the number of
    /// waiting requests nor with the number of events.
    pub fn review(
        &mut self,
        now: Micros,
        wait: impl Fn(Micros) -> Micros,
        work: impl Fn(&Job<T>) -> Micros,
    ) -> Vec<(Job<T>, Micros)> {
        let mut overdue = Vec::new();
        if now < self.next_review {
            return overdue;
        }
        self.next_review = now + REVIEW_INTERVAL;
        for _ in 0..REVIEW_BATCH.min(self.by_latest_start.len()) {
            let Some((latest, key)) = self.next_to_review() else {
                break;
            };
            self.last_reviewed = Some((latest, key));
            let Some(before) = self.work_before_job(key) else {
                break;
            };
            let (wait, job) = (wait(before), &self.jobs[key.0].job);
            let likely = Micros((wait.0 as f64 * MARGIN) as u64);
            if now + likely + work(job) > job.deadline {
                overdue.extend(self.remove(key).map(|job| (job, wait)));
            }
        }
        overdue
    }

    /// The next request to examine, by latest start; starts over after the last.
    fn next_to_review(&self) -> Option<(Micros, JobKey)> {
        let after = self.last_reviewed.map_or(Bound::Unbounded, Bound::Excluded);
        let next = self.by_latest_start.range((after, Bound::Unbounded)).next();
        next.or_else(|| self.by_latest_start.first()).copied()
    }

    /// Engine time of the work that goes before a waiting request.
    fn work_before_job(&self, key: JobKey) -> Option<Micros> {
        let Waiting { job, sort_key } = self.jobs.get(key.0)?;
        let team_queue = self.classes[job.class.index()].teams.get(&job.team)?;
        let first = team_queue.order.range(..(*sort_key, key));
        let before: u64 = first.map(|(_, k)| self.jobs[k.0].job.work.0).sum();
        Some(self.work_before(job.class, job.team, job.weight, before, job.work))
    }
}
