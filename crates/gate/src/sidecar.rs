//! The process on an engine's host, which runs the engine's agent.

use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use platform::call::MAX_ENGINE_ANSWER;
use platform::Conn;
use site::Boot;
use tokio::net::UdpSocket;
use tokio::time::{sleep, Instant};

use crate::agent::{self, Agent, AgentId, Env, SharedAgent};
use crate::node::SharedNode;
use crate::stream_origins::StreamOrigins;
use crate::{kv_stores, peer, table_checks, update};

/// Interval of queries to entries while the engine's incarnation is unknown.
const IDENTITY_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of queries to entries while it is unknown whether an entry has acted for the engine.
/// Entries that have just started can't answer that yet.
const ACTING_INTERVAL: Duration = Duration::from_millis(300);
/// Interval of checks whether both are still known.
const RECHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Runs a sidecar until `stop` completes.
pub async fn run(
    node: SharedNode,
    socket: Rc<UdpSocket>,
    stop: impl Future<Output = Instant>,
) -> io::Result<()> {
    let (addr, lease, bootstrap) = {
        let s = node.settings.borrow();
        (s.engine, s.bounds.lease, s.bootstrap)
    };
    let Some(addr) = addr else {
        return Err(io::Error::other(
            "the settings of this sidecar name no engine",
        ));
    };
    let mut agent = Agent::sidecar(addr, lease.into());
    if bootstrap {
        agent.record_first_start();
    }
    let agent = Rc::new(RefCell::new(agent));
    let stores = kv_stores::FollowedStores::default();
    tokio::task::spawn_local(kv_stores::follow(
        Rc::clone(&node),
        Rc::clone(&socket),
        stores.clone(),
    ));
    let env = Env {
        node: &node,
        agent: &agent,
        socket: &socket,
    };
    let origins = StreamOrigins::new(&node, &socket, |_| None);
    let stop = async {
        stop.await;
        origins.leave();
        origins.confirmed().await;
    };
    tokio::select! {
        () = identify(&node, &agent, addr) => {}
        () = agent::follow_cache(Rc::clone(&agent), addr) => {}
        () = agent::run(env, Conn::new(addr, MAX_ENGINE_ANSWER)) => {}
        () = Rc::clone(&origins).follow() => {}
        () = receive(env, stores, &origins) => {}
        () = stop => {}
    }
    Ok(())
}

/// Receives updates: incarnations, subscriptions, prompts and origins of streams from entries, and
/// slot queries, answers and states from other agents.
async fn receive(env: Env<'_>, stores: kv_stores::FollowedStores, origins: &StreamOrigins) {
    let Env {
        node,
        agent,
        socket,
    } = env;
    loop {
        let (update, from) = update::receive(socket).await;
        if let Some(positions) = &update.tables {
            table_checks::receive(node, socket, from, positions);
            continue;
        }
        if let Some(incarnation) = update.life.as_ref().filter(|i| !i.id.is_empty()) {
            agent.borrow_mut().identify(Boot {
                id: incarnation.id.clone(),
                born: incarnation.born,
            });
        }
        if update.asks {
            if agent.borrow_mut().subscribers.subscribe(node.now(), from) {
                let update = agent::current_update(node, agent);
                agent::send_all_parts(agent, socket, &update, [from]);
                stores.send_to(socket, [from]);
            }
            continue;
        }
        if let Some(origin) = &update.origin {
            origins.receive(from, origin);
            continue;
        }
        if let Some(batch) = &update.origin_batch {
            origins.receive_batch(from, batch);
            continue;
        }
        if update.entry {
            if let Some(note) = update.note {
                agent.borrow_mut().record_prompt(node.now(), note);
            }
            continue;
        }
        let id = AgentId {
            addr: from,
            delegate: update.delegate,
        };
        agent.borrow_mut().receive(node.now(), &update, id);
        if let Some(query) = update.slot_ask.filter(|a| a.delegate == 0) {
            agent::answer_slot_query(env, query, from);
        }
    }
}

/// Queries entries for the engine's incarnation and whether an entry has acted for the engine,
/// until both are known.
///
/// Entries also send the incarnation with their subscriptions. Without these queries, a sidecar
/// whose datagrams were lost had no incarnation for its orders for several seconds.
async fn identify(node: &SharedNode, agent: &SharedAgent, addr: SocketAddr) {
    loop {
        let (needs_identity, unknown_orders) = {
            let mut a = agent.borrow_mut();
            (a.needs_identity(), a.has_unknown_orders(node.now()))
        };
        if !needs_identity && !unknown_orders {
            sleep(RECHECK_INTERVAL).await;
            continue;
        }
        sleep(if needs_identity {
            IDENTITY_INTERVAL
        } else {
            ACTING_INTERVAL
        })
        .await;
        let info = peer::fetch_engine_info(node, addr).await;
        let mut a = agent.borrow_mut();
        if let Some(boot) = info.boot.filter(|_| needs_identity) {
            a.identify(boot);
        }
        if let Some(quiet) = info.quiet.filter(|_| unknown_orders) {
            a.record_quiet(node.now(), quiet);
        }
    }
}
