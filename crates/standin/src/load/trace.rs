//! Arrivals as a trace spells them, and the texts that they stand for.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::path::Path;
use std::sync::Arc;

use model::Class;
use serde::{Deserialize, Serialize};

use crate::load::LoadError;

/// Bytes that stand for a token.
pub const TOKEN_BYTES: usize = 4;

/// Most arrivals of one run.
pub const MAX_ARRIVALS: usize = 200_000;
/// Milliseconds after which arrivals of a trace are left out.
pub const MAX_AT_MS: u64 = 3_600_000;

/// One request of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// Milliseconds since the trace's start.
    pub at_ms: u64,
    /// Who sends it.
    pub team: String,
    /// How urgent it is.
    #[serde(default)]
    pub class: Class,
    /// Path; below `/v1/` a completion, else a call of the plain service.
    pub path: String,
    /// Nested parts of the prompt's front, the outermost first: id and tokens.
    #[serde(default)]
    pub prefix: Vec<(String, usize)>,
    /// Tokens that no other request shares.
    #[serde(default)]
    pub tail: usize,
    /// Tokens of the answer.
    #[serde(default)]
    pub output: usize,
    /// Whether it may run more than once.
    #[serde(default = "yes")]
    pub idempotent: bool,
}

fn yes() -> bool {
    true
}

impl Arrival {
    /// Whether a model engine answers it.
    pub fn completes(&self) -> bool {
        self.path.starts_with("/v1/")
    }
}

/// Reads a trace and puts it in order of time.
pub fn read(path: &Path) -> Result<Vec<Arrival>, LoadError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| LoadError::File {
        path: name.clone(),
        error,
    })?;
    let lines = text.lines().enumerate();
    let mut all = lines
        .filter(|(_, l)| !l.trim().is_empty())
        .map(|(i, l)| {
            serde_json::from_str::<Arrival>(l).map_err(|error| LoadError::Line {
                path: name.clone(),
                line: i + 1,
                error,
            })
        })
        .collect::<Result<Vec<_>, _>>()?;
    all.sort_by_key(|a| a.at_ms);
    all.retain(|a| a.at_ms <= MAX_AT_MS);
    all.truncate(MAX_ARRIVALS);
    Ok(all)
}

/// Writes a trace.
pub fn write(path: &Path, all: &[Arrival]) -> Result<(), LoadError> {
    let lines = all.iter().filter_map(|a| serde_json::to_string(a).ok());
    let text: String = lines.map(|l| l + "\n").collect();
    std::fs::write(path, text).map_err(|error| LoadError::File {
        path: path.display().to_string(),
        error,
    })
}

/// Texts by id; the same id always gives the same text.
#[derive(Debug, Default)]
pub struct Texts {
    known: HashMap<(String, usize), Arc<str>>,
}

impl Texts {
    /// The whole prompt of the `n`th arrival.
    pub fn prompt(&mut self, n: usize, a: &Arrival) -> String {
        let mut out = String::new();
        for (id, tokens) in &a.prefix {
            let key = (id.clone(), *tokens);
            let part = self
                .known
                .entry(key)
                .or_insert_with(|| text(id, *tokens).into());
            out.push_str(part);
        }
        out + &text(&format!("tail {n}"), a.tail)
    }
}

/// A text of so many tokens; a longer one of the same id begins with it.
pub fn text(id: &str, tokens: usize) -> String {
    let seed = xxhash_rust::xxh3::xxh3_64(id.as_bytes());
    let mut out = String::with_capacity(tokens * TOKEN_BYTES);
    for i in 0..tokens as u64 {
        let h = xxhash_rust::xxh3::xxh3_64_with_seed(&i.to_le_bytes(), seed);
        // Three hexadecimal digits and a space are one token; writing to a string can't fail.
        let _ = write!(out, "{:03x} ", h & 0xfff);
    }
    out
}
