//! Compares two configurations object by object rather than line by line.
//!
//! A comparison of lines shows moved tables and reordered lists, which have no effect, and makes it
//! easy to miss that one rule now precedes another. This comparison matches objects by name, treats
//! lists as sets, as their order has no meaning, and reports a rule that moved relative to others
//! as a change of its own.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Serialize;
use toml::{Table, Value};

use crate::config::{Config, Rule};
use crate::decide::RuleSet;

/// A named object of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Object {
    /// A table that occurs only once, such as `limits` or `retry`.
    Table(String),
    /// A region, by name.
    Region(String),
    /// A pool, by name.
    Pool(String),
    /// A team, by name.
    Team(String),
    /// A rule, by name.
    Rule(String),
}

/// How the value of one key changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Edit {
    /// The value is replaced. Values are in TOML, and absent where the key isn't set.
    Set {
        /// Value before.
        from: Option<String>,
        /// Value after.
        to: Option<String>,
    },
    /// Elements of a list are removed or added; their order has no meaning.
    Elements {
        /// Elements that only the old list has.
        removed: Vec<String>,
        /// Elements that only the new list has.
        added: Vec<String>,
    },
}

/// One difference between two configurations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Only the new configuration has the object.
    Added(Object),
    /// Only the old configuration has the object.
    Removed(Object),
    /// A key of the object changes.
    Changed {
        /// Object that has the key.
        object: Object,
        /// Path of the key within the object.
        key: String,
        /// Change of the key's value.
        edit: Edit,
    },
    /// A rule moves relative to other rules that both configurations have.
    Moved {
        /// Name of the rule.
        rule: String,
        /// Position before, from 0.
        from: usize,
        /// Position after, from 0.
        to: usize,
    },
}

/// All differences between two configurations. `Display` gives one line for each.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes(pub Vec<Change>);

/// All differences from the old configuration to the new one.
pub fn diff(old: &RuleSet, new: &RuleSet) -> Changes {
    let (old, new) = (old.config(), new.config());
    let mut changes = Vec::new();
    let mut add = |c: Vec<Change>| changes.extend(c);
    add(table_changes(old, new));
    add(object_changes(&old.region, &new.region, Object::Region));
    add(object_changes(&old.pool, &new.pool, Object::Pool));
    add(object_changes(&old.team, &new.team, Object::Team));
    add(object_changes(
        &rules_by_name(old),
        &rules_by_name(new),
        Object::Rule,
    ));
    add(moved_rules(&old.rule, &new.rule));
    Changes(changes)
}

fn rules_by_name(config: &Config) -> BTreeMap<String, &Rule> {
    let rules = config.rule.iter();
    rules.map(|r| (r.name.clone(), r)).collect()
}

/// Changes of the tables that occur only once.
fn table_changes(old: &Config, new: &Config) -> Vec<Change> {
    let (old, new) = (to_table(old), to_table(new));
    let keys: BTreeSet<_> = old.keys().chain(new.keys()).collect();
    let repeated = ["region", "pool", "team", "rule"];
    let single = keys.into_iter().filter(|k| !repeated.contains(&k.as_str()));
    single
        .flat_map(|key| {
            let empty = Value::Table(Table::new());
            let values = |t: &Table| flatten(t.get(key).unwrap_or(&empty));
            key_changes(Object::Table(key.clone()), &values(&old), &values(&new))
        })
        .collect()
}

/// Changes of objects that are matched by name.
fn object_changes<T: Serialize>(
    old: &BTreeMap<String, T>,
    new: &BTreeMap<String, T>,
    to_object: fn(String) -> Object,
) -> Vec<Change> {
    let names: BTreeSet<_> = old.keys().chain(new.keys()).collect();
    let change = |name: &String| {
        let object = to_object(name.clone());
        match (old.get(name), new.get(name)) {
            (Some(a), Some(b)) => {
                let values = |t| flatten(&Value::Table(to_table(t)));
                key_changes(object, &values(a), &values(b))
            }
            (Some(_), None) => vec![Change::Removed(object)],
            _ => vec![Change::Added(object)],
        }
    };
    names.into_iter().flat_map(change).collect()
}

fn to_table(value: &impl Serialize) -> Table {
    // The default is never used: every type of the configuration serializes as a table, which
    // `Config::to_toml` relies on as well.
    Table::try_from(value).unwrap_or_default()
}

/// The values of a table and its subtables by the dotted paths of their keys.
fn flatten(value: &Value) -> BTreeMap<String, Value> {
    let mut values = BTreeMap::new();
    let mut pending = vec![(String::new(), value)];
    while let Some((path, value)) = pending.pop() {
        let Value::Table(table) = value else {
            values.insert(path, value.clone());
            continue;
        };
        for (key, inner) in table {
            let path = match path.is_empty() {
                true => key.clone(),
                false => format!("{path}.{key}"),
            };
            pending.push((path, inner));
        }
    }
    values
}

/// Changes of an object's keys, given its old and new values by key path.
fn key_changes(
    object: Object,
    old: &BTreeMap<String, Value>,
    new: &BTreeMap<String, Value>,
) -> Vec<Change> {
    let keys: BTreeSet<_> = old.keys().chain(new.keys()).collect();
    let edit = |key: &String| {
        let edit = edit(old.get(key), new.get(key))?;
        Some(Change::Changed {
            object: object.clone(),
            key: key.clone(),
            edit,
        })
    };
    keys.into_iter().filter_map(edit).collect()
}

/// The change from one value to another; absent if both have the same meaning.
fn edit(old: Option<&Value>, new: Option<&Value>) -> Option<Edit> {
    if let (Some(Value::Array(a)), Some(Value::Array(b))) = (old, new) {
        let set = |v: &[Value]| v.iter().map(Value::to_string).collect::<BTreeSet<_>>();
        let (a, b) = (set(a), set(b));
        let removed: Vec<_> = a.difference(&b).cloned().collect();
        let added: Vec<_> = b.difference(&a).cloned().collect();
        let same = removed.is_empty() && added.is_empty();
        return (!same).then_some(Edit::Elements { removed, added });
    }
    let text = |v: Option<&Value>| v.map(Value::to_string);
    (old != new).then(|| Edit::Set {
        from: text(old),
        to: text(new),
    })
}

/// Moves that turn the old order of the common rules into the new one. As few rules as possible
/// count as moved: all but a longest subsequence whose order is unchanged.
fn moved_rules(old: &[Rule], new: &[Rule]) -> Vec<Change> {
    let position = |rules: &[Rule], name: &str| rules.iter().position(|r| r.name == name);
    let common: Vec<_> = (0..new.len())
        .filter_map(|to| Some((position(old, &new[to].name)?, to)))
        .collect();
    let unmoved = longest_increasing(common.iter().map(|(from, _)| *from).collect());
    let moved = common
        .into_iter()
        .filter(|(from, _)| !unmoved.contains(from));
    moved
        .map(|(from, to)| Change::Moved {
            rule: new[to].name.clone(),
            from,
            to,
        })
        .collect()
}

/// The values of a longest increasing subsequence.
fn longest_increasing(values: Vec<usize>) -> BTreeSet<usize> {
    // For each index, the length of the longest increasing subsequence that ends there and the
    // index of that subsequence's previous element.
    let mut best: Vec<(usize, Option<usize>)> = Vec::new();
    for (i, value) in values.iter().enumerate() {
        let smaller = (0..i).filter(|j| values[*j] < *value);
        let previous = smaller.max_by_key(|j| best[*j].0);
        best.push((previous.map_or(1, |j| best[j].0 + 1), previous));
    }
    let end = (0..values.len()).max_by_key(|i| best[*i].0);
    std::iter::successors(end, |i| best[*i].1)
        .map(|i| values[i])
        .collect()
}

impl Changes {
    /// Whether both configurations have the same meaning.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for Changes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|c| writeln!(f, "{c}"))
    }
}

impl fmt::Display for Object {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Table(n) => write!(f, "{n}"),
            Self::Region(n) => write!(f, "region `{n}`"),
            Self::Pool(n) => write!(f, "pool `{n}`"),
            Self::Team(n) => write!(f, "team `{n}`"),
            Self::Rule(n) => write!(f, "rule `{n}`"),
        }
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added(object) => write!(f, "+ {object}"),
            Self::Removed(object) => write!(f, "- {object}"),
            Self::Changed { object, key, edit } => write!(f, "~ {object}: {key}: {edit}"),
            Self::Moved { rule, from, to } => {
                write!(
                    f,
                    "~ rule `{rule}`: moved from place {} to {}",
                    from + 1,
                    to + 1
                )
            }
        }
    }
}

impl fmt::Display for Edit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown = |v: &Option<String>| v.clone().unwrap_or_else(|| "unset".to_owned());
        match self {
            Self::Set { from, to } => write!(f, "{} -> {}", shown(from), shown(to)),
            Self::Elements { removed, added } => {
                let removed = removed.iter().map(|x| format!("-{x}"));
                let added = added.iter().map(|x| format!("+{x}"));
                f.write_str(&removed.chain(added).collect::<Vec<_>>().join(" "))
            }
        }
    }
}
