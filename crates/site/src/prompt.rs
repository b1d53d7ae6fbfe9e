//! A prompt as a chain of named parts.
//!
//! Callers name the parts of a prompt in place of its text. A part that an engine holds saves work
//! only if the engine holds all parts before it too.

use std::fmt;

use xxhash_rust::xxh3::xxh3_64;

/// A part's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId(pub u64);

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Its name.
    pub id: PartId,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What a generation asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// The model's name.
    pub model: String,
    /// The parts in order; the last one belongs to this request or its session alone.
    pub parts: Vec<Part>,
    /// Tokens of the whole prompt.
    pub input_tokens: u32,
    /// Most tokens that may be generated.
    pub max_output_tokens: u32,
}

impl Prompt {
    /// The parts that other requests may have as well.
    pub fn shared(&self) -> &[Part] {
        match self.parts.split_last() {
            Some((_, shared)) => shared,
            None => &[],
        }
    }

    /// Tokens in the shared parts.
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|p| p.tokens).sum()
    }
}

/// Which cached parts a request may use: those of one model, one version of its weights and, for a
/// team that shares with nobody, of that team.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Scope(String);

impl Scope {
    /// The scope of a model's version, walled off for a team if one is given.
    pub fn new(model: &str, version: u64, wall: Option<&str>) -> Self {
        match wall {
            Some(team) => Self(format!("{model}.{version}.{team}")),
            None => Self(format!("{model}.{version}")),
        }
    }

    /// The scope as engines are told it.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// A short key for indexes.
    pub fn key(&self) -> u64 {
        scope_key(&self.0)
    }
}

/// The short key of a scope's text.
pub fn scope_key(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
