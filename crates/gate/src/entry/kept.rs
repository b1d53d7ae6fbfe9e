//! Following what the stores of kept KV cache hold.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use platform::replica;
use platform::Conn;
use tokio::time::sleep;

use super::Ctx;

/// How long a store may hold the question what it has stored.
const HOLD: Duration = Duration::from_millis(1_000);
/// How long its answer may take beyond that.
const PATIENCE: Duration = Duration::from_millis(300);
/// Pause before a question after one that failed, and while no store is configured.
const AGAIN: Duration = Duration::from_millis(500);

/// Follows the first store of the configuration for as long as the process lives.
pub(super) async fn follow(ctx: Ctx) {
    let mut at: Option<(SocketAddr, Conn)> = None;
    let (mut next, mut epoch) = (0, 0);
    loop {
        let addr = ctx
            .node
            .plan()
            .and_then(|p| p.kept().first().map(|k| k.addr));
        let Some(addr) = addr else {
            sleep(AGAIN).await;
            continue;
        };
        if at.as_ref().is_none_or(|(a, _)| *a != addr) {
            at = Some((addr, Conn::new(addr)));
            next = 0;
        }
        let Some((_, conn)) = &mut at else {
            continue;
        };
        let Ok(told) = replica::events(conn, next, HOLD, PATIENCE).await else {
            // Nothing is fetched from a store that doesn't answer.
            ctx.fleet.borrow_mut().kept.remove(&addr);
            next = 0;
            sleep(AGAIN).await;
            continue;
        };
        let mut fleet = ctx.fleet.borrow_mut();
        let held: &mut HashMap<_, _> = fleet.kept.entry(addr).or_default();
        if told.epoch != epoch {
            epoch = told.epoch;
            held.clear();
        }
        next = told.next;
        for s in told.stored {
            match s.tokens {
                0 => held.remove(&(s.scope, s.part)),
                n => held.insert((s.scope, s.part), n),
            };
        }
    }
}
