//! What an engine has yet to read, summed over all entries.
//!
//! Load pattern: many entries send to the same engines and know only what they have sent themselves.
//! Each sees the engine as idle that the others have just chosen too. An engine's own report counts
//! requests, not the tokens that they have left to read, which differ by a factor of a hundred.
//!
//! Entries tell the engine's sidecar of each prompt that they send and of its first event. What is
//! neither read nor given up after a time counts no more, so that a lost word doesn't make an engine
//! look busy for good.
//!
//! The speed of each engine isn't learnt: what a slow one has yet to read piles up here and turns
//! prompts away by itself. Learning it from these words was tried; the estimates then differed more
//! than the engines, prompts moved from their holders to engines thought faster, and worth at 52 and 56
//! engines fell from 0.42 and 0.50 to 0.31 and 0.36. What is learnt is one pace for all ([`crate::pace`]).
//!
//! Grounds: an expiry of 3 s is longer than nearly all prompts wait, and short beside the time that
//! load takes to shift.

use std::collections::HashMap;

use model::Micros;

use crate::urgency::{self, STEPS};

/// How long a prompt counts without a further word.
const EXPIRY: Micros = Micros::from_secs(3);

/// Tokens to read, by the step of urgency that their prompts have ([`crate::urgency::step`]).
pub type UnreadTokens = [u32; STEPS];

/// A prompt that is yet to be read.
#[derive(Clone, Copy, Debug)]
struct UnreadPrompt {
    tokens: u32,
    step: usize,
    until: Micros,
}

/// Prompts that an engine has yet to read, by a hash of their request's id.
#[derive(Debug, Default)]
pub struct Backlog {
    open: HashMap<u64, UnreadPrompt>,
    unread: UnreadTokens,
}

impl Backlog {
    /// Notes a prompt with some tokens to read.
    pub fn add(&mut self, now: Micros, request: u64, tokens: u32) {
        self.take(request);
        let open = UnreadPrompt {
            tokens,
            step: urgency::step(tokens),
            until: now + EXPIRY,
        };
        self.open.insert(request, open);
        self.unread[open.step] = self.unread[open.step].saturating_add(tokens);
    }

    /// Notes that a prompt has been read or won't be.
    pub fn remove(&mut self, request: u64) {
        self.take(request);
    }

    fn take(&mut self, request: u64) -> Option<UnreadPrompt> {
        let open = self.open.remove(&request)?;
        let unread = &mut self.unread[open.step];
        *unread = unread.saturating_sub(open.tokens);
        Some(open)
    }

    /// Forgets what has expired.
    pub fn expire(&mut self, now: Micros) {
        let late: Vec<_> = self
            .open
            .iter()
            .filter(|(_, o)| o.until <= now)
            .map(|(request, _)| *request)
            .collect();
        late.into_iter().for_each(|r| self.remove(r));
    }

    /// Forgets all, as when the engine has started again.
    pub fn clear(&mut self) {
        self.open.clear();
        self.unread = UnreadTokens::default();
    }

    /// Prompts to read.
    pub fn unread_prompts(&self) -> u32 {
        u32::try_from(self.open.len()).unwrap_or(u32::MAX)
    }

    /// Tokens to read.
    pub fn unread_tokens(&self) -> UnreadTokens {
        self.unread
    }
}
