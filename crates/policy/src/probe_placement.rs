//! Choosing a replica by probing sidecars.
//!
//! Load pattern: prompts share long prefixes, nested in several levels. A few prefixes are very hot, and
//! engines evict cached blocks within seconds. Spreading requests evenly recomputes each prefix at each
//! replica; pinning each prefix to one replica overloads that replica as soon as the prefix is hot.
//!
//! An entry probes at most [`Config::probes`] sidecars, whose data on their engine's cache and queue is
//! exact. It chooses the least sum of expected wait, prefill of the blocks that aren't cached, and network
//! delay. Hot prefixes therefore spread without coordination: once the wait at the replica that holds a
//! prefix exceeds the cost of computing it again, the next replica in rendezvous order computes it and is
//! found there from then on. When the load on the prefix drops, the first replica in the order is idle enough
//! again and the copies are evicted.
//!
//! The time that a recomputation costs its own request is the smaller part of its cost: it also evicts other
//! prefixes and delays later requests. If a recomputation counted for only one and a half times its own time,
//! load would lower the hit rate, which raises the load: in the replay even an oracle's hit rate fell from
//! 0.78 at half load to 0.47 at 0.9. A recomputation therefore counts for more the busier the replicas are,
//! and for more in less urgent classes. It counts for less if the prefix makes up more than one replica's
//! share of the traffic: such a copy is used as often as needed, and without it the requests of a suddenly
//! hot prefix wait for the only replica that holds it.
//!
//! Which replicas are probed: the replica that this entry used last for the longest known prefix is the most
//! likely holder. The first replicas in rendezvous order of the deepest level are the same at every entry, so
//! an entry without a memory, such as a restarted one, finds copies made through other entries. With ranks of
//! the middle levels or random replicas in their place, copies were made that no other entry found. A random
//! replica is probed only if its wait is far below that of all the others. Four probes of about 250 bytes
//! cost an entry 8 KB/s at the target size, a third of its allowance.

use model::{BlockHash, Class, Incarnation, Micros, TargetKey};
use prefix::{levels, rank};
use rand::Rng;

use crate::recent_replicas::RecentReplicas;

/// Replicas at the head of the rendezvous order that may be probed.
const RENDEZVOUS_RANKS: usize = 4;
/// Least number of replicas probed. If the prompt has no cached levels, they are drawn from the replicas not yet
/// chosen: drawing from all could pick the same replica twice, and the request would be refused if that replica is
/// loading its weights.
const MIN_PROBES: usize = 2;

/// How replicas are chosen.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Most replicas probed for one request; 4.
    pub probes: usize,
    /// The randomly drawn replica is probed if its wait is less than the least wait of the chosen replicas
    /// divided by this; 8.
    pub drawn_wait_ratio: u64,
    /// How many of the probed replicas may come from the memory of recent use; 1. With 2, the second was
    /// usually a copy that had already been evicted.
    pub recent: usize,
    /// Weight of a recomputed block at an idle replica; 2, for the block itself and for the one that it evicts.
    /// With 1 the replay's goodput at twice the load is lower; with 3 requests at moderate load wait longer.
    pub eviction_weight: f64,
    /// Weight of a request's own wait by class, relative to the delay of other requests; 1 for calls, 0.5 for
    /// normal, 0.25 for batch, which has no waiting user.
    pub class_weights: [f64; 3],
    /// Part of the prompt that counts as missing at every replica but the home replica; 0.05. A prefix that was
    /// evicted everywhere is thus computed at the same replica again, above all under load, and the prefixes of a
    /// replica stay few enough for its cache.
    pub off_home_share: f64,
    /// Mean utilization from which a full replica prevents copies of the prefixes that it holds; 0.8. Below this
    /// there is room for copies, and refusing would gain nothing. [`choose`] doesn't read this setting.
    pub crowded_utilization: f64,
    /// Upper bound of the factor by which the replicas' utilization multiplies [`Config::eviction_weight`]; 50.
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

/// A live target of the pool, as seen by an entry.
#[derive(Clone, Copy, Debug)]
pub struct Peer {
    /// The target.
    pub target: TargetKey,
    /// A number that is the same for this target at every entry and over restarts.
    pub id: u64,
    /// The wait in its last answer to a probe; zero before the first answer.
    pub wait: Micros,
}

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Takes new requests.
    Serving,
    /// Stopping.
    Leaving,
    /// Loading a model; serves later.
    Loading,
    /// The queue is full for the request's class.
    Full,
}

/// A sidecar's answer to a probe.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// The target that answers.
    pub target: TargetKey,
    /// The incarnation of its engine.
    pub incarnation: Incarnation,
    /// Blocks of the prompt that its engine has cached or is computing.
    pub matched: u32,
    /// How long the request would wait for its prefill to begin.
    pub wait: Micros,
    /// Measured time to prefill one block.
    pub prefill: Micros,
    /// Whether the target takes the request.
    pub state: State,
    /// Requests that wait or run at the target.
    pub load: u32,
    /// Share of the last seconds in which its engine prefilled prompts of this or a more urgent class.
    pub busy: f64,
}

/// A replica for the request, with its expected cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The target.
    pub target: TargetKey,
    /// Expected time to the first token, with its recomputation weighted; [`Micros::MAX`] for a replica that didn't
    /// answer.
    pub cost: Micros,
    /// Cached blocks of the prompt.
    pub matched: u32,
}

/// The request to place.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest {
    /// Its class.
    pub class: Class,
    /// Number of blocks in its prompt.
    pub blocks: u32,
    /// Share of the pool's requests that have this prefix, [`RecentReplicas::share`], times the number of replicas. Above 1,
    /// the prefix makes up more than one replica's share of the traffic.
    pub heat: f64,
    /// The replica at which the prefix is computed if no replica holds it, [`home`].
    pub home: Option<TargetKey>,
}

/// Chooses the replicas to probe, the most promising first.
pub fn replicas_to_probe(
    config: &Config,
    chain: &[BlockHash],
    peers: &[Peer],
    recent: &RecentReplicas,
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

/// Whether a randomly drawn replica has so much less wait than all chosen replicas that it is worth a probe.
///
/// If a random replica were probed for each request, it would sometimes be used, and only this entry would find its
/// copy of the prefix.
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

/// The first replica in rendezvous order, which is the same at every entry.
pub fn home(chain: &[BlockHash], peers: &[Peer]) -> Option<TargetKey> {
    let key = levels(chain).next()?.hash;
    first_ranks(key, peers)[0]
}

/// Orders the replicas that answered by expected cost, the least first.
///
/// A full replica that has more of the prompt cached rules out replicas that would cost more than waiting for it.
/// Otherwise, when all holders are full, each request would go to any replica with room at the moment and be
/// recomputed there, and cache hits would vanish when the fleet can least afford it.
///
/// The list is empty if no replica can take the request, which is then refused. If no replica answered at all,
/// [`rendezvous_order`] gives the replicas to use.
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

/// The order in which to use replicas when no probe was answered in time.
///
/// Rendezvous hashing on the deepest level: the first replica most probably holds the prefix, and entries that can't
/// reach any sidecar still agree.
pub fn rendezvous_order(chain: &[BlockHash], peers: &[Peer]) -> Vec<TargetKey> {
    let key = levels(chain).next().map_or(BlockHash(0), |m| m.hash);
    let mut order: Vec<(u64, TargetKey)> =
        peers.iter().map(|p| (rank(key, p.id), p.target)).collect();
    order.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    order.into_iter().map(|(_, target)| target).collect()
}

/// Weight of a recomputation, as a multiple of the time that it costs its own request.
///
/// A recomputation evicts blocks that other requests need, and delays requests that arrive while the replica is busy.
/// Both effects grow with the utilization r as 1 / (1 - r): the cache turns over as fast as the replica computes.
fn recomputation_weight(config: &Config, offers: &[Offer]) -> f64 {
    let idle = 1.0 - mean_utilization(offers).min(1.0);
    config.eviction_weight * (idle * idle).recip().min(config.max_load_factor)
}

/// Mean utilization of the replicas that answered.
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
    // One round trip; the connection is already open.
    offer.wait + Micros(prefill as u64) + delay + delay
}

/// The first replicas in rendezvous order.
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

/// Draws two replicas at random and returns the one with the shorter wait.
fn draw_less_loaded<'a>(peers: &[&'a Peer], rng: &mut impl Rng) -> Option<&'a Peer> {
    let mut pick = || match peers.len() {
        0 => None,
        n => Some(peers[rng.random_range(0..n)]),
    };
    let drawn = [pick(), pick()].into_iter().flatten();
    drawn.min_by_key(|p| p.wait)
}
