//! Probes as the decisions know them, and their answers as the wire does.

use model::{BlockHash, Class, Micros};
use prefix::Marks;
use wire::{Offer, Probe};

use crate::sidecar::decide::{Question, State, Told};

/// What a probe asks.
pub fn question(p: Probe) -> Question {
    let points = p.marks.iter().map(|m| prefix::Mark {
        blocks: m.blocks,
        hash: BlockHash(m.hash),
    });
    Question {
        probe: p.id,
        marks: Marks::from_points(points),
        team: p.team,
        class: Class::from_index(p.class as usize),
        blocks: p.blocks,
        fingerprint: p.fingerprint,
    }
}

/// What it is told; whose answer it is remains to be filled in.
pub fn offer(told: &Told, state: State) -> Offer {
    let state = match state {
        State::Serving if told.refusal.is_some() => wire::State::Full,
        State::Serving => wire::State::Serving,
        State::Loading => wire::State::Loading,
        State::Leaving => wire::State::Leaving,
        State::Down => wire::State::Down,
    };
    let retry = told.refusal.and_then(|r| r.retry);
    Offer {
        matched: told.matched,
        wait: told.wait.0,
        prefill: told.prefill.0.saturating_mul(1_000),
        state: state.into(),
        convicted: told.convicted,
        retry: retry.map_or(0, Micros::as_millis),
        busy: (told.busy * 1e3) as u32,
        ..Offer::default()
    }
}
