//! Conversion of probes and their answers between the wire format and the scheduler's types.

use model::{BlockHash, Class, Micros};
use prefix::Marks;
use wire::{Offer, Probe};

use crate::sidecar::scheduler::{ProbeAnswer, ProbeRequest, State};

/// Converts a probe from the wire format.
pub fn request(p: Probe) -> ProbeRequest {
    let points = p.marks.iter().map(|m| prefix::Mark {
        blocks: m.blocks,
        hash: BlockHash(m.hash),
    });
    ProbeRequest {
        probe_id: p.id,
        marks: Marks::from_points(points),
        team: p.team,
        class: Class::from_index(p.class as usize),
        blocks: p.blocks,
        fingerprint: p.fingerprint,
    }
}

/// Converts an answer to the wire format; the caller fills in the IDs of the probe and the sidecar.
pub fn offer(answer: &ProbeAnswer, state: State) -> Offer {
    let state = match state {
        State::Serving if answer.refusal.is_some() => wire::State::Full,
        State::Serving => wire::State::Serving,
        State::Loading => wire::State::Loading,
        State::Leaving => wire::State::Leaving,
        State::Down => wire::State::Down,
    };
    let retry = answer.refusal.and_then(|r| r.retry);
    Offer {
        matched: answer.cached_blocks,
        wait: answer.wait.0,
        prefill: answer.prefill_per_block.0.saturating_mul(1_000),
        state: state.into(),
        convicted: answer.convicted,
        retry: retry.map_or(0, Micros::as_millis),
        busy: (answer.utilization * 1e3) as u32,
        ..Offer::default()
    }
}
