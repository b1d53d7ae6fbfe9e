//! The prompt tokens that an engine has yet to prefill, summed over all entries.
//!
//! Load pattern: many entries send to the same engines, and each has data only on its own requests. All of
//! them see the same engine as idle and choose it at once. An engine's own report counts requests, not the
//! tokens that they have yet to prefill, which differ by a factor of a hundred.
//!
//! Entries report each prompt that they send, and its first event, to the engine's sidecar. A prompt that is
//! neither prefilled nor cancelled stops counting after a time, so that a lost update doesn't make an engine
//! look busy forever.
//!
//! The speed of each engine isn't estimated from these updates: the backlog of a slow engine grows here and
//! diverts prompts by itself. With estimates from these updates, the estimates differed more than the engines
//! did, prompts moved from engines that held their openings to engines that were thought faster, and the value
//! of the answers at 52 and 56 engines fell from 0.42 and 0.50 to 0.31 and 0.36. One prefill speed is estimated
//! for all engines ([`crate::prefill_rate`]) and, where engines are known to be uneven, each one's factor on it,
//! shrunk towards 1 ([`crate::engine_speed`]).
//!
//! An expiry of 3 s is longer than the wait of nearly all prompts, and short relative to the time in which
//! load shifts.

use std::collections::HashMap;

use model::Micros;

use crate::prefill_priority::{self, TIERS};

/// How long a prompt counts without a further update.
const EXPIRY: Micros = Micros::from_secs(3);

/// Tokens to prefill, by the urgency step of their prompts ([`crate::prefill_priority::tier`]).
pub type UnreadTokens = [u32; TIERS];

/// A prompt that hasn't been prefilled yet.
#[derive(Clone, Copy, Debug)]
struct UnreadPrompt {
    tokens: u32,
    step: usize,
    /// Whether no other prompt was waiting when it came.
    alone: bool,
    until: Micros,
}

/// Prompts that an engine has yet to prefill, by a hash of their request's id.
#[derive(Debug, Default)]
pub struct Backlog {
    open: HashMap<u64, UnreadPrompt>,
    unread: UnreadTokens,
}

impl Backlog {
    /// Adds a prompt with its number of tokens to prefill; replaces an earlier entry of the same request.
    pub fn add(&mut self, now: Micros, request: u64, tokens: u32) {
        self.take(request);
        let open = UnreadPrompt {
            tokens,
            step: prefill_priority::tier(tokens),
            alone: self.open.is_empty(),
            until: now + EXPIRY,
        };
        self.open.insert(request, open);
        self.unread[open.step] = self.unread[open.step].saturating_add(tokens);
    }

    /// Removes a prompt that has been prefilled or cancelled.
    pub fn remove(&mut self, request: u64) {
        self.take(request);
    }

    /// Whether a prompt that waits for its prefill found no other one waiting.
    pub fn was_alone(&self, request: u64) -> bool {
        self.open.get(&request).is_some_and(|o| o.alone)
    }

    fn take(&mut self, request: u64) -> Option<UnreadPrompt> {
        let open = self.open.remove(&request)?;
        let unread = &mut self.unread[open.step];
        *unread = unread.saturating_sub(open.tokens);
        Some(open)
    }

    /// Removes expired prompts.
    pub fn expire(&mut self, now: Micros) {
        let late: Vec<_> = self
            .open
            .iter()
            .filter(|(_, o)| o.until <= now)
            .map(|(request, _)| *request)
            .collect();
        late.into_iter().for_each(|r| self.remove(r));
    }

    /// Removes all prompts, for use after a restart of the engine.
    pub fn clear(&mut self) {
        self.open.clear();
        self.unread = UnreadTokens::default();
    }

    /// Number of prompts to prefill.
    pub fn unread_prompts(&self) -> u32 {
        u32::try_from(self.open.len()).unwrap_or(u32::MAX)
    }

    /// Number of tokens to prefill.
    pub fn unread_tokens(&self) -> UnreadTokens {
        self.unread
    }
}
