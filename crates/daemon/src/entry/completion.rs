//! Completion requests: the fields that the entry reads, and those that it adds for engines.

use std::collections::BTreeMap;

use bytes::Bytes;
use model::{Class, Code};
use serde::Deserialize;
use serde_json::value::{to_raw_value, RawValue};

use crate::entry::problem::Problem;

/// Path of completions.
pub const COMPLETIONS: &str = "/v1/completions";
/// Path of chat completions.
pub const CHAT: &str = "/v1/chat/completions";
/// Maximum number of output tokens if the request sets none.
const DEFAULT_OUTPUT_TOKENS: u32 = 16;

/// A completion or chat request.
#[derive(Debug)]
pub struct Completion {
    fields: BTreeMap<String, Box<RawValue>>,
    /// Text whose prefixes engines cache: the prompt unchanged, or for each message the role, a
    /// colon, the content and a newline.
    pub prompt: String,
    /// Requested model.
    pub model: Option<String>,
    /// Whether the caller asked for server-sent events.
    pub stream: bool,
    /// Maximum number of output tokens.
    pub max_output_tokens: u32,
}

#[derive(Deserialize)]
struct Message {
    role: String,
    content: String,
}

/// Body fields that only the entry may set.
const RESERVED_FIELDS: [&str; 3] = ["cache_salt", "priority", "resume"];

/// Refuses a body with reserved fields on other paths of an engine: with a salt of its choice, a
/// caller could find another team's cache entries.
pub fn check_reserved_fields(body: &[u8]) -> Result<(), Problem> {
    let fields: BTreeMap<String, &RawValue> = serde_json::from_slice(body).unwrap_or_default();
    match RESERVED_FIELDS.iter().find(|f| fields.contains_key(**f)) {
        Some(f) => Err(bad_request(format!("`{f}` can't be set by callers"))),
        None => Ok(()),
    }
}

/// Values of the fields that the entry adds to a body for an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineFields<'a> {
    /// Salt of the cache: entries of one salt are never found under another.
    pub scope: &'a str,
    /// Priority: lower classes are served first.
    pub class: Class,
    /// Number of events that the caller already has.
    pub delivered: u64,
}

impl Completion {
    /// Parses a body.
    pub fn parse(body: &[u8]) -> Result<Self, Problem> {
        let fields: BTreeMap<String, Box<RawValue>> = serde_json::from_slice(body)
            .map_err(|e| bad_request(format!("body is no JSON object: {e}")))?;
        let prompt = match (fields.get("prompt"), fields.get("messages")) {
            (Some(p), None) => field::<String>("prompt", p)?,
            (None, Some(m)) => {
                let all = field::<Vec<Message>>("messages", m)?;
                all.iter()
                    .map(|m| format!("{}:{}\n", m.role, m.content))
                    .collect()
            }
            _ => return Err(bad_request("body needs either `prompt` or `messages`")),
        };
        let model = fields.get("model").map(|m| field("model", m)).transpose()?;
        let stream = fields
            .get("stream")
            .map(|s| field("stream", s))
            .transpose()?;
        let max_tokens = fields
            .get("max_tokens")
            .map(|n| field("max_tokens", n))
            .transpose()?;
        let (stream, max_output_tokens) = (
            stream.unwrap_or(false),
            max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS),
        );
        Ok(Self {
            prompt,
            model,
            stream,
            max_output_tokens,
            fields,
        })
    }

    /// Body for an engine. Values that the caller set for the added fields are overwritten: with a
    /// salt of its choice, it could find another team's cache entries.
    pub fn render(&self, added: EngineFields<'_>) -> Bytes {
        let mut fields: BTreeMap<&str, &RawValue> = self
            .fields
            .iter()
            .map(|(k, v)| (k.as_str(), v.as_ref()))
            .collect();
        let scope = raw(added.scope);
        let class = raw(added.class.index());
        let delivered = raw(added.delivered);
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

/// Parses the field `name`.
fn field<'a, T: Deserialize<'a>>(name: &str, raw: &'a RawValue) -> Result<T, Problem> {
    serde_json::from_str(raw.get()).map_err(|e| bad_request(format!("`{name}`: {e}")))
}

fn bad_request(message: impl Into<String>) -> Problem {
    Problem::not_run(Code::BadRequest, message)
}
