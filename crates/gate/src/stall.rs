//! Drives [`policy::stall`]: waits for an answer and asks for decisions while it hasn't started.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use model::Micros;
use policy::retry_budget::{Budget, RetryReason};
use tokio::time::timeout;

/// Interval at which a request that waits for a retry counts as one more need of loans. Each need sends
/// up to 16 datagrams three times.
const NEED_INTERVAL: Micros = Micros::from_secs(1);

/// Need of a request for a retry.
#[derive(Debug, Default)]
pub(crate) struct Need {
    spent_at: Option<Micros>,
}

impl Need {
    /// Whether an attempt to spend a retry may succeed, or is due so that loans are asked for.
    pub(crate) fn may_spend(&self, now: Micros, budget: &Budget, reason: RetryReason) -> bool {
        let is_due = || {
            self.spent_at
                .is_none_or(|at| now.since(at) >= NEED_INTERVAL)
        };
        budget.allows(reason) || reason != RetryReason::Late && is_due()
    }

    /// Spends a retry and returns true, if one is left for this reason.
    pub(crate) fn spend(&mut self, now: Micros, budget: &mut Budget, reason: RetryReason) -> bool {
        if !self.may_spend(now, budget, reason) {
            return false;
        }
        if !budget.allows(reason) {
            self.spent_at = Some(now);
        }
        budget.spend(now, reason)
    }
}

/// Runs `work` until it ends or `decide` gives it up. `decide` returns the time until it is asked again,
/// or `None` to give up; it is first asked after `first`.
pub(crate) async fn watch<T>(
    work: impl Future<Output = T>,
    first: Duration,
    mut decide: impl FnMut() -> Option<Duration>,
) -> Option<T> {
    let mut work = pin!(work);
    let mut wait = first;
    loop {
        if let Ok(output) = timeout(wait, &mut work).await {
            return Some(output);
        }
        wait = decide()?;
    }
}
