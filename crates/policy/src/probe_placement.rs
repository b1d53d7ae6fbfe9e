//! Which replica gets a request.
//!
//! Load pattern: prompts share long prefixes nested in several levels, a few of them very hot, and
//! engines evict within seconds. Spreading requests evenly recomputes each prefix at each replica;
//! pinning each prefix to one replica overloads that replica as soon as the prefix is hot.
//!
//! An entry asks at most [`Config::probes`] sidecars, which know their engine's cache and queue
//! exactly, and takes the least sum of expected wait, prefill of what isn't cached, and way there.
//! A hot prefix thus spreads by itself: once the wait at its holder exceeds the cost of computing
//! it anew, the next replica in its rendezvous order gets it, and is found there from then on.
//! When the heat is over, the first in the order is idle enough again and the copies are evicted.
//!
//! The time that a recomputation takes its own request is the smaller part of its cost: it evicts
//! other prefixes and delays whoever comes after. Counted at half more than its own time, load
//! lowers the hit rate, which raises the load: in the replay even an oracle's hit rate fell from
//! 0.78 at half load to 0.47 at 0.9. So it counts for more, the busier the replicas are, and for
//! more in classes that wait less urgently. It counts for less if the prefix makes up more than
//! one replica's part of the traffic: such a copy is used as often as it is needed, and without
//! it the callers of a suddenly hot prefix wait for its one holder.
//!
//! Grounds: whom to request. The replica that this entry used last for the longest known prefix holds
//! it most probably. The first in rendezvous order of the deep level are the same at every entry,
//! so that one without a memory, such as one just restarted, finds the copies that others have
//! had made; ranks of the middle levels or replicas drawn at random in their place made copies
//! that no other entry found. One is drawn only if it waits far less than all of these. Four
//! probes of some 250 bytes at the target size cost an entry 8 KB/s, a third of its allowance.

use model::{BlockHash, Class, Incarnation, Micros, TargetKey};
use prefix::{levels, rank};
use rand::Rng;

use crate::recent::Recent;

/// Replicas of the rendezvous order that may be asked.
const RENDEZVOUS_RANKS: usize = 4;
/// Replicas asked at least, drawn from those not yet chosen if the prompt has no cached levels. Were
/// they drawn from all, the same one could come up again, and a request would be refused if that
/// one just loads its weights.
const MIN_PROBES: usize = 2;

/// How replicas are chosen.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Most replicas asked for one request; 4.
    pub probes: usize,
    /// The drawn replica is asked if its wait is less than that of all others over this; 8.
    pub drawn_wait_ratio: u64,
    /// How many of them may come from the memory of recent use; 1. With 2, the second was most
    /// often a copy already evicted.
    pub recent: usize,
    /// What a recomputed block counts for at an idle replica; 2, for the block itself and for the
    /// one that it evicts. With 1 the replay's goodput at twice the load is lower, with 3 a moderate
    /// load waits longer.
    pub eviction_weight: f64,
    /// What a class's own waiting counts for, against the others' delay; 1 for calls, 0.5 for
    /// normal, 0.25 for batch, which nobody waits for.
    pub class_weights: [f64; 3],
    /// The part of the prompt that counts as missing anywhere but at its home; 0.05. A prefix that
    /// was evicted everywhere is so computed at the same replica again, above all under load,
    /// and the prefixes of a replica stay few enough for its cache.
    pub off_home_share: f64,
    /// The mean use from which a full replica keeps out copies of what it holds; 0.8. Below it
    /// there is room for them, and a refusal would be for nothing.
    pub crowded_utilization: f64,
    /// Most that the replicas' use multiplies this by; 50.
    pub max_load_factor: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            probes: 4,
            drawn_wait_ratio: 8,
            recent: 1,
            eviction_weight: 2.0,
            class_weights: [1.0, 0.5, 0.25],
            off_home_share: 0.05,
            crowded_utilization: 0.8,
            max_load_factor: 50.0,
        }
    }
}

/// A live target of the pool, as an entry knows it.
#[derive(Clone, Copy, Debug)]
pub struct Peer {
    /// The target.
    pub target: TargetKey,
    /// A number that is the same for this target at every entry and over restarts.
    pub id: u64,
    /// The wait that it told last; zero if it never did.
    pub wait: Micros,
}

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It does.
    Serving,
    /// It is stopping.
    Leaving,
    /// It loads a model and will serve later.
    Loading,
    /// Its queue is full for this class.
    Full,
}

/// A sidecar's answer to a probe.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// Who answers.
    pub target: TargetKey,
    /// The life of its engine.
    pub incarnation: Incarnation,
    /// Blocks of the prompt that its engine holds or is computing.
    pub matched: u32,
    /// How long the request would wait before its prefill begins.
    pub wait: Micros,
    /// Measured time to prefill one block.
    pub prefill: Micros,
    /// Whether it takes the request.
    pub state: State,
    /// Requests waiting or running there.
    pub load: u32,
    /// The part of the last seconds in which its engine computed prompts of this class or more
    /// urgent ones.
    pub busy: f64,
}

/// A replica to try, with what it is expected to cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The target.
    pub target: TargetKey,
    /// Expected time to the first token; [`Micros::MAX`] for one that didn't answer.
    pub cost: Micros,
    /// Blocks that needn't be computed.
    pub matched: u32,
}

/// What the choice depends on besides the offers.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest {
    /// The request's urgency.
    pub class: Class,
    /// Blocks of its prompt.
    pub blocks: u32,
    /// How many replicas' part of the traffic its prefix makes up: its part of the requests,
    /// [`Recent::share`], times the number of replicas.
    pub heat: f64,
    /// The replica at which the prefix is computed if nobody holds it, [`home`].
    pub home: Option<TargetKey>,
}

/// Chooses whom to ask, the most promising first.
pub fn replicas_to_probe(
    config: &Config,
    chain: &[BlockHash],
    peers: &[Peer],
    recent: &Recent,
    rng: &mut impl Rng,
) -> Vec<TargetKey> {
    let mut chosen = Vec::with_capacity(config.probes);
    let known = recent.longest(chain);
    let holders = known.into_iter().flat_map(|(_, holders)| holders);
    let live = holders.filter(|t| peers.iter().any(|p| p.target == *t));
    let used: Vec<TargetKey> = live.take(config.recent).collect();

    let key = levels(chain).next().map(|m| m.hash);
    let deep = key.map_or([None; RENDEZVOUS_RANKS], |k| first_ranks(k, peers));
    let order = used.into_iter().chain(deep.into_iter().flatten());
    for target in order {
        if chosen.len() < config.probes && !chosen.contains(&target) {
            chosen.push(target);
        }
    }
    while chosen.len() < MIN_PROBES.min(config.probes) {
        let fresh: Vec<_> = peers
            .iter()
            .filter(|p| !chosen.contains(&p.target))
            .collect();
        let Some(peer) = draw_less_loaded(&fresh, rng) else {
            return chosen;
        };
        chosen.push(peer.target);
    }
    let all: Vec<_> = peers.iter().collect();
    let drawn = draw_less_loaded(&all, rng).map(|p| p.target);
    match drawn.filter(|t| !chosen.contains(t)) {
        Some(target) if chosen.len() < config.probes => chosen.push(target),
        Some(target) if is_worth_probing(config, peers, &chosen, target) => {
            chosen.pop();
            chosen.push(target);
        }
        _ => {}
    }
    chosen
}

/// Whether a drawn replica waits so much less than all chosen that it is worth a probe.
///
/// Asked each time, it would be used now and then, and its copy of the prefix would be found
/// by this entry only.
fn is_worth_probing(
    config: &Config,
    peers: &[Peer],
    chosen: &[TargetKey],
    drawn: TargetKey,
) -> bool {
    let wait = |target| peers.iter().find(|p| p.target == target).map(|p| p.wait.0);
    let least = chosen.iter().filter_map(|t| wait(*t)).min();
    let drawn = wait(drawn);
    drawn
        .zip(least)
        .is_some_and(|(d, l)| d < l / config.drawn_wait_ratio)
}

/// The first of the rendezvous order: the same replica for a prefix at every entry.
pub fn home(chain: &[BlockHash], peers: &[Peer]) -> Option<TargetKey> {
    let key = levels(chain).next()?.hash;
    first_ranks(key, peers)[0]
}

/// Orders the replicas that answered by expected time, the best first.
///
/// A full replica that holds more of the prompt keeps those out that would cost more than waiting
/// for it. Otherwise, once all are full, each refused request would go to whichever has room at
/// the moment and be computed anew there; hits vanish just when the fleet can least afford it.
///
/// If none can take the request, the list is empty and the request is refused; if none answered
/// at all, [`rendezvous_order`] helps.
pub fn choose(
    config: &Config,
    request: &PlacementRequest,
    offers: &[Offer],
    delay: impl Fn(TargetKey) -> Micros,
) -> Vec<Choice> {
    let weight = recomputation_weight(config, offers)
        / config.class_weights[request.class.index()]
        / request.heat.max(1.0);
    let choice = |o: &Offer| Choice {
        target: o.target,
        cost: cost(config, request, o, weight, delay(o.target)),
        matched: o.matched.min(request.blocks),
    };
    let of = |state| offers.iter().filter(move |o| o.state == state).map(choice);
    let full: Vec<Choice> = of(State::Full).collect();
    let beaten = |c: &Choice| {
        full.iter()
            .any(|f| f.matched > c.matched && f.cost < c.cost)
    };
    let mut choices: Vec<Choice> = of(State::Serving).filter(|c| !beaten(c)).collect();
    choices.sort_by_key(|c| c.cost);
    choices
}

/// The order in which to try replicas when no probe was answered in time.
///
/// It is the rendezvous order of the deep level: the first of it most probably holds the prefix,
/// and entries that can't reach anyone's sidecar still agree.
pub fn rendezvous_order(chain: &[BlockHash], peers: &[Peer]) -> Vec<TargetKey> {
    let key = levels(chain).next().map_or(BlockHash(0), |m| m.hash);
    let mut order: Vec<(u64, TargetKey)> =
        peers.iter().map(|p| (rank(key, p.id), p.target)).collect();
    order.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    order.into_iter().map(|(_, target)| target).collect()
}

/// What a recomputation counts for, as a multiple of the time that it takes its own request.
///
/// It evicts what others will ask for, and it delays whoever comes while the replica is busy. Each
/// grows with the use r as 1 / (1 - r): the cache turns over as fast as the replica computes.
fn recomputation_weight(config: &Config, offers: &[Offer]) -> f64 {
    let idle = 1.0 - mean_utilization(offers).min(1.0);
    config.eviction_weight * (idle * idle).recip().min(config.max_load_factor)
}

/// The mean use of the replicas asked.
fn mean_utilization(offers: &[Offer]) -> f64 {
    let sum: f64 = offers.iter().map(|o| o.busy).sum();
    sum / offers.len().max(1) as f64
}

fn cost(
    config: &Config,
    request: &PlacementRequest,
    offer: &Offer,
    weight: f64,
    delay: Micros,
) -> Micros {
    let missing = f64::from(request.blocks.saturating_sub(offer.matched));
    let away = match request.home {
        Some(home) if home != offer.target => f64::from(request.blocks) * config.off_home_share,
        _ => 0.0,
    };
    let prefill = (missing + away) * offer.prefill.0 as f64 * weight;
    // There and back; the connection is open already.
    offer.wait + Micros(prefill as u64) + delay + delay
}

/// The first of the rendezvous order.
fn first_ranks(key: BlockHash, peers: &[Peer]) -> [Option<TargetKey>; RENDEZVOUS_RANKS] {
    let mut best = [(0, None); RENDEZVOUS_RANKS];
    for peer in peers {
        let mut entry = (rank(key, peer.id), Some(peer.target));
        for slot in &mut best {
            if slot.1.is_none() || entry.0 > slot.0 {
                std::mem::swap(slot, &mut entry);
            }
        }
    }
    best.map(|(_, target)| target)
}

/// The less loaded of two drawn replicas.
fn draw_less_loaded<'a>(peers: &[&'a Peer], rng: &mut impl Rng) -> Option<&'a Peer> {
    let mut pick = || match peers.len() {
        0 => None,
        n => Some(peers[rng.random_range(0..n)]),
    };
    let drawn = [pick(), pick()].into_iter().flatten();
    drawn.min_by_key(|p| p.wait)
}
