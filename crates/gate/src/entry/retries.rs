//! This entry's part of the retry budgets: drives [`policy::retry_budget`] with requests, retries and
//! loans from other entries.

use std::net::SocketAddr;

use policy::retry_budget::{Budget, Config};
use rand::seq::IteratorRandom;
use xxhash_rust::xxh3::xxh3_64;

use super::{Ctx, Entry};
use crate::update::{self, RetryLoan, Update};

/// Number of other entries that are asked for loans at a time.
const MAX_LENDERS: usize = 16;

impl Entry {
    /// Calls `f` with this entry's retry budget for a pool, and asks for loans if it runs short.
    pub(super) fn retry_budget<T>(&self, pool: &str, f: impl FnOnce(&mut Budget) -> T) -> T {
        let entries = self.node.cluster.borrow().entries().count() + 1;
        let mut budgets = self.retry_budgets.borrow_mut();
        if !budgets.contains_key(pool) {
            let bounds = self.node.settings.borrow().bounds;
            let config = Config {
                ratio: bounds.retry_ratio,
                slack: bounds.retry_slack,
                entries,
                window: bounds.retry_window.into(),
            };
            budgets.insert(pool.to_owned(), Budget::new(config));
        }
        let Some(budget) = budgets.get_mut(pool) else {
            unreachable!("inserted above");
        };
        budget.set_entries(entries);
        let result = f(budget);
        if let Some(wanted) = budget.ask(self.now()) {
            self.ask(pool, wanted);
        }
        result
    }

    /// Asks some other entries, drawn at random, for this number of retries each.
    fn ask(&self, pool: &str, wanted: u32) {
        let cluster = self.node.cluster.borrow();
        let lenders = cluster
            .entries()
            .choose_multiple(&mut rand::rng(), MAX_LENDERS);
        update::send(&self.socket, &encode(pool, wanted, 0), lenders);
    }
}

/// Receives another entry's request for a loan, or its loan.
pub(super) fn receive(ctx: &Ctx, from: SocketAddr, loan: &RetryLoan) {
    let pool = {
        let fleet = ctx.fleet.borrow();
        let mut pools = fleet.replicas.values().map(|r| &r.target.pool);
        pools.find(|p| xxh3_64(p.as_bytes()) == loan.pool).cloned()
    };
    let Some(pool) = pool else {
        return;
    };
    let now = ctx.now();
    if loan.lent > 0 {
        ctx.retry_budget(&pool, |b| b.borrow(now, loan.lent));
    }
    if loan.wanted > 0 {
        let lent = ctx.retry_budget(&pool, |b| b.lend(now, loan.wanted));
        if lent > 0 {
            update::send(&ctx.socket, &encode(&pool, 0, lent), [from]);
        }
    }
}

fn encode(pool: &str, wanted: u32, lent: u32) -> Update {
    Update {
        entry: true,
        retry_loan: Some(RetryLoan {
            pool: xxh3_64(pool.as_bytes()),
            wanted,
            lent,
        }),
        ..Update::default()
    }
}
