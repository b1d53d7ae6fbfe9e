//! Incarnation, weights and cache of the engine, and whether it takes requests.

use model::{Incarnation, Micros};
use policy::quarantine::Quarantine;
use prefix::{Block, Event, Index, Need};

use super::{EngineState, Scheduler, State};

impl<G> Scheduler<G> {
    /// Records the engine's state; returns whether its whole list of cached blocks has to be
    /// fetched.
    pub fn update_engine(&mut self, now: Micros, engine: &EngineState<'_>) -> bool {
        self.state = match self.state {
            State::Leaving => State::Leaving,
            _ if engine.loading || self.quiesced => State::Loading,
            _ => State::Serving,
        };
        if engine.incarnation != self.incarnation {
            self.reset_incarnation(now, engine.incarnation);
        }
        let switched = self.index.weights() != engine.weights;
        if switched {
            self.reset_weights(engine);
        }
        switched
    }

    /// Records that the target doesn't answer; returns the requests that were not dispatched.
    pub fn target_down(&mut self) -> Vec<G> {
        if self.state != State::Leaving {
            self.state = State::Down;
        }
        self.drain_queue()
    }

    /// Stops dispatching so that the engine can load weights, or ends that; returns the requests
    /// that were not dispatched.
    pub fn set_quiesced(&mut self, quiesced: bool) -> Vec<G> {
        self.quiesced = quiesced;
        match (quiesced, self.state) {
            (true, State::Serving) => {
                self.state = State::Loading;
                self.drain_queue()
            }
            _ => Vec::new(),
        }
    }

    /// Records that the process stops; returns the requests that were not dispatched.
    pub fn leave(&mut self) -> Vec<G> {
        self.state = State::Leaving;
        self.drain_queue()
    }

    /// Applies an event of the engine's cache.
    pub fn apply_event(&mut self, now: Micros, event: Event) -> Need {
        match self.needs_block_list {
            true => Need::Snapshot,
            false => self.index.apply(now, event),
        }
    }

    /// Replaces the cached blocks by the engine's list as it was after event `seq`.
    pub fn set_block_list(
        &mut self,
        now: Micros,
        incarnation: Incarnation,
        seq: u64,
        blocks: Vec<Block>,
    ) -> Need {
        self.needs_block_list &= incarnation != self.incarnation;
        self.index.reset(now, incarnation, seq, blocks)
    }

    /// Stops waiting for events that are overdue.
    pub fn expire_gaps(&mut self, now: Micros) -> Need {
        match (self.needs_block_list, self.index.tick(now)) {
            (true, _) => Need::Snapshot,
            (false, need) => need,
        }
    }

    fn reset_incarnation(&mut self, now: Micros, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.prefill_limit.reset();
        self.run_limit.reset();
        self.prefills_end = Micros::ZERO;
        // An engine that restarts with an empty cache publishes no event, so nothing else would
        // remove the blocks of its previous incarnation.
        let _ = self.index.reset(now, incarnation, 0, []);
    }

    fn reset_weights(&mut self, engine: &EngineState<'_>) {
        self.index = Index::new(prefix::Config::default(), engine.model, engine.weights);
        // Events arrive later than the report of the new weights. Events that are still to arrive
        // belong to the previous weights, and their blocks would be taken for blocks of the new
        // ones.
        self.needs_block_list = true;
        self.quarantine = Quarantine::new(self.quarantine_config);
    }

    /// Removes and returns all waiting requests.
    fn drain_queue(&mut self) -> Vec<G> {
        let held = self.held_suspects.drain(..).collect::<Vec<_>>();
        let all = self.queue.drain().into_iter().chain(held);
        all.map(|j| j.payload.grant).collect()
    }
}
