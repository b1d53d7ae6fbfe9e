//! What a caller asks of an engine, and the words it gets.

use serde::Deserialize;

/// Tokens of an answer whose request doesn't say.
const OUTPUT: usize = 16;

#[derive(Debug, Deserialize)]
pub(super) struct Ask {
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default = "output")]
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

fn output() -> usize {
    OUTPUT
}

impl Ask {
    /// The text that is cached: a prompt as it is, messages as role, colon, content, newline.
    pub(super) fn text(&self) -> String {
        let chat = || {
            self.messages
                .iter()
                .map(|m| format!("{}:{}\n", m.role, m.content))
        };
        self.prompt.clone().unwrap_or_else(|| chat().collect())
    }
}

/// The word at a place of a prompt's answer.
pub fn answer_token(prompt: &str, i: usize) -> String {
    let h = xxhash_rust::xxh3::xxh3_64_with_seed(prompt.as_bytes(), i as u64);
    format!(" w{}", h % 10_000)
}
