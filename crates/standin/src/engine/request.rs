//! Completion requests, and the tokens that an engine answers with.

use serde::Deserialize;

/// Tokens of an answer if the request has no `max_tokens`.
const DEFAULT_MAX_TOKENS: usize = 16;

/// The body of a completion request, with a prompt or with chat messages.
#[derive(Debug, Deserialize)]
pub(super) struct CompletionRequest {
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default = "default_max_tokens")]
    pub(super) max_tokens: usize,
    #[serde(default)]
    pub(super) stream: bool,
    #[serde(default)]
    pub(super) cache_salt: String,
    #[serde(default)]
    pub(super) priority: i64,
    #[serde(default)]
    pub(super) resume: usize,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: String,
}

fn default_max_tokens() -> usize {
    DEFAULT_MAX_TOKENS
}

impl CompletionRequest {
    /// The prompt text, as used for the prefix cache: a prompt unchanged, each chat message as
    /// `role:content` and a newline.
    pub(super) fn prompt_text(&self) -> String {
        let chat = || {
            self.messages
                .iter()
                .map(|m| format!("{}:{}\n", m.role, m.content))
        };
        self.prompt.clone().unwrap_or_else(|| chat().collect())
    }
}

/// Token `i` of the answer to a prompt. A prompt always has the same answer.
pub fn answer_token(prompt: &str, i: usize) -> String {
    let h = xxhash_rust::xxh3::xxh3_64_with_seed(prompt.as_bytes(), i as u64);
    format!(" w{}", h % 10_000)
}
