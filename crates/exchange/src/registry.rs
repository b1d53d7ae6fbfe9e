//! Registry of a sidecar's exchanges: active ones, ended ones, and voided ones that must never run.
//!
//! When its connection breaks, an entry can't know whether its request arrived, so it tries to
//! resume the exchange on a new connection. If the sidecar doesn't know the exchange, the request
//! may still be in a buffer of the old connection and arrive later: the entry would send it to
//! another replica and the late arrival would run it a second time. Therefore an attempt to resume
//! an unknown exchange voids its token, and a request that arrives later with that token is
//! refused. Marks of voided and of ended exchanges are kept for [`MARK_TTL`], which is longer than
//! any connection can stay silent.

use std::collections::HashMap;

use bytes::Bytes;
use model::Micros;

/// How long the marks of voided and ended exchanges are kept. The sender's own limits close a
/// silent connection minutes earlier, so no request can arrive after its mark has expired.
pub const MARK_TTL: Micros = Micros::from_secs(600);

/// Identifies an exchange; 128 random bits drawn by the entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Token(pub Bytes);

/// How the sidecar incarnation that an entry addresses compares with the sidecar's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncarnationMatch {
    /// The sidecar's own incarnation.
    Current,
    /// An earlier incarnation, or a process that had the same address on another host.
    Other,
    /// The entry didn't know the incarnation when it opened the exchange.
    Unknown,
}

impl IncarnationMatch {
    /// Compares the incarnation in a frame with the sidecar's own; 0 in a frame means unknown.
    pub fn compare(addressed: u64, own: u64) -> Self {
        match addressed {
            0 => Self::Unknown,
            i if i == own => Self::Current,
            _ => Self::Other,
        }
    }
}

/// Result of looking up a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup<T> {
    /// The token was not known before.
    New,
    /// The exchange is active.
    Active(T),
    /// The exchange won't run here: it was voided before it arrived, or it ended without running.
    Voided,
    /// The exchange ran here and its answer is no longer kept, or it may have run in an earlier
    /// incarnation.
    Ended,
    /// The request is addressed to another incarnation and is not started in this one.
    OtherIncarnation,
}

/// All exchanges of one sidecar incarnation.
#[derive(Debug)]
pub struct Registry<T> {
    active: HashMap<Token, T>,
    /// Tokens that must not run here, with the time at which each mark expires.
    voided: HashMap<Token, Micros>,
    /// Tokens that ran here, with the time at which each mark expires.
    ended: HashMap<Token, Micros>,
}

impl<T> Default for Registry<T> {
    fn default() -> Self {
        Self {
            active: HashMap::new(),
            voided: HashMap::new(),
            ended: HashMap::new(),
        }
    }
}

impl<T: Clone> Registry<T> {
    /// Looks up the token of an arriving request and registers the request if the token is new.
    pub fn open(
        &mut self,
        incarnation: IncarnationMatch,
        token: Token,
        make: impl FnOnce() -> T,
    ) -> Lookup<T> {
        match self.active.get(&token) {
            _ if incarnation == IncarnationMatch::Other => Lookup::OtherIncarnation,
            Some(t) => Lookup::Active(t.clone()),
            None if self.voided.contains_key(&token) => Lookup::Voided,
            None if self.ended.contains_key(&token) => Lookup::Ended,
            None => {
                self.active.insert(token, make());
                Lookup::New
            }
        }
    }

    /// Looks up an exchange that an entry wants to resume, and voids its token if it is not known.
    ///
    /// An entry that doesn't know the sidecar's incarnation may have opened the exchange in an
    /// earlier one. A registered exchange is the entry's own, since tokens are unique; for any
    /// other it is not known whether it ran.
    pub fn resume(
        &mut self,
        now: Micros,
        incarnation: IncarnationMatch,
        token: Token,
    ) -> Lookup<T> {
        match (incarnation, self.active.get(&token)) {
            (IncarnationMatch::Other, _) => return Lookup::Ended,
            (_, Some(t)) => return Lookup::Active(t.clone()),
            _ if self.ended.contains_key(&token) => return Lookup::Ended,
            _ => self.voided.insert(token, now + MARK_TTL),
        };
        match incarnation {
            IncarnationMatch::Current => Lookup::Voided,
            _ => Lookup::Ended,
        }
    }

    /// Removes an exchange that has ended and leaves a mark. One that ran must never be marked as
    /// voided, or its caller would get the outcome "not run" for a request that did run.
    pub fn close(&mut self, now: Micros, token: &Token, ran: bool) -> Option<T> {
        let marks = if ran {
            &mut self.ended
        } else {
            &mut self.voided
        };
        marks.insert(token.clone(), now + MARK_TTL);
        self.active.remove(token)
    }

    /// Drops expired marks.
    pub fn expire(&mut self, now: Micros) {
        self.voided.retain(|_, at| *at > now);
        self.ended.retain(|_, at| *at > now);
    }

    /// The active exchanges.
    pub fn active(&self) -> impl Iterator<Item = &T> {
        self.active.values()
    }

    /// Number of active exchanges.
    pub fn len(&self) -> usize {
        self.active.len()
    }

    /// Whether no exchange is active.
    pub fn is_empty(&self) -> bool {
        self.active.is_empty()
    }
}
