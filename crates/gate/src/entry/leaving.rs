//! Targets that have said in an answer that they leave: drives [`policy::leaving`] with answers, lists
//! and datagrams.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use platform::replica::AnswerHead;
use site::Boot;
use tokio::time::sleep;

use super::fleet::BootKey;
use super::Ctx;
use crate::log::{self, Event};
use crate::update::{self, Update};

/// Delays after which other entries are informed again, as datagrams are lost. An entry that isn't
/// informed learns it from the next answer.
const REPEAT_DELAYS: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(500)];

/// Whether a target has said that it leaves.
pub(super) fn is_leaving(ctx: &Ctx, boot: &Boot) -> bool {
    let leaving = ctx.leaving.borrow();
    !leaving.is_empty() && leaving.contains(BootKey::new(boot))
}

/// Reads the head of an answer that a target itself has given.
pub(super) fn observe(ctx: &Ctx, boot: &Boot, head: &AnswerHead) {
    if !head.leaving {
        return;
    }
    let key = BootKey::new(boot);
    if ctx.leaving.borrow_mut().record(ctx.now(), key) {
        log_leaving(&boot.id, "own");
        tokio::task::spawn_local(inform(Rc::clone(ctx), key));
    }
}

/// Informs the other entries.
async fn inform(ctx: Ctx, key: BootKey) {
    let update = Update {
        entry: true,
        leaving: vec![key.0],
        ..Update::default()
    };
    let send = || update::send(&ctx.socket, &update, ctx.node.cluster.borrow().entries());
    send();
    for delay in REPEAT_DELAYS {
        sleep(delay).await;
        send();
    }
}

/// Receives what targets have said to another entry.
pub(super) fn receive(ctx: &Ctx, targets: &[u64]) {
    let fleet = ctx.fleet.borrow();
    for key in targets.iter().copied().map(BootKey) {
        if ctx.leaving.borrow_mut().record(ctx.now(), key) {
            let mut boots = fleet.replicas.values().map(|r| &r.target.boot);
            let boot = boots.find(|b| BootKey::new(b) == key);
            log_leaving(boot.map_or("", |b| &b.id), "peer");
        }
    }
}

/// Forgets targets that haven't been listed for long.
pub(super) fn retain_listed(ctx: &Ctx) {
    if ctx.leaving.borrow().is_empty() {
        return;
    }
    let listed: HashSet<_> = {
        let fleet = ctx.fleet.borrow();
        let boots = fleet.replicas.values().map(|r| &r.target.boot);
        boots.map(BootKey::new).collect()
    };
    let mut leaving = ctx.leaving.borrow_mut();
    leaving.retain(ctx.now(), |key| listed.contains(&key));
}

fn log_leaving(target: &str, source: &str) {
    log::event(&Event::Leaving { target, source });
}
