//! Exchanges that a sidecar knows, and those that it has promised never to run.
//!
//! An entry whose connection broke can't tell whether its request arrived. It asks on a new
//! connection. If the sidecar doesn't know the exchange, the request may still sit in a buffer of
//! the old connection and arrive later; were the answer just "unknown here", the entry would run
//! it elsewhere and the late arrival would run it again. So asking leaves a void mark: an
//! exchange asked for before it arrived is refused when it does. The marks outlive any
//! connection ([`MARK_TTL`]); both kinds are bounded by time.

use std::collections::HashMap;

use bytes::Bytes;
use model::Micros;

/// How long an exchange stays void. A connection that stayed silent for longer is broken by its
/// sender's own limits, minutes earlier.
pub const MARK_TTL: Micros = Micros::from_secs(600);

/// Names an exchange; 128 random bits drawn by the entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Token(pub Bytes);

/// Which life of a sidecar an entry means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncarnationMatch {
    /// This one.
    Current,
    /// An earlier one, or one at the same address on another host.
    Other,
    /// The entry wasn't told of any when it opened the exchange.
    Unknown,
}

impl IncarnationMatch {
    /// What the number in a frame means to a sidecar; 0 says nothing.
    pub fn compare(life: u64, mine: u64) -> Self {
        match life {
            0 => Self::Unknown,
            l if l == mine => Self::Current,
            _ => Self::Other,
        }
    }
}

/// What is known of a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup<T> {
    /// Nothing until now.
    New,
    /// It is here.
    Active(T),
    /// It was asked for before it arrived, or ended without running, and won't run here.
    Voided,
    /// It ran here and its answer is no longer kept, or it may have run in an earlier life.
    Ended,
    /// It was meant for another life and is not begun in this one.
    OtherIncarnation,
}

/// All exchanges of one life of a sidecar.
#[derive(Debug)]
pub struct Registry<T> {
    live: HashMap<Token, T>,
    void: HashMap<Token, Micros>,
    over: HashMap<Token, Micros>,
}

impl<T> Default for Registry<T> {
    fn default() -> Self {
        Self {
            live: HashMap::new(),
            void: HashMap::new(),
            over: HashMap::new(),
        }
    }
}

impl<T: Clone> Registry<T> {
    /// A request arrives; it is kept if its token is fresh.
    pub fn open(
        &mut self,
        meant: IncarnationMatch,
        token: Token,
        make: impl FnOnce() -> T,
    ) -> Lookup<T> {
        match self.live.get(&token) {
            _ if meant == IncarnationMatch::Other => Lookup::OtherIncarnation,
            Some(t) => Lookup::Active(t.clone()),
            None if self.void.contains_key(&token) => Lookup::Voided,
            None if self.over.contains_key(&token) => Lookup::Ended,
            None => {
                self.live.insert(token, make());
                Lookup::New
            }
        }
    }

    /// An entry asks for an exchange; from now on it runs only if it has arrived already.
    ///
    /// An entry that doesn't know whose life it means may have opened it in an earlier one. What
    /// is here is its own, since no two exchanges share a token; of what isn't nobody knows
    /// whether it ran.
    pub fn resume(&mut self, now: Micros, meant: IncarnationMatch, token: Token) -> Lookup<T> {
        match (meant, self.live.get(&token)) {
            (IncarnationMatch::Other, _) => return Lookup::Ended,
            (_, Some(t)) => return Lookup::Active(t.clone()),
            _ if self.over.contains_key(&token) => return Lookup::Ended,
            _ => self.void.insert(token, now + MARK_TTL),
        };
        match meant {
            IncarnationMatch::Current => Lookup::Voided,
            _ => Lookup::Ended,
        }
    }

    /// An exchange ended. A token that never ran stays void; one that ran must never be called
    /// void, or its caller would hear "not run" of something that did.
    pub fn close(&mut self, now: Micros, token: &Token, ran: bool) -> Option<T> {
        let marks = if ran { &mut self.over } else { &mut self.void };
        marks.insert(token.clone(), now + MARK_TTL);
        self.live.remove(token)
    }

    /// Drops marks that no connection can outlive.
    pub fn expire(&mut self, now: Micros) {
        self.void.retain(|_, at| *at > now);
        self.over.retain(|_, at| *at > now);
    }

    /// Exchanges that are here.
    pub fn live(&self) -> impl Iterator<Item = &T> {
        self.live.values()
    }

    /// How many exchanges are here.
    pub fn len(&self) -> usize {
        self.live.len()
    }

    /// Whether none is here.
    pub fn is_empty(&self) -> bool {
        self.live.is_empty()
    }
}
