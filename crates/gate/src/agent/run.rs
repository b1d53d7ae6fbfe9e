//! Following an engine: its events, its report, its orders, and the updates about it.

use std::net::SocketAddr;
use std::time::Duration;

use platform::replica;
use platform::Conn;
use tokio::time::{sleep, Instant};

use super::report::{for_peers, fresh, send_whole, subscribers, summary, timeless};
use super::{weights, Env, Kind, SharedAgent, PATIENCE};
use crate::cache::Follower;
use crate::log::Dependency;
use crate::meter;
use crate::update::{self, Update};

/// Pause between two looks at the engine; a request's first token takes about as long.
const LOOK: Duration = Duration::from_millis(50);
/// Changed load is reported at once, unchanged load after this time.
const RENEW: Duration = Duration::from_millis(450);
/// Interval at which all that the engine holds is reported.
const WHOLE: Duration = Duration::from_secs(3);
/// Interval of updates to the other agents while weights change; each counts for three times that.
const PEERS: Duration = Duration::from_millis(500);
/// The same of a delegate at other times, so that sidecars know whom to ask for a slot.
const IDLE: Duration = Duration::from_secs(2);

/// Follows what the engine stores and drops.
pub(crate) async fn follow_cache(agent: SharedAgent, addr: SocketAddr) {
    let mut follower = Follower::new(Conn::new(addr));
    loop {
        let Ok(changes) = follower.changes().await else {
            agent.borrow_mut().doubtful = true;
            sleep(PATIENCE).await;
            continue;
        };
        let mut a = agent.borrow_mut();
        a.doubtful = false;
        let before = a.cache.epoch;
        let changes = changes.into(&mut a.cache);
        if a.cache.epoch != before {
            // Another incarnation of the engine, which holds nothing of before.
            a.fresh.clear();
            a.backlog.clear();
        }
        a.fresh.extend(changes);
    }
}

/// Looks at the engine, gives it its orders, reports to the entries.
pub(crate) async fn run(env: Env<'_>, mut conn: Conn) {
    let Env {
        node,
        agent,
        socket,
    } = env;
    let mut reported = Update::default();
    let mut renewed = Instant::now() - RENEW;
    let mut whole = Instant::now();
    let mut peers = Peers::default();
    let mut dependency = Dependency::new("engine");
    loop {
        let reads = agent.borrow().needs_report(node.now());
        if reads {
            let report = replica::fetch_report(&mut conn, PATIENCE).await;
            meter::increment(meter::ENGINE_REPORTS, "agent", agent.borrow().kind.as_str());
            dependency.record(&report);
            agent.borrow_mut().record_report(node.now(), report);
        }
        weights::schedule(node, agent);
        if let Some(order) = weights::claim_slot(env) {
            let update = summary(node, agent);
            peers.report(env, &update);
            update::send(socket, &update, subscribers(node, agent));
            weights::send_order(node, agent, &mut conn, &order).await;
        }
        let update = summary(node, agent);
        peers.report(env, &update);
        if whole.elapsed() >= WHOLE {
            whole = Instant::now();
            send_whole(agent, socket, &update, subscribers(node, agent));
        }
        let fresh = fresh(node, agent);
        let timeless = timeless(&update);
        if timeless != reported || !fresh.is_empty() || renewed.elapsed() >= RENEW {
            reported = timeless;
            renewed = Instant::now();
            update::send_parts(socket, update, &fresh, subscribers(node, agent));
        }
        sleep(LOOK).await;
    }
}

/// What was last reported to the other agents.
#[derive(Default)]
struct Peers {
    reported: Update,
    renewed: Option<Instant>,
}

impl Peers {
    /// Reports to the other agents what has changed, and all of it now and then while weights
    /// change.
    fn report(&mut self, env: Env<'_>, update: &Update) {
        let Env {
            node,
            agent,
            socket,
        } = env;
        let update = for_peers(update);
        let timeless = timeless(&update);
        let since = self.renewed.map(|at| at.elapsed());
        let (renew, answers) = {
            let a = agent.borrow();
            let interval = match a.rollout.slots.under_way(node.now()) {
                true => Some(PEERS),
                false => (a.kind == Kind::Delegate).then_some(IDLE),
            };
            let late = interval.is_some_and(|i| since.is_none_or(|s| s >= i));
            (late, a.rollout.slots.can_answer(node.now()))
        };
        if !answers || (timeless == self.reported && !renew) {
            return;
        }
        self.reported = timeless;
        self.renewed = Some(Instant::now());
        update::send(socket, &update, weights::peer_processes(node, agent));
    }
}
