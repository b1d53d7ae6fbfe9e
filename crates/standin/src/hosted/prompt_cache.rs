//! The prompt parts that a replica holds, and the feed and list in which it reports them.

use std::collections::BTreeMap;

use serde_json::{json, Value};

/// The parts held and their latest changes.
#[derive(Debug, Default)]
pub struct PromptCache {
    held: BTreeMap<(String, String), u32>,
    changes: Vec<Value>,
    next: u64,
    first_kept: u64,
    list_reads: usize,
    restarts: u64,
}

impl PromptCache {
    /// Stores a part under a scope; zero tokens remove it.
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

    /// Drops the recorded changes: a reader that has not fetched them is informed of the loss.
    pub fn drop_changes(&mut self) {
        self.changes.clear();
        self.first_kept = self.next;
    }

    /// Empties the cache, as a restart of the replica does.
    pub fn restart(&mut self) {
        *self = Self {
            restarts: self.restarts + 1,
            ..Self::default()
        };
    }

    /// The changes from sequence number `since`, as JSON.
    pub fn changes(&self, since: u64) -> Value {
        let skipped = since.saturating_sub(self.first_kept) as usize;
        let new: Vec<_> = self.changes.iter().skip(skipped).cloned().collect();
        json!({"boot_epoch": self.restarts + 1, "next": self.next, "lost": since < self.first_kept, "events": new})
    }

    /// All parts held, as JSON.
    pub fn list(&mut self) -> Value {
        self.list_reads += 1;
        let held = self.held.iter();
        let held: Vec<_> = held.map(|((s, p), n)| json!([s, p, n, ""])).collect();
        json!({"boot_epoch": self.restarts + 1, "next": self.next, "held": held})
    }

    /// Number of times that the whole list was read.
    pub fn list_reads(&self) -> usize {
        self.list_reads
    }
}
