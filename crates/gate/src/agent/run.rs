//! The loop of an agent: reading the engine's cache events and report, ordering weight loads, and
//! sending updates to entries and other agents.

use std::net::SocketAddr;
use std::time::Duration;

use platform::call::MAX_ENGINE_ANSWER;
use platform::replica;
use platform::Conn;
use tokio::time::{sleep, Instant};

use super::report::{
    current_update, for_peers, send_all_parts, subscribers, take_part_changes, without_times,
};
use super::{weights, Env, Kind, SharedAgent, ENGINE_TIMEOUT};
use crate::cache::Follower;
use crate::log::Dependency;
use crate::meter;
use crate::speed::AgentSpeed;
use crate::update::{self, Update};

/// Pause between two rounds of the agent's loop; a request's first token takes about as long.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of updates to the entries while the engine's load is unchanged; a change is reported at
/// once.
const REPORT_INTERVAL: Duration = Duration::from_millis(450);
/// Interval at which all parts in the engine's cache are reported.
const FULL_REPORT_INTERVAL: Duration = Duration::from_secs(3);
/// Interval of updates to the other agents while weights change; an update is valid for three
/// intervals.
const PEER_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of a delegate's updates to the other agents at other times, so that sidecars can query
/// it for a slot.
const IDLE_PEER_INTERVAL: Duration = Duration::from_secs(2);

/// Follows the parts that the engine's cache stores and evicts.
pub(crate) async fn follow_cache(agent: SharedAgent, addr: SocketAddr) {
    let mut follower = Follower::new(Conn::new(addr, MAX_ENGINE_ANSWER));
    loop {
        let Ok(changes) = follower.changes().await else {
            agent.borrow_mut().events_failed = true;
            sleep(ENGINE_TIMEOUT).await;
            continue;
        };
        let mut a = agent.borrow_mut();
        a.events_failed = false;
        let epoch = a.cache.epoch;
        let changes = changes.apply_to(&mut a.cache);
        if a.cache.epoch != epoch {
            // A new incarnation of the engine starts with an empty cache and no prompts.
            a.part_changes.clear();
            a.backlog.clear();
            a.speed = AgentSpeed::default();
        }
        a.part_changes.extend(changes);
    }
}

/// Reads the engine's report, orders its loads and reports to the entries and the other agents.
pub(crate) async fn run(env: Env<'_>, mut conn: Conn) {
    let Env {
        node,
        agent,
        socket,
    } = env;
    let mut reported = Update::default();
    let mut last_sent = Instant::now() - REPORT_INTERVAL;
    let mut last_full = Instant::now();
    let mut peer_reports = PeerReports::default();
    let mut dependency = Dependency::new("engine");
    loop {
        let needs_report = agent.borrow().needs_report(node.now());
        if needs_report {
            let report = replica::fetch_report(&mut conn, ENGINE_TIMEOUT).await;
            meter::increment(meter::ENGINE_REPORTS, "agent", agent.borrow().kind.as_str());
            dependency.record(&report);
            agent.borrow_mut().record_report(node.now(), report);
        }
        weights::schedule(node, agent);
        if let Some(order) = weights::claim_slot(env) {
            let update = current_update(node, agent);
            peer_reports.report(env, &update);
            update::send(socket, &update, subscribers(node, agent));
            weights::send_order(node, agent, &mut conn, &order).await;
        }
        let update = current_update(node, agent);
        peer_reports.report(env, &update);
        if last_full.elapsed() >= FULL_REPORT_INTERVAL {
            last_full = Instant::now();
            send_all_parts(agent, socket, &update, subscribers(node, agent));
        }
        let part_changes = take_part_changes(node, agent);
        let without_times = without_times(&update);
        if without_times != reported
            || !part_changes.is_empty()
            || last_sent.elapsed() >= REPORT_INTERVAL
        {
            reported = without_times;
            last_sent = Instant::now();
            update::send_parts(socket, update, &part_changes, subscribers(node, agent));
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// The last report to the other agents.
#[derive(Default)]
struct PeerReports {
    reported: Update,
    last_sent: Option<Instant>,
}

impl PeerReports {
    /// Reports to the other agents after a change, and at an interval while weights change.
    fn report(&mut self, env: Env<'_>, update: &Update) {
        let Env {
            node,
            agent,
            socket,
        } = env;
        let update = for_peers(node, agent, update);
        let without_times = without_times(&update);
        let since = self.last_sent.map(|at| at.elapsed());
        let (due, can_answer) = {
            let a = agent.borrow();
            let interval = match a.rollout.slots.under_way(node.now()) {
                true => Some(PEER_INTERVAL),
                false => (a.kind == Kind::Delegate).then_some(IDLE_PEER_INTERVAL),
            };
            let due = interval.is_some_and(|i| since.is_none_or(|s| s >= i));
            (due, a.rollout.slots.can_answer(node.now()))
        };
        if !can_answer || (without_times == self.reported && !due) {
            return;
        }
        self.reported = without_times;
        self.last_sent = Some(Instant::now());
        update::send(socket, &update, weights::peer_processes(node, agent));
    }
}
