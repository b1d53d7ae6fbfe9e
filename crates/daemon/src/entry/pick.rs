//! Which sidecars a request is offered to, in order: `policy::place` with its probes.

use std::net::SocketAddr;

use exchange::Failure;
use futures::future::join_all;
use model::{BlockHash, Code, Micros, Outcome, TargetKey};
use policy::health::Use;
use policy::place::{self, Choice, Peer};
use prefix::{rank, Marks};
use rand::Rng;
use wire::Offer;

use crate::clock;
use crate::entry::probe::Wanted;
use crate::entry::Context;
use crate::settings::Policy;
use crate::view::View;

/// Rounds of probes; the second asks others if all of the first are full.
const ROUNDS: usize = 2;
/// Blocks by which the consistent-hash baseline places a prompt: its first 256 tokens.
const OPENING: usize = 16;

/// A sidecar to offer a request to.
#[derive(Clone, Debug)]
pub struct Picked {
    /// The target behind it.
    pub target: TargetKey,
    /// Its exchange address.
    pub address: SocketAddr,
    /// Its life, if it said so; else 0.
    pub life: u64,
    /// The probe that it answered; else 0.
    pub probe: u64,
    /// What it told, if it did.
    pub cost: Option<Told>,
}

/// What a sidecar told of the time to a first token.
#[derive(Clone, Copy, Debug)]
pub struct Told {
    /// How long the request would wait for its turn.
    pub wait: Micros,
    /// The rest of the time.
    pub expected: Micros,
}

/// One target with the answer to its probe.
type Answered = (TargetKey, Option<Offer>);

/// Sidecars for a request, the best first, or why there is none. Those tried before are left out.
pub async fn pick(
    cx: &Context,
    view: &View,
    want: &Wanted,
    tried: &[TargetKey],
) -> Result<Vec<Picked>, Failure> {
    let peers = peers(cx, view, want, tried);
    if peers.is_empty() {
        return Err(failure(Code::NoTarget, Some(Micros::from_secs(1))));
    }
    match cx.role.policy {
        Policy::Ours => ours(cx, view, want, peers).await,
        Policy::LeastLoaded => least_loaded(cx, view, want, &peers).await,
        Policy::RoundRobin => Ok(turns(cx, view, &peers)),
        Policy::ConsistentHash => Ok(hashed(view, want, &peers)),
    }
}

fn peers(cx: &Context, view: &View, want: &Wanted, tried: &[TargetKey]) -> Vec<Peer> {
    let now = clock::now();
    let memory = cx.memory.lock();
    let all: Vec<_> = view
        .world
        .pool_targets(want.pool)
        .filter(|(k, _)| !tried.contains(k))
        .map(|(target, t)| Peer {
            target,
            id: t.rank,
            wait: memory.waits.get(&target).copied().unwrap_or_default(),
        })
        .collect();
    if cx.role.policy != Policy::Ours {
        return all;
    }
    let usable = |p: &&Peer| memory.health.usable(now, p.target) != Use::Out;
    let good: Vec<_> = all.iter().filter(usable).copied().collect();
    // Slow targets are better than none.
    if good.is_empty() {
        all
    } else {
        good
    }
}

async fn ours(
    cx: &Context,
    view: &View,
    want: &Wanted,
    mut peers: Vec<Peer>,
) -> Result<Vec<Picked>, Failure> {
    let config = cx.memory.lock().place;
    let marks = marks(cx, want);
    let ask = {
        let recent = &mut cx.memory.lock().recent;
        let share = recent.share(&want.chain);
        recent.seen(&want.chain);
        place::Ask {
            class: want.class,
            home: place::home(&want.chain, &peers),
            blocks: marks.blocks(),
            heat: share * view.world.pool_targets(want.pool).count() as f64,
        }
    };
    let mut all = peers.clone();
    let mut retry = None;
    let mut full = false;
    for _ in 0..ROUNDS {
        let asked = {
            let mut m = cx.memory.lock();
            let m = &mut *m;
            place::candidates(&config, &want.chain, &peers, &m.recent, &mut m.rng)
        };
        if asked.is_empty() {
            break;
        }
        peers.retain(|p| !asked.contains(&p.target));
        let offers = probe(cx, view, want, &marks, &asked).await;
        if offers
            .iter()
            .any(|(_, o)| o.as_ref().is_some_and(|o| o.convicted))
        {
            return Err(failure(Code::Quarantined, None));
        }
        let heard: Vec<_> = offers.iter().filter_map(placed).collect();
        // Those that are down or leaving say nothing of the rest, which may only be slow to answer.
        let is_closed =
            |o: &&place::Offer| matches!(o.state, place::State::Leaving | place::State::Loading);
        let closed: Vec<_> = heard.iter().filter(is_closed).map(|o| o.target).collect();
        all.retain(|p| !closed.contains(&p.target));
        full |= heard.len() > closed.len();
        let delay = |t| delay(view, t);
        let choices = place::choose(&config, &ask, &heard, delay);
        if !choices.is_empty() {
            return Ok(choices
                .iter()
                .filter_map(|c| picked(view, c, &offers, marks.blocks()))
                .collect());
        }
        let told = offers.iter().filter_map(|(_, o)| o.as_ref());
        let told = told
            .filter(|o| o.retry > 0)
            .map(|o| Micros::from_millis(o.retry))
            .min();
        retry = [retry, told].into_iter().flatten().min();
    }
    if full {
        return Err(failure(
            Code::Overloaded,
            retry.or(Some(Micros::from_secs(1))),
        ));
    }
    if all.is_empty() {
        return Err(failure(Code::NoTarget, Some(Micros::from_secs(1))));
    }
    let order = place::fallback(&want.chain, &all);
    Ok(order
        .into_iter()
        .filter_map(|t| unprobed(view, t))
        .collect())
}

async fn least_loaded(
    cx: &Context,
    view: &View,
    want: &Wanted,
    peers: &[Peer],
) -> Result<Vec<Picked>, Failure> {
    let asked: Vec<_> = peers.iter().map(|p| p.target).collect();
    let mut offers = probe(cx, view, want, &marks(cx, want), &asked).await;
    offers.retain(|(_, o)| {
        o.as_ref()
            .is_some_and(|o| o.state() == wire::State::Serving)
    });
    offers.sort_by_key(|(_, o)| o.as_ref().map_or(u64::MAX, |o| o.wait));
    if offers.is_empty() {
        return Err(failure(Code::Overloaded, Some(Micros::from_secs(1))));
    }
    Ok(offers
        .iter()
        .filter_map(|(t, _)| unprobed(view, *t))
        .collect())
}

fn turns(cx: &Context, view: &View, peers: &[Peer]) -> Vec<Picked> {
    let mut m = cx.memory.lock();
    m.turn += 1;
    let first = m.turn % peers.len();
    let order = peers[first..].iter().chain(&peers[..first]);
    order.filter_map(|p| unprobed(view, p.target)).collect()
}

fn hashed(view: &View, want: &Wanted, peers: &[Peer]) -> Vec<Picked> {
    let opening = want.chain.get(OPENING - 1).or(want.chain.last());
    let key = opening.copied().unwrap_or(BlockHash(want.fingerprint));
    let mut order: Vec<_> = peers.iter().map(|p| (rank(key, p.id), p.target)).collect();
    order.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    order
        .into_iter()
        .filter_map(|(_, t)| unprobed(view, t))
        .collect()
}

/// The points to ask about, among them the deepest that this entry knows to be shared.
fn marks(cx: &Context, want: &Wanted) -> Marks {
    let memory = cx.memory.lock();
    let known = memory.recent.longest(&want.chain).map(|(m, _)| m.blocks);
    Marks::with(&want.chain, known)
}

async fn probe(
    cx: &Context,
    view: &View,
    want: &Wanted,
    marks: &Marks,
    asked: &[TargetKey],
) -> Vec<Answered> {
    let asks = asked.iter().map(|t| async {
        let offer = match view.world.targets.get(*t) {
            Some(target) => cx.probes.ask(target.probe, want, marks).await,
            None => None,
        };
        (*t, offer)
    });
    let offers = join_all(asks).await;
    let mut m = cx.memory.lock();
    for (t, o) in &offers {
        if let Some(o) = o {
            m.waits.insert(*t, Micros(o.wait));
        }
    }
    offers
}

fn placed((target, offer): &Answered) -> Option<place::Offer> {
    let o = offer.as_ref()?;
    let state = match o.state() {
        wire::State::Serving => place::State::Serving,
        wire::State::Loading => place::State::Loading,
        wire::State::Full => place::State::Full,
        wire::State::Leaving | wire::State::Down => place::State::Leaving,
    };
    Some(place::Offer {
        target: *target,
        incarnation: model::Incarnation(o.engine),
        matched: o.matched,
        wait: Micros(o.wait),
        prefill: Micros(o.prefill / 1_000),
        state,
        load: 0,
        busy: f64::from(o.busy) / 1e3,
    })
}

fn picked(view: &View, c: &Choice, offers: &[Answered], blocks: u32) -> Option<Picked> {
    let (_, offer) = offers.iter().find(|(t, _)| *t == c.target)?;
    let o = offer.as_ref()?;
    let missing = u64::from(blocks.saturating_sub(o.matched));
    let delay = delay(view, c.target);
    Some(Picked {
        life: o.incarnation,
        probe: o.id,
        cost: Some(Told {
            wait: Micros(o.wait),
            expected: Micros(missing * o.prefill / 1_000) + delay + delay,
        }),
        ..unprobed(view, c.target)?
    })
}

fn unprobed(view: &View, target: TargetKey) -> Option<Picked> {
    let t = view.world.targets.get(target)?;
    Some(Picked {
        target,
        address: t.exchange,
        life: 0,
        probe: 0,
        cost: None,
    })
}

fn delay(view: &View, target: TargetKey) -> Micros {
    let w = &view.world;
    let host = w.targets.get(target).and_then(|t| w.hosts.get(t.host));
    host.map_or(model::world::FAR, |h| w.link(view.domain, h.domain).delay)
}

fn failure(code: Code, retry: Option<Micros>) -> Failure {
    // Spread, so that those refused together don't come back together.
    let spread = 1.0 + rand::rng().random::<f64>() / 4.0;
    Failure {
        code,
        outcome: Outcome::NotRun,
        retry: retry.map(|t| Micros((t.0 as f64 * spread) as u64)),
    }
}
