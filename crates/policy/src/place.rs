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
//! Grounds: whom to ask. The replicas that this entry used lately for the longest known prefix
//! hold it most probably. The first two in rendezvous order of the deep, middle and shallow level
//! are the same at every entry, so that an entry without a memory, such as one just restarted,
//! finds the copies that others have had made. One more, drawn as the less loaded of two, lets
//! load escape from all of them. Four probes of some 250 bytes at the target size cost an entry
//! 8 KB/s, a third of its allowance for control.

use model::{BlockHash, Incarnation, Micros, TargetKey};
use prefix::{levels, rank};
use rand::Rng;

use crate::recent::Recent;

/// How replicas are chosen.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Most replicas asked for one request; 4.
    pub probes: usize,
    /// How many of them may come from the memory of recent use; 2, which leaves room for the
    /// rendezvous order and the drawn one.
    pub recent: usize,
    /// What a recomputed block counts for at an idle replica; 2, for the block itself and for the
    /// one that it evicts, which most probably will be asked for again.
    pub evict: f64,
    /// Most that the others' delay multiplies this by as replicas are busy; 20.
    pub most: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            probes: 4,
            recent: 2,
            evict: 2.0,
            most: 20.0,
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
    /// The part of the last seconds in which its engine computed prompts.
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

/// Chooses whom to ask, the most promising first.
pub fn candidates(
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
    chosen.extend(live.take(config.recent));

    let ranked: Vec<_> = levels(chain).map(|m| top(m.hash, peers)).collect();
    let firsts = ranked.iter().filter_map(|r| r.0);
    let seconds = ranked.iter().filter_map(|r| r.1);
    let drawn = draw(peers, &chosen, rng);
    // The last place is for the drawn one; an order without cached levels is all drawn.
    let room = config.probes.saturating_sub(usize::from(drawn.is_some()));
    for target in firsts.chain(seconds) {
        if chosen.len() < room && !chosen.contains(&target) {
            chosen.push(target);
        }
    }
    for more in [drawn, None] {
        let more = more.filter(|t| !chosen.contains(t));
        let more = more.or_else(|| draw(peers, &chosen, rng));
        if chosen.len() < config.probes {
            chosen.extend(more);
        }
    }
    chosen
}

/// Orders the replicas that answered by expected time, the best first.
///
/// A full replica that holds more of the prompt keeps those out that would cost more than waiting
/// for it. Otherwise, once all are full, each refused request would go to whichever has room at
/// the moment and be computed anew there; hits vanish just when the fleet can least afford it.
///
/// If none can take the request, the list is empty and the request is refused; if none answered
/// at all, [`fallback`] helps.
pub fn choose(
    config: &Config,
    blocks: u32,
    offers: &[Offer],
    delay: impl Fn(TargetKey) -> Micros,
) -> Vec<Choice> {
    let weight = weight(config, offers);
    let choice = |o: &Offer| Choice {
        target: o.target,
        cost: cost(blocks, o, weight, delay(o.target)),
        matched: o.matched.min(blocks),
    };
    let of = |state| offers.iter().filter(move |o| o.state == state).map(choice);
    let full: Vec<Choice> = of(State::Full).collect();
    let better = |c: &Choice| {
        full.iter()
            .any(|f| f.matched > c.matched && f.cost < c.cost)
    };
    let mut choices: Vec<Choice> = of(State::Serving).filter(|c| !better(c)).collect();
    choices.sort_by_key(|c| c.cost);
    choices
}

/// The order in which to try replicas when no probe was answered in time.
///
/// It is the rendezvous order of the deep level: the first of it most probably holds the prefix,
/// and entries that can't reach anyone's sidecar still agree.
pub fn fallback(chain: &[BlockHash], peers: &[Peer]) -> Vec<TargetKey> {
    let key = levels(chain).next().map_or(BlockHash(0), |m| m.hash);
    let mut order: Vec<(u64, TargetKey)> =
        peers.iter().map(|p| (rank(key, p.id), p.target)).collect();
    order.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    order.into_iter().map(|(_, target)| target).collect()
}

/// What a recomputation counts for, as a multiple of the time that it takes its own request.
///
/// It evicts as much as it computes, and it delays whoever comes while the replica is busy: at a
/// use of r, 1 / (1 - r) times its length in sum over all of them.
fn weight(config: &Config, offers: &[Offer]) -> f64 {
    let busy: f64 = offers.iter().map(|o| o.busy).sum();
    let mean = busy / offers.len().max(1) as f64;
    let others = 1.0 / (1.0 - mean).max(1.0 / config.most);
    config.evict * others
}

fn cost(blocks: u32, offer: &Offer, weight: f64, delay: Micros) -> Micros {
    let missing = f64::from(blocks.saturating_sub(offer.matched));
    let prefill = missing * offer.prefill.0 as f64 * weight;
    // There and back; the connection is open already.
    offer.wait + Micros(prefill as u64) + delay + delay
}

/// The first two of the rendezvous order.
fn top(key: BlockHash, peers: &[Peer]) -> (Option<TargetKey>, Option<TargetKey>) {
    let mut best = [(0, None), (0, None)];
    for peer in peers {
        let weight = rank(key, peer.id);
        match weight {
            w if best[0].1.is_none() || w > best[0].0 => {
                best[1] = best[0];
                best[0] = (w, Some(peer.target));
            }
            w if best[1].1.is_none() || w > best[1].0 => best[1] = (w, Some(peer.target)),
            _ => {}
        }
    }
    (best[0].1, best[1].1)
}

/// The less loaded of two replicas drawn from those that aren't chosen yet.
///
/// Were they drawn from all, the same one could come up again and again: a request without cached
/// levels would ask a single replica, and be refused if that one just loads its weights.
fn draw(peers: &[Peer], chosen: &[TargetKey], rng: &mut impl Rng) -> Option<TargetKey> {
    let fresh = peers.iter().filter(|p| !chosen.contains(&p.target));
    let fresh: Vec<_> = fresh.collect();
    let mut pick = || match fresh.len() {
        0 => None,
        n => Some(fresh[rng.random_range(0..n)]),
    };
    let drawn = [pick(), pick()].into_iter().flatten();
    drawn.min_by_key(|p| p.wait).map(|p| p.target)
}
