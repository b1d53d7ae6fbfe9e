//! Index from a request's team, path, method and model to the rules that can match it.
//!
//! A fleet has hundreds of rules and evaluates them thousands of times a second. A linear scan
//! costs more the later the matching rule is in the list. This index instead keeps, for each value
//! of each of the four properties, a bit set of the rules that accept the value, which includes
//! those without a condition on the property. A lookup intersects four bit sets one machine word at
//! a time and tests the remaining conditions of only those rules that are in all four, in order.
//!
//! The method is bit-vector classification: Lakshman and Stiliadis, "High-speed policy-based packet
//! forwarding using efficient multi-dimensional range matching", 1998.

use std::collections::{BTreeMap, HashMap};

use crate::condition::Condition;
use crate::decide::Facts;
use crate::units::Glob;

/// A set of rules, one bit for each rule in rule order.
type RuleBits = Box<[u64]>;

/// The indexed properties of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Index {
    team: PropertyIndex,
    path: PropertyIndex,
    method: PropertyIndex,
    model: PropertyIndex,
}

/// The rules that accept each value of one property.
#[derive(Clone, Debug, Default)]
struct PropertyIndex {
    /// Rules without a condition on the property.
    unconstrained: RuleBits,
    /// Rules by the values that conditions name in full, without a trailing `*`.
    exact: HashMap<Box<str>, RuleBits>,
    /// Rules by the prefixes of patterns with a trailing `*`, sorted by prefix.
    prefixes: Vec<Prefix>,
}

/// A prefix and the rules that accept a value for which it is the longest matching prefix.
#[derive(Clone, Debug)]
struct Prefix {
    text: Box<str>,
    /// Position in `prefixes` of the longest other prefix that `text` begins with.
    parent: Option<usize>,
    rules: RuleBits,
}

impl Index {
    /// Builds the index from each rule's conditions.
    pub(crate) fn new(rules: &[Vec<Condition>]) -> Self {
        Self {
            team: PropertyIndex::new(rules, |c| match c {
                Condition::Team(names) => Some(names.iter().map(|n| (n.as_str(), false)).collect()),
                _ => None,
            }),
            path: PropertyIndex::new(rules, |c| match c {
                Condition::Path(globs) => Some(globs.iter().map(split).collect()),
                _ => None,
            }),
            method: PropertyIndex::new(rules, |c| match c {
                Condition::Method(names) => {
                    Some(names.iter().map(|n| (n.as_str(), false)).collect())
                }
                _ => None,
            }),
            model: PropertyIndex::new(rules, |c| match c {
                Condition::Model(globs) => Some(globs.iter().map(split).collect()),
                _ => None,
            }),
        }
    }

    /// Whether the index evaluates this condition, so that it needs no further test.
    pub(crate) fn evaluates(condition: &Condition) -> bool {
        matches!(
            condition,
            Condition::Team(_) | Condition::Path(_) | Condition::Method(_) | Condition::Model(_)
        )
    }

    /// Position of the first rule whose indexed conditions hold and that also passes `rest_holds`.
    pub(crate) fn find(&self, facts: &Facts, rest_holds: impl Fn(usize) -> bool) -> Option<usize> {
        let team = self.team.get(&facts.team);
        let path = self.path.get(&facts.path);
        let method = self.method.get(&facts.method);
        let model = match &facts.model {
            Some(m) => self.model.get(m),
            None => &self.model.unconstrained,
        };
        (0..team.len()).find_map(|word| {
            let mut candidates = team[word] & path[word] & method[word] & model[word];
            while candidates != 0 {
                let rule = word * 64 + candidates.trailing_zeros() as usize;
                if rest_holds(rule) {
                    return Some(rule);
                }
                // Clears the lowest set bit.
                candidates &= candidates - 1;
            }
            None
        })
    }
}

/// The text of a pattern without the trailing `*`, and whether there was one.
fn split(glob: &Glob) -> (&str, bool) {
    match glob.prefix() {
        Some(prefix) => (prefix, true),
        None => (glob.as_str(), false),
    }
}

fn insert(set: &mut RuleBits, rule: usize) {
    set[rule / 64] |= 1 << (rule % 64);
}

impl PropertyIndex {
    /// Builds the index of one property. `texts` gives the values that a condition on the property
    /// accepts, each with whether it is a prefix, and nothing for other conditions.
    fn new<'a>(
        rules: &'a [Vec<Condition>],
        texts: impl Fn(&'a Condition) -> Option<Vec<(&'a str, bool)>>,
    ) -> Self {
        let mut index = Self {
            unconstrained: vec![0; rules.len().div_ceil(64)].into(),
            ..Self::default()
        };
        let mut prefixes: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        let mut exact: Vec<(&str, usize)> = Vec::new();
        for (rule, conditions) in rules.iter().enumerate() {
            let Some(accepted) = conditions.iter().find_map(&texts) else {
                insert(&mut index.unconstrained, rule);
                continue;
            };
            for (text, is_prefix) in accepted {
                match is_prefix {
                    true => prefixes.entry(text).or_default().push(rule),
                    false => exact.push((text, rule)),
                }
            }
        }
        prefixes
            .into_iter()
            .for_each(|(t, rules)| index.push_prefix(t, rules));
        // An exact value is also accepted by the rules of its longest prefix. Exact values are
        // therefore added after all prefixes.
        for (text, rule) in exact {
            if !index.exact.contains_key(text) {
                let set = index.of_longest_prefix(text).clone();
                index.exact.insert(text.into(), set);
            }
            if let Some(set) = index.exact.get_mut(text) {
                insert(set, rule);
            }
        }
        index
    }

    /// Adds a prefix. Prefixes have to be added in sorted order, so that all shorter prefixes of
    /// `text` are present already.
    fn push_prefix(&mut self, text: &str, rules: Vec<usize>) {
        let parent = self.ancestor(text, self.prefixes.len().checked_sub(1));
        let mut set = self.of_prefix(parent).clone();
        rules.into_iter().for_each(|r| insert(&mut set, r));
        self.prefixes.push(Prefix {
            text: text.into(),
            parent,
            rules: set,
        });
    }

    /// The rules that accept a value.
    fn get(&self, text: &str) -> &RuleBits {
        match self.exact.get(text) {
            Some(set) => set,
            None => self.of_longest_prefix(text),
        }
    }

    /// The rules of the longest prefix of a text.
    ///
    /// All prefixes of the text sort at or before it. Any entry between the longest one and the
    /// text also begins with that longest one, which is therefore an ancestor of the last
    /// entry at or before the text.
    fn of_longest_prefix(&self, text: &str) -> &RuleBits {
        let after = self.prefixes.partition_point(|p| &*p.text <= text);
        self.of_prefix(self.ancestor(text, after.checked_sub(1)))
    }

    /// The longest prefix of a text among an entry of `prefixes` and its ancestors.
    fn ancestor(&self, text: &str, from: Option<usize>) -> Option<usize> {
        std::iter::successors(from, |i| self.prefixes[*i].parent)
            .find(|i| text.starts_with(&*self.prefixes[*i].text))
    }

    /// The rules of an entry of `prefixes`, or the unconstrained rules if there is none.
    fn of_prefix(&self, prefix: Option<usize>) -> &RuleBits {
        prefix.map_or(&self.unconstrained, |i| &self.prefixes[i].rules)
    }
}
