//! Baseline policies that placement by probes is compared with: least wait, round robin, and
//! consistent hashing of the start of the prompt. They consider neither the health of targets nor
//! which replica holds which prefix.

use exchange::Failure;
use model::{BlockHash, Code};
use policy::probe_placement::Peer;
use prefix::rank;
use wire::Offer;

use crate::entry::pick::{marks, not_run, probe, without_offers, Candidate, RETRY_AFTER};
use crate::entry::probe::Criteria;
use crate::entry::Context;
use crate::view::View;

/// Number of blocks that consistent hashing uses: the first 256 tokens of a prompt.
const HASHED_BLOCKS: usize = 16;

/// Probes all targets and prefers the one with the least wait.
pub(super) async fn least_loaded(
    cx: &Context,
    view: &View,
    criteria: &Criteria,
    peers: &[Peer],
) -> Result<Vec<Candidate>, Failure> {
    let targets: Vec<_> = peers.iter().map(|p| p.target).collect();
    let mut offers = probe(cx, view, criteria, &marks(cx, criteria), &targets).await;
    let serves = |o: &Offer| o.state() == wire::State::Serving;
    offers.retain(|(_, o)| o.as_ref().is_some_and(serves));
    offers.sort_by_key(|(_, o)| o.as_ref().map_or(u64::MAX, |o| o.wait));
    if offers.is_empty() {
        return Err(not_run(Code::Overloaded, Some(RETRY_AFTER)));
    }
    Ok(without_offers(view, offers.into_iter().map(|(t, _)| t)))
}

/// Orders targets so that each is first in rotation.
pub(super) fn round_robin(cx: &Context, view: &View, peers: &[Peer]) -> Vec<Candidate> {
    let mut m = cx.memory.lock();
    m.round_robin += 1;
    let first = m.round_robin % peers.len();
    let order = peers[first..].iter().chain(&peers[..first]);
    without_offers(view, order.map(|p| p.target))
}

/// Orders targets by a hash of the start of the prompt.
pub(super) fn consistent_hash(view: &View, criteria: &Criteria, peers: &[Peer]) -> Vec<Candidate> {
    let block = criteria
        .chain
        .get(HASHED_BLOCKS - 1)
        .or(criteria.chain.last());
    let key = block.copied().unwrap_or(BlockHash(criteria.fingerprint));
    let mut order: Vec<_> = peers.iter().map(|p| (rank(key, p.id), p.target)).collect();
    order.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    without_offers(view, order.into_iter().map(|(_, t)| t))
}
