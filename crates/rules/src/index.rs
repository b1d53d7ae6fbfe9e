//! Which rules can match a request, by its team, path, method and model.
//!
//! A fleet has hundreds of rules and asks them thousands of times a second; testing each in turn
//! costs the more the later the rule that decides. Here each of the four properties maps to a set
//! of rules, one bit each, that don't exclude it. The four sets are intersected a word at a time
//! and only the rules left over are tested for the rest of their conditions, in order. (Bit-vector
//! classification: Lakshman and Stiliadis, "High-speed policy-based packet forwarding using
//! efficient multi-dimensional range matching", 1998.)

use std::collections::{BTreeMap, HashMap};

use crate::condition::Condition;
use crate::decide::Facts;
use crate::units::Glob;

/// A set of rules.
type Bits = Box<[u64]>;

/// The sets of all four properties.
#[derive(Clone, Debug, Default)]
pub(crate) struct Index {
    team: Dim,
    path: Dim,
    method: Dim,
    model: Dim,
}

/// The sets of one property.
#[derive(Clone, Debug, Default)]
struct Dim {
    /// Rules that ask nothing of it.
    any: Bits,
    /// Rules by texts that a condition names in whole.
    exact: HashMap<Box<str>, Bits>,
    /// Rules by what stands before a trailing `*`, sorted.
    prefixes: Vec<Prefix>,
}

/// What a text that begins like this can match.
#[derive(Clone, Debug)]
struct Prefix {
    text: Box<str>,
    /// The longest other prefix that this one begins with.
    parent: Option<usize>,
    bits: Bits,
}

impl Index {
    /// Builds the sets from each rule's conditions.
    pub(crate) fn new(rules: &[Vec<Condition>]) -> Self {
        Self {
            team: Dim::new(rules, |c| match c {
                Condition::Team(names) => Some(names.iter().map(|n| (n.as_str(), false)).collect()),
                _ => None,
            }),
            path: Dim::new(rules, |c| match c {
                Condition::Path(globs) => Some(globs.iter().map(split).collect()),
                _ => None,
            }),
            method: Dim::new(rules, |c| match c {
                Condition::Method(names) => {
                    Some(names.iter().map(|n| (n.as_str(), false)).collect())
                }
                _ => None,
            }),
            model: Dim::new(rules, |c| match c {
                Condition::Model(globs) => Some(globs.iter().map(split).collect()),
                _ => None,
            }),
        }
    }

    /// Whether a condition is fully answered by these sets.
    pub(crate) fn answers(cond: &Condition) -> bool {
        matches!(
            cond,
            Condition::Team(_) | Condition::Path(_) | Condition::Method(_) | Condition::Model(_)
        )
    }

    /// The first rule in all four sets that also passes a test.
    pub(crate) fn find(&self, facts: &Facts, pass: impl Fn(usize) -> bool) -> Option<usize> {
        let team = self.team.get(&facts.team);
        let path = self.path.get(&facts.path);
        let method = self.method.get(&facts.method);
        let model = match &facts.model {
            Some(m) => self.model.get(m),
            None => &self.model.any,
        };
        (0..team.len()).find_map(|word| {
            let mut left = team[word] & path[word] & method[word] & model[word];
            while left != 0 {
                let rule = word * 64 + left.trailing_zeros() as usize;
                if pass(rule) {
                    return Some(rule);
                }
                left &= left - 1;
            }
            None
        })
    }
}

/// A pattern as a text and whether any rest may follow it.
fn split(glob: &Glob) -> (&str, bool) {
    match glob.prefix() {
        Some(head) => (head, true),
        None => (glob.as_str(), false),
    }
}

fn set(bits: &mut Bits, rule: usize) {
    bits[rule / 64] |= 1 << (rule % 64);
}

impl Dim {
    fn new<'a>(
        rules: &'a [Vec<Condition>],
        texts: impl Fn(&'a Condition) -> Option<Vec<(&'a str, bool)>>,
    ) -> Self {
        let mut dim = Self {
            any: vec![0; rules.len().div_ceil(64)].into(),
            ..Self::default()
        };
        let mut open: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        let mut whole: Vec<(&str, usize)> = Vec::new();
        for (rule, conds) in rules.iter().enumerate() {
            let Some(named) = conds.iter().find_map(&texts) else {
                set(&mut dim.any, rule);
                continue;
            };
            for (text, rest) in named {
                match rest {
                    true => open.entry(text).or_default().push(rule),
                    false => whole.push((text, rule)),
                }
            }
        }
        open.into_iter().for_each(|(t, rules)| dim.push(t, rules));
        for (text, rule) in whole {
            if !dim.exact.contains_key(text) {
                let bits = dim.longest(text).clone();
                dim.exact.insert(text.into(), bits);
            }
            if let Some(bits) = dim.exact.get_mut(text) {
                set(bits, rule);
            }
        }
        dim
    }

    /// Adds a prefix; they come sorted, so that those it begins with are there already.
    fn push(&mut self, text: &str, rules: Vec<usize>) {
        let parent = self.ancestor(text, self.prefixes.len().checked_sub(1));
        let mut bits = self.bits(parent).clone();
        rules.into_iter().for_each(|r| set(&mut bits, r));
        self.prefixes.push(Prefix {
            text: text.into(),
            parent,
            bits,
        });
    }

    fn get(&self, text: &str) -> &Bits {
        match self.exact.get(text) {
            Some(bits) => bits,
            None => self.longest(text),
        }
    }

    /// The set of the longest prefix of a text. All that the text begins with sorts before it, and
    /// what lies between begins with the longest of them too, so that this one is reached from the
    /// text's predecessor by going to shorter ones.
    fn longest(&self, text: &str) -> &Bits {
        let before = self.prefixes.partition_point(|p| &*p.text <= text);
        self.bits(self.ancestor(text, before.checked_sub(1)))
    }

    fn ancestor(&self, text: &str, from: Option<usize>) -> Option<usize> {
        std::iter::successors(from, |i| self.prefixes[*i].parent)
            .find(|i| text.starts_with(&*self.prefixes[*i].text))
    }

    fn bits(&self, prefix: Option<usize>) -> &Bits {
        prefix.map_or(&self.any, |i| &self.prefixes[i].bits)
    }
}
