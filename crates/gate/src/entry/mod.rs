//! The process that takes callers' requests and goes to targets directly.

mod fleet;
mod idle;
mod kept;
mod list;
mod listen;
mod pick;
mod refuse;
mod relay;
mod request;
mod send;
mod serve;

use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use model::Micros;
use policy::shared;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout_at, Instant};

use crate::news;
use crate::world::Shared;

pub use fleet::Fleet;

/// How long a stopping process goes on taking what comes on open connections; the balancer needs
/// two misses, a second apart, to send nothing new.
const LAME: Duration = Duration::from_millis(2_600);
/// The end of the grace that is kept for ending the process.
const MARGIN: Duration = Duration::from_millis(300);

/// An entry's context.
pub type Ctx = Rc<Entry>;

/// An entry.
#[derive(Debug)]
pub struct Entry {
    /// The process.
    pub node: Shared,
    /// What it believes of the targets.
    pub fleet: RefCell<Fleet>,
    /// Its part of each pool's retries.
    budgets: RefCell<HashMap<String, shared::Budget>>,
    /// Its callers' connections.
    connections: RefCell<listen::Connections>,
}

impl Entry {
    /// Now, as decisions see it.
    fn now(&self) -> Micros {
        self.node.now()
    }

    /// Lets a decision use a pool's budget of retries.
    fn budget<T>(&self, pool: &str, use_it: impl FnOnce(&mut shared::Budget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        if !budgets.contains_key(pool) {
            let bounds = self.node.settings.borrow().bounds;
            let config = shared::Config {
                ratio: bounds.retry_ratio,
                slack: bounds.retry_slack,
                window: bounds.retry_window.into(),
            };
            budgets.insert(pool.to_owned(), shared::Budget::new(config));
        }
        match budgets.get_mut(pool) {
            Some(b) => use_it(b),
            None => unreachable!("inserted above"),
        }
    }
}

/// Runs an entry until it is told to stop and has served what it took.
pub async fn run(
    node: Shared,
    socket: UdpSocket,
    stop: impl Future<Output = Instant>,
) -> io::Result<()> {
    let ctx: Ctx = Rc::new(Entry {
        node,
        fleet: RefCell::default(),
        budgets: RefCell::default(),
        connections: RefCell::default(),
    });
    tokio::task::spawn_local(list::follow(Rc::clone(&ctx)));
    tokio::task::spawn_local(hear(Rc::clone(&ctx), socket));
    tokio::task::spawn_local(kept::follow(Rc::clone(&ctx)));
    listen::serve(&ctx).await?;
    let told = stop.await;
    leave(&ctx, told).await;
    Ok(())
}

/// Takes over what sidecars tell.
async fn hear(ctx: Ctx, socket: UdpSocket) {
    loop {
        let news = news::receive(&socket).await;
        let now = ctx.now();
        ctx.fleet.borrow_mut().hear(now, &news);
    }
}

/// Ends without cutting a request: no longer ready at once, open connections served a while longer,
/// then closed as they fall idle.
async fn leave(ctx: &Ctx, told: Instant) {
    ctx.node.stopping.set(true);
    let end = told + ctx.node.settings.borrow().bounds.grace - MARGIN;
    sleep(LAME).await;
    ctx.connections.borrow().close_idle();
    let emptied = async {
        while !ctx.connections.borrow().is_empty() {
            sleep(Duration::from_millis(50)).await;
            ctx.connections.borrow().close_idle();
        }
    };
    // What runs past the grace is cut by the platform a moment later in any case.
    let _ = timeout_at(end, emptied).await;
}
