//! What a caller sent, as far as the entry has to understand it.

use std::collections::BTreeMap;

use bytes::Bytes;
use model::{Class, Code};
use serde::Deserialize;
use serde_json::value::{to_raw_value, RawValue};

use crate::entry::answer::Problem;

/// Paths whose bodies are completions.
pub const COMPLETIONS: &str = "/v1/completions";
/// Paths whose bodies are chats.
pub const CHAT: &str = "/v1/chat/completions";
/// Tokens of an answer whose request doesn't say.
const OUTPUT: u32 = 16;

/// A completion or chat request.
#[derive(Debug)]
pub struct Completion {
    fields: BTreeMap<String, Box<RawValue>>,
    /// The text that engines cache: a prompt as it is, messages as role, colon, content, newline.
    pub prompt: String,
    /// Model it names.
    pub model: Option<String>,
    /// Whether it wants server-sent events.
    pub stream: bool,
    /// Tokens that the answer may have.
    pub output: u32,
}

#[derive(Deserialize)]
struct Message {
    role: String,
    content: String,
}

/// Fields of a body that only the entry may set.
const OURS: [&str; 3] = ["cache_salt", "priority", "resume"];

/// Refuses a body for another path of an engine that sets what only the entry may set: with a salt
/// of its choice a caller could find another team's cache entries.
pub fn guard(body: &[u8]) -> Result<(), Problem> {
    let fields: BTreeMap<String, &RawValue> = serde_json::from_slice(body).unwrap_or_default();
    match OURS.iter().find(|f| fields.contains_key(**f)) {
        Some(f) => Err(bad(format!("`{f}` can't be set by callers"))),
        None => Ok(()),
    }
}

/// What the entry adds to a body for an engine.
#[derive(Clone, Copy, Debug)]
pub struct Added<'a> {
    /// Cache entries of one salt are never found under another.
    pub scope: &'a str,
    /// Lower is served first.
    pub class: Class,
    /// Events that the caller already has.
    pub delivered: u64,
}

impl Completion {
    /// Reads a body.
    pub fn parse(body: &[u8]) -> Result<Self, Problem> {
        let fields: BTreeMap<String, Box<RawValue>> = serde_json::from_slice(body)
            .map_err(|e| bad(format!("body is no JSON object: {e}")))?;
        let prompt = match (fields.get("prompt"), fields.get("messages")) {
            (Some(p), None) => read::<String>("prompt", p)?,
            (None, Some(m)) => {
                let all = read::<Vec<Message>>("messages", m)?;
                all.iter()
                    .map(|m| format!("{}:{}\n", m.role, m.content))
                    .collect()
            }
            _ => return Err(bad("body needs either `prompt` or `messages`")),
        };
        let model = fields.get("model").map(|m| read("model", m)).transpose()?;
        let stream = fields
            .get("stream")
            .map(|s| read("stream", s))
            .transpose()?;
        let output = fields
            .get("max_tokens")
            .map(|n| read("max_tokens", n))
            .transpose()?;
        let (stream, output) = (stream.unwrap_or(false), output.unwrap_or(OUTPUT));
        Ok(Self {
            prompt,
            model,
            stream,
            output,
            fields,
        })
    }

    /// The body for an engine. What a caller sets of the added fields itself is dropped: with a
    /// salt of its choice it could find another team's cache entries.
    pub fn render(&self, add: Added<'_>) -> Bytes {
        let mut fields: BTreeMap<&str, &RawValue> = self
            .fields
            .iter()
            .map(|(k, v)| (k.as_str(), v.as_ref()))
            .collect();
        let scope = raw(add.scope);
        let class = raw(add.class.index());
        let delivered = raw(add.delivered);
        fields.insert("cache_salt", &scope);
        fields.insert("priority", &class);
        fields.insert("resume", &delivered);
        serde_json::to_vec(&fields)
            .map(Bytes::from)
            .unwrap_or_default()
    }
}

fn raw(value: impl serde::Serialize) -> Box<RawValue> {
    to_raw_value(&value).unwrap_or_else(|_| RawValue::NULL.to_owned())
}

fn read<'a, T: Deserialize<'a>>(name: &str, raw: &'a RawValue) -> Result<T, Problem> {
    serde_json::from_str(raw.get()).map_err(|e| bad(format!("`{name}`: {e}")))
}

fn bad(message: impl Into<String>) -> Problem {
    Problem::unsent(Code::BadRequest, message)
}
