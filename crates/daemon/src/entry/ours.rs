//! The project's own choice of a replica: `policy::probe_placement` with its probes.
//!
//! Some candidates are probed, others if all of these are full. If nobody answers at all, the
//! request goes where its prefix belongs: lost probes alone must not fail requests.

use exchange::Failure;
use model::{Code, Micros, TargetKey};
use policy::probe_placement::{self, Choice, Peer};
use prefix::Marks;
use wire::Offer;

use crate::entry::pick::{
    delay, failure, marks, probe, unprobed, unprobed_all, Answered, Picked, Told, PAUSE,
};
use crate::entry::probe::Wanted;
use crate::entry::Context;
use crate::view::View;

/// Rounds of probes; the second asks others if all of the first are full.
const ROUNDS: usize = 2;

/// By probes: rounds of them, until sidecars that can take the request have answered.
pub(super) async fn ours(
    cx: &Context,
    view: &View,
    want: &Wanted,
    mut unasked: Vec<Peer>,
) -> Result<Vec<Picked>, Failure> {
    let config = cx.memory.lock().place;
    let marks = marks(cx, want);
    let ask = ask(cx, view, want, &marks, &unasked);
    let mut heard = Heard::new(&unasked);
    for _ in 0..ROUNDS {
        let asked = candidates(cx, &config, want, &unasked);
        if asked.is_empty() {
            break;
        }
        unasked.retain(|p| !asked.contains(&p.target));
        let answers = probe(cx, view, want, &marks, &asked).await;
        if offers(&answers).any(|o| o.convicted) {
            return Err(failure(Code::Quarantined, None));
        }
        let placed: Vec<_> = answers.iter().filter_map(placed).collect();
        heard.add(&answers, &placed);
        let delay = |t| delay(view, t);
        let choices = probe_placement::choose(&config, &ask, &placed, delay);
        if !choices.is_empty() {
            let picks = choices.iter();
            let picks = picks.filter_map(|c| picked(view, c, &answers, marks.blocks()));
            return Ok(picks.collect());
        }
    }
    heard.unprobed(view, want)
}

/// What `policy::probe_placement` is asked; the prompt counts as seen from now on.
fn ask(
    cx: &Context,
    view: &View,
    want: &Wanted,
    marks: &Marks,
    peers: &[Peer],
) -> probe_placement::PlacementRequest {
    let recent = &mut cx.memory.lock().recent;
    let share = recent.share(&want.chain);
    recent.record_request(&want.chain);
    probe_placement::PlacementRequest {
        class: want.class,
        home: probe_placement::home(&want.chain, peers),
        blocks: marks.blocks(),
        heat: share * view.world.pool_targets(want.pool).count() as f64,
    }
}

/// Whom to probe next.
fn candidates(
    cx: &Context,
    config: &probe_placement::Config,
    want: &Wanted,
    unasked: &[Peer],
) -> Vec<TargetKey> {
    let m = &mut *cx.memory.lock();
    probe_placement::replicas_to_probe(config, &want.chain, unasked, &m.recent, &mut m.rng)
}

/// What rounds of probes without a choice told.
struct Heard {
    /// Those that may take the request unprobed.
    open: Vec<Peer>,
    /// Whether anybody serves, but has no room.
    full: bool,
    /// The soonest that anybody wants to be asked again.
    retry: Option<Micros>,
}

impl Heard {
    fn new(peers: &[Peer]) -> Self {
        Self {
            open: peers.to_vec(),
            full: false,
            retry: None,
        }
    }

    /// Takes in a round. Those that are down or leaving say nothing of the rest, which may only be
    /// slow to answer.
    fn add(&mut self, answers: &[Answered], placed: &[probe_placement::Offer]) {
        let closed: Vec<_> = placed.iter().filter(|o| is_closed(o)).collect();
        self.open
            .retain(|p| !closed.iter().any(|o| o.target == p.target));
        self.full |= placed.len() > closed.len();
        let told = offers(answers).map(|o| o.retry).filter(|r| *r > 0).min();
        let told = told.map(Micros::from_millis);
        self.retry = [self.retry, told].into_iter().flatten().min();
    }

    /// Whom to offer the request without a probe's answer, or why nobody.
    fn unprobed(self, view: &View, want: &Wanted) -> Result<Vec<Picked>, Failure> {
        if self.full {
            return Err(failure(Code::Overloaded, self.retry.or(Some(PAUSE))));
        }
        if self.open.is_empty() {
            return Err(failure(Code::NoTarget, Some(PAUSE)));
        }
        let order = probe_placement::rendezvous_order(&want.chain, &self.open);
        Ok(unprobed_all(view, order))
    }
}

fn is_closed(o: &probe_placement::Offer) -> bool {
    matches!(
        o.state,
        probe_placement::State::Leaving | probe_placement::State::Loading
    )
}

/// The offers among answers.
fn offers(answers: &[Answered]) -> impl Iterator<Item = &Offer> {
    answers.iter().filter_map(|(_, o)| o.as_ref())
}

/// An offer in the terms of `policy::probe_placement`.
fn placed((target, offer): &Answered) -> Option<probe_placement::Offer> {
    let o = offer.as_ref()?;
    let state = match o.state() {
        wire::State::Serving => probe_placement::State::Serving,
        wire::State::Loading => probe_placement::State::Loading,
        wire::State::Full => probe_placement::State::Full,
        wire::State::Leaving | wire::State::Down => probe_placement::State::Leaving,
    };
    Some(probe_placement::Offer {
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

/// A choice with what its sidecar told.
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
