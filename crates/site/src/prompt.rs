//! Prompts as chains of identified parts, and the scopes in which cached parts may be reused.
//!
//! Callers identify the parts of a prompt by id; the text of the prompt isn't needed to route a
//! request. An engine can reuse a cached part only if it has all preceding parts cached as well.

use std::fmt;

use xxhash_rust::xxh3::xxh3_64;

/// Id of a prompt part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId(pub u64);

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Id of the part.
    pub id: PartId,
    /// Length of the part, in tokens.
    pub tokens: u32,
}

/// The model, prompt and output limit of a generation request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Name of the model.
    pub model: String,
    /// Parts of the prompt in order; the last one is specific to this request or its session.
    pub parts: Vec<Part>,
    /// Length of the whole prompt, in tokens.
    pub input_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_output_tokens: u32,
}

impl Prompt {
    /// All parts but the last, which other requests may have in common.
    pub fn shared(&self) -> &[Part] {
        match self.parts.split_last() {
            Some((_, shared)) => shared,
            None => &[],
        }
    }

    /// Total length of the shared parts, in tokens.
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|p| p.tokens).sum()
    }
}

/// The set of cached parts that a request may use: those of one model, one version of its weights
/// and, for an isolated team, only that team's own.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Scope(String);

impl Scope {
    /// The scope of one version of a model, limited to a team if one is given.
    pub fn new(model: &str, version: u64, isolated_team: Option<&str>) -> Self {
        match isolated_team {
            Some(team) => Self(format!("{model}.{version}.{team}")),
            None => Self(format!("{model}.{version}")),
        }
    }

    /// The text that identifies the scope to engines.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Hash of the scope, used as a key in indexes.
    pub fn key(&self) -> u64 {
        scope_key(&self.0)
    }
}

/// Hash of the text that identifies a scope.
pub fn scope_key(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
