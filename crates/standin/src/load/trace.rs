//! Reads and writes traces of arrivals, and generates the prompt texts of arrivals.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::path::Path;
use std::sync::Arc;

use model::Class;
use serde::{Deserialize, Serialize};

use crate::load::LoadError;

/// Bytes of prompt that count as a token.
pub const TOKEN_BYTES: usize = 4;

/// Largest number of arrivals of a run; later ones are omitted.
pub const MAX_ARRIVALS: usize = 200_000;
/// Latest arrival of a run in milliseconds; later ones are omitted.
pub const MAX_AT_MS: u64 = 3_600_000;

/// One request of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// Milliseconds since the trace's start.
    pub at_ms: u64,
    /// Team that sends the request.
    pub team: String,
    /// Class of the request.
    #[serde(default)]
    pub class: Class,
    /// Path; below `/v1/` a completion, else a call of the plain service.
    pub path: String,
    /// Nested parts at the start of the prompt, the outermost first: id and number of tokens.
    #[serde(default)]
    pub prefix: Vec<(String, usize)>,
    /// Number of tokens after the prefix, which no other request shares.
    #[serde(default)]
    pub tail: usize,
    /// Number of tokens of the answer.
    #[serde(default)]
    pub output: usize,
    /// Whether the request may run more than once.
    #[serde(default = "yes")]
    pub idempotent: bool,
}

fn yes() -> bool {
    true
}

impl Arrival {
    /// Whether the request is a completion, answered by a model engine.
    pub fn completes(&self) -> bool {
        self.path.starts_with("/v1/")
    }
}

/// Reads a trace, sorted by time of arrival.
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

/// Generated texts by id; the same id always has the same text.
#[derive(Debug, Default)]
pub struct Texts {
    texts: HashMap<(String, usize), Arc<str>>,
}

impl Texts {
    /// The whole prompt of arrival `n`.
    pub fn prompt(&mut self, n: usize, a: &Arrival) -> String {
        let mut out = String::new();
        for (id, tokens) in &a.prefix {
            let key = (id.clone(), *tokens);
            let part = self
                .texts
                .entry(key)
                .or_insert_with(|| text(id, *tokens).into());
            out.push_str(part);
        }
        out + &text(&format!("tail {n}"), a.tail)
    }
}

/// A text of `tokens` tokens. A longer text of the same id starts with it.
pub fn text(id: &str, tokens: usize) -> String {
    let seed = xxhash_rust::xxh3::xxh3_64(id.as_bytes());
    let mut out = String::with_capacity(tokens * TOKEN_BYTES);
    for i in 0..tokens as u64 {
        let h = xxhash_rust::xxh3::xxh3_64_with_seed(&i.to_le_bytes(), seed);
        // Three hexadecimal digits and a space are one token. Writing to a string cannot fail.
        let _ = write!(out, "{:03x} ", h & 0xfff);
    }
    out
}
