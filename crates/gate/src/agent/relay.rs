//! Conversion of relayed states between [`policy::relay`] and the messages in an [`Update`].

use model::Micros;
use policy::relay::{Confirmation, Relay, ShortKey};
use policy::slots::{ModelKey, State};

use crate::update::{ClaimConfirmation, RelayedState, RelayedWeights, Update};

/// Sets the fields about states out of reach in an update to other agents.
pub(super) fn fill_update(state: &State, update: &mut Update) {
    update.silent = state.silent.iter().map(|k| k.0).collect();
    update.known = state.known;
    update.confirmed = encode_claims(&state.confirmed);
    update.relays = state.relays.iter().map(encode).collect();
}

/// Adds the fields about states out of reach to an agent's state.
pub(super) fn add_to_state(update: &Update, state: &mut State) {
    state.silent = update.silent.iter().copied().map(ShortKey).collect();
    state.known = update.known;
    state.confirmed = decode_claims(&update.confirmed);
    state.relays = update.relays.iter().map(decode).collect();
}

/// Copy of relayed states for comparison, with only what other agents must receive at once: which
/// engines load, claim a slot or have confirmed a claim.
pub(super) fn without_times(relays: &[RelayedState]) -> Vec<RelayedState> {
    let constant = |r: &RelayedState| RelayedState {
        engine: r.engine,
        loading_ms: r.loading_ms.map(|_| 0),
        claims: r.claims,
        process: r.process,
        confirmed: claims_without_times(&r.confirmed),
        ..RelayedState::default()
    };
    relays.iter().map(constant).collect()
}

/// Copy of confirmations without times, for comparison.
pub(super) fn claims_without_times(claims: &[ClaimConfirmation]) -> Vec<ClaimConfirmation> {
    let constant = |c: &ClaimConfirmation| ClaimConfirmation { sent_us: 0, ..*c };
    claims.iter().map(constant).collect()
}

fn encode(relay: &Relay) -> RelayedState {
    let ms = |t: Micros| u32::try_from(t.as_millis()).unwrap_or(u32::MAX);
    let state = &relay.state;
    let weights = state.weights.iter();
    RelayedState {
        engine: state.engine,
        weights: weights
            .map(|(model, version)| RelayedWeights {
                model: model.0,
                version: *version,
            })
            .collect(),
        due_ms: state.due.map(ms),
        loading_ms: state.loading.map(ms),
        load_ms: state.load_time.map(ms),
        wanted: state.desired,
        claims: state.claims,
        process: state.process,
        sent_us: state.sent.0,
        received_us: relay.received.0,
        confirmed: encode_claims(&state.confirmed),
    }
}

fn decode(relay: &RelayedState) -> Relay {
    let ms = |ms: u32| Micros::from_millis(ms.into());
    let weights = relay.weights.iter();
    Relay {
        received: Micros(relay.received_us),
        state: State {
            engine: relay.engine,
            weights: weights.map(|w| (ModelKey(w.model), w.version)).collect(),
            loading: relay.loading_ms.map(ms),
            due: relay.due_ms.map(ms),
            load_time: relay.load_ms.map(ms),
            desired: relay.wanted,
            claims: relay.claims,
            process: relay.process,
            sent: Micros(relay.sent_us),
            confirmed: decode_claims(&relay.confirmed),
            ..State::default()
        },
    }
}

fn encode_claims(claims: &[Confirmation]) -> Vec<ClaimConfirmation> {
    let encode = |c: &Confirmation| ClaimConfirmation {
        engine: c.engine.0,
        sent_us: c.sent.0,
    };
    claims.iter().map(encode).collect()
}

fn decode_claims(claims: &[ClaimConfirmation]) -> Vec<Confirmation> {
    let decode = |c: &ClaimConfirmation| Confirmation {
        engine: ShortKey(c.engine),
        sent: Micros(c.sent_us),
    };
    claims.iter().map(decode).collect()
}
