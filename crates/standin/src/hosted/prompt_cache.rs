//! What a replica holds of prompts, and what it tells of that.

use std::collections::BTreeMap;

use serde_json::{json, Value};

/// Parts held, and the latest changes of them.
#[derive(Debug, Default)]
pub struct PromptCache {
    held: BTreeMap<(String, String), u32>,
    changes: Vec<Value>,
    next: u64,
    first: u64,
    listed: usize,
    restarts: u64,
}

impl PromptCache {
    /// Holds a part under a scope; no tokens drop it.
    pub fn store(&mut self, scope: &str, part: &str, tokens: u32) {
        let key = (scope.to_owned(), part.to_owned());
        let sign = match tokens {
            0 => {
                self.held.remove(&key);
                "-"
            }
            n => {
                self.held.insert(key, n);
                "+"
            }
        };
        let change = json!([self.next, sign, scope, part, tokens, ""]);
        self.changes.push(change);
        self.next += 1;
    }

    /// Keeps no change of before for those who haven't asked yet.
    pub fn drop_changes(&mut self) {
        self.changes.clear();
        self.first = self.next;
    }

    /// Holds nothing, as after another start.
    pub fn restart(&mut self) {
        *self = Self {
            restarts: self.restarts + 1,
            ..Self::default()
        };
    }

    /// The changes since one.
    pub fn changes(&self, since: u64) -> Value {
        let seen = since.saturating_sub(self.first) as usize;
        let new: Vec<_> = self.changes.iter().skip(seen).cloned().collect();
        json!({"boot_epoch": self.restarts + 1, "next": self.next, "lost": since < self.first, "events": new})
    }

    /// All that is held.
    pub fn list(&mut self) -> Value {
        self.listed += 1;
        let held = self.held.iter();
        let held: Vec<_> = held.map(|((s, p), n)| json!([s, p, n, ""])).collect();
        json!({"boot_epoch": self.restarts + 1, "next": self.next, "held": held})
    }

    /// Times that the whole list was read.
    pub fn listed(&self) -> usize {
        self.listed
    }
}
