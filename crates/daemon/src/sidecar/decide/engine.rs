//! The engine's life, weights and cache as they are known here, and whether it takes work.

use model::{Incarnation, Micros};
use policy::quarantine::Quarantine;
use prefix::{Block, Event, Index, Need};

use super::{Decide, Found, State};

impl<G> Decide<G> {
    /// The target's life and what it serves; true if its whole cache has to be fetched.
    pub fn engine(&mut self, now: Micros, found: &Found<'_>) -> bool {
        self.state = match self.state {
            State::Leaving => State::Leaving,
            _ if found.loading || self.quiet => State::Loading,
            _ => State::Serving,
        };
        if found.life != self.engine {
            self.restarted(now, found.life);
        }
        let switched = self.index.weights() != found.weights;
        if switched {
            self.switched(found);
        }
        switched
    }

    /// The target doesn't answer; gives back what was not handed over.
    pub fn down(&mut self) -> Vec<G> {
        if self.state != State::Leaving {
            self.state = State::Down;
        }
        self.give_back()
    }

    /// Leaves the target alone for an order, or ends that; gives back what was not handed over.
    pub fn quiet(&mut self, on: bool) -> Vec<G> {
        self.quiet = on;
        match (on, self.state) {
            (true, State::Serving) => {
                self.state = State::Loading;
                self.give_back()
            }
            _ => Vec::new(),
        }
    }

    /// The process stops; gives back what was not handed over.
    pub fn leave(&mut self) -> Vec<G> {
        self.state = State::Leaving;
        self.give_back()
    }

    /// Takes an event of the engine's cache.
    pub fn event(&mut self, now: Micros, event: Event) -> Need {
        match self.unlisted {
            true => Need::Snapshot,
            false => self.index.apply(now, event),
        }
    }

    /// Takes the engine's list of blocks as it was after an event.
    pub fn listed(&mut self, now: Micros, life: Incarnation, seq: u64, blocks: Vec<Block>) -> Need {
        self.unlisted &= life != self.engine;
        self.index.reset(now, life, seq, blocks)
    }

    /// Gives up events that stay missing.
    pub fn tick(&mut self, now: Micros) -> Need {
        match (self.unlisted, self.index.tick(now)) {
            (true, _) => Need::Snapshot,
            (false, need) => need,
        }
    }

    fn restarted(&mut self, now: Micros, life: Incarnation) {
        self.engine = life;
        self.prefills.reset();
        self.runs.reset();
        self.until = Micros::ZERO;
        // An engine that came back empty has no event to publish, so that nothing else would
        // end the claims on its dead life's blocks.
        let _ = self.index.reset(now, life, 0, []);
    }

    fn switched(&mut self, found: &Found<'_>) {
        self.index = Index::new(prefix::Config::default(), found.model, found.weights);
        // Events are later than the load: those of the older weights are still to come, and
        // would be taken for blocks of these.
        self.unlisted = true;
        self.quarantine = Quarantine::new(self.tuned);
    }

    /// Empties the queue.
    fn give_back(&mut self) -> Vec<G> {
        let held = self.held.drain(..).collect::<Vec<_>>();
        let all = self.queue.drain().into_iter().chain(held);
        all.map(|j| j.payload.grant).collect()
    }
}
