//! The process beside an engine: its agent.

use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use platform::Conn;
use site::Boot;
use tokio::net::UdpSocket;
use tokio::time::{sleep, Instant};

use crate::agent::{self, Agent, AgentId, Env, SharedAgent};
use crate::node::SharedNode;
use crate::{kv_stores, peer, update};

/// Pause between two questions which incarnation the engine is.
const IDENTIFY: Duration = Duration::from_millis(100);
/// The same whether an entry has acted for it; entries that have just started can't say that yet.
const AGAIN: Duration = Duration::from_millis(300);
/// Pause between two looks whether that is still known.
const IDENTIFIED: Duration = Duration::from_millis(400);

/// Runs a sidecar until it is told to stop.
pub async fn run(
    node: SharedNode,
    socket: UdpSocket,
    stop: impl Future<Output = Instant>,
) -> io::Result<()> {
    let (addr, lease, bootstrap) = {
        let s = node.settings.borrow();
        (s.engine, s.bounds.lease, s.bootstrap)
    };
    let Some(addr) = addr else {
        return Err(io::Error::other(
            "the settings name no engine beside this sidecar",
        ));
    };
    let mut agent = Agent::sidecar(addr, lease.into());
    if bootstrap {
        agent.record_first_start();
    }
    let agent = Rc::new(RefCell::new(agent));
    let socket = Rc::new(socket);
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
    tokio::select! {
        () = identify(&node, &agent, addr) => {}
        () = agent::follow_cache(Rc::clone(&agent), addr) => {}
        () = agent::run(env, Conn::new(addr)) => {}
        () = receive(env, stores) => {}
        _ = stop => {}
    }
    Ok(())
}

/// Receives updates: incarnations, subscriptions and prompts from entries, slots from other agents.
async fn receive(env: Env<'_>, stores: kv_stores::FollowedStores) {
    let Env {
        node,
        agent,
        socket,
    } = env;
    loop {
        let (update, from) = update::receive(socket).await;
        if let Some(life) = &update.life {
            agent.borrow_mut().identify(Boot {
                id: life.id.clone(),
                born: life.born,
            });
        }
        if update.asks {
            if agent.borrow_mut().subscribers.subscribe(node.now(), from) {
                let update = agent::summary(node, agent);
                agent::send_all_parts(agent, socket, &update, [from]);
                stores.send_to(socket, [from]);
            }
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
        if let Some(ask) = update.slot_ask.filter(|a| a.delegate == 0) {
            agent::answer_slot_query(env, ask, from);
        }
    }
}

/// Asks entries which incarnation the engine is and whether one of them has acted for it, until
/// both are known.
///
/// Entries send the incarnation with their subscriptions as well. On that alone a sidecar whose
/// datagrams were lost had none to name in an order for seconds.
async fn identify(node: &SharedNode, agent: &SharedAgent, addr: SocketAddr) {
    loop {
        let (unidentified, unsure) = {
            let mut a = agent.borrow_mut();
            (a.needs_identity(), a.has_unknown_orders(node.now()))
        };
        if !unidentified && !unsure {
            sleep(IDENTIFIED).await;
            continue;
        }
        sleep(if unidentified { IDENTIFY } else { AGAIN }).await;
        let known = peer::fetch_engine_info(node, addr).await;
        let mut a = agent.borrow_mut();
        if let Some(boot) = known.boot.filter(|_| unidentified) {
            a.identify(boot);
        }
        if let Some(quiet) = known.quiet.filter(|_| unsure) {
            a.record_quiet(node.now(), quiet);
        }
    }
}
