//! Other ways to choose a replica, for measurements beside the project's own: by the least wait, in
//! turn, and by hash of the prompt's opening. They heed neither health nor who holds which prefix.

use exchange::Failure;
use model::{BlockHash, Code};
use policy::probe_placement::Peer;
use prefix::rank;
use wire::Offer;

use crate::entry::pick::{failure, marks, probe, unprobed_all, Picked, PAUSE};
use crate::entry::probe::Wanted;
use crate::entry::Context;
use crate::view::View;

/// Blocks by which the consistent-hash baseline places a prompt: its first 256 tokens.
const OPENING: usize = 16;

/// The baseline by waits: all are probed, the least wait comes first.
pub(super) async fn least_loaded(
    cx: &Context,
    view: &View,
    want: &Wanted,
    peers: &[Peer],
) -> Result<Vec<Picked>, Failure> {
    let asked: Vec<_> = peers.iter().map(|p| p.target).collect();
    let mut offers = probe(cx, view, want, &marks(cx, want), &asked).await;
    let serves = |o: &Offer| o.state() == wire::State::Serving;
    offers.retain(|(_, o)| o.as_ref().is_some_and(serves));
    offers.sort_by_key(|(_, o)| o.as_ref().map_or(u64::MAX, |o| o.wait));
    if offers.is_empty() {
        return Err(failure(Code::Overloaded, Some(PAUSE)));
    }
    Ok(unprobed_all(view, offers.into_iter().map(|(t, _)| t)))
}

/// The baseline in turn.
pub(super) fn turns(cx: &Context, view: &View, peers: &[Peer]) -> Vec<Picked> {
    let mut m = cx.memory.lock();
    m.turn += 1;
    let first = m.turn % peers.len();
    let order = peers[first..].iter().chain(&peers[..first]);
    unprobed_all(view, order.map(|p| p.target))
}

/// The baseline by hash of the prompt's opening.
pub(super) fn hashed(view: &View, want: &Wanted, peers: &[Peer]) -> Vec<Picked> {
    let opening = want.chain.get(OPENING - 1).or(want.chain.last());
    let key = opening.copied().unwrap_or(BlockHash(want.fingerprint));
    let mut order: Vec<_> = peers.iter().map(|p| (rank(key, p.id), p.target)).collect();
    order.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    unprobed_all(view, order.into_iter().map(|(_, t)| t))
}
