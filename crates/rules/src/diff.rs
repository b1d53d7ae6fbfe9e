//! What changes from one configuration to another, in terms of its objects rather than its lines.
//!
//! Two operators who compare lines see moved tables and reordered lists, and miss that a rule now
//! stands before another. Here objects are matched by name, lists whose order means nothing are
//! compared as sets, and a rule that moved past others is a change of its own.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Serialize;
use toml::{Table, Value};

use crate::config::{Config, Rule};
use crate::decide::RuleSet;

/// An object of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Object {
    /// A table that stands once, such as `limits` or `retry`.
    Feature(String),
    /// A region.
    Region(String),
    /// A pool.
    Pool(String),
    /// A team.
    Team(String),
    /// A rule.
    Rule(String),
}

/// What happens to one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Edit {
    /// It takes another value; absent where it isn't written.
    Set {
        /// The value before.
        from: Option<String>,
        /// The value after.
        to: Option<String>,
    },
    /// Its list, whose order means nothing, loses and gains members.
    Members {
        /// Lost members.
        removed: Vec<String>,
        /// Gained members.
        added: Vec<String>,
    },
}

/// One difference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is new.
    Added(Object),
    /// It is gone.
    Removed(Object),
    /// One of its keys changes.
    Changed {
        /// What it is.
        item: Object,
        /// Path of the key within it.
        key: String,
        /// How it changes.
        edit: Edit,
    },
    /// A rule stands elsewhere among the rules that both have.
    Moved {
        /// Its name.
        rule: String,
        /// Position before, from 0.
        from: usize,
        /// Position after.
        to: usize,
    },
}

/// All differences.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes(pub Vec<Change>);

/// All differences from one set of rules to another.
pub fn diff(old: &RuleSet, new: &RuleSet) -> Changes {
    let (old, new) = (old.config(), new.config());
    let mut changes = Vec::new();
    let mut add = |c: Vec<Change>| changes.extend(c);
    add(features(old, new));
    add(named(&old.region, &new.region, Object::Region));
    add(named(&old.pool, &new.pool, Object::Pool));
    add(named(&old.team, &new.team, Object::Team));
    add(named(&by_name(old), &by_name(new), Object::Rule));
    add(moved(&old.rule, &new.rule));
    Changes(changes)
}

fn by_name(config: &Config) -> BTreeMap<String, &Rule> {
    let rules = config.rule.iter();
    rules.map(|r| (r.name.clone(), r)).collect()
}

/// Changes of the tables that stand once.
fn features(old: &Config, new: &Config) -> Vec<Change> {
    let (old, new) = (table(old), table(new));
    let keys: BTreeSet<_> = old.keys().chain(new.keys()).collect();
    let objects = ["region", "pool", "team", "rule"];
    let once = keys.into_iter().filter(|k| !objects.contains(&k.as_str()));
    once.flat_map(|key| {
        let empty = Value::Table(Table::new());
        let side = |t: &Table| flat(t.get(key).unwrap_or(&empty));
        edits(Object::Feature(key.clone()), &side(&old), &side(&new))
    })
    .collect()
}

/// Changes of objects that have names.
fn named<T: Serialize>(
    old: &BTreeMap<String, T>,
    new: &BTreeMap<String, T>,
    item: fn(String) -> Object,
) -> Vec<Change> {
    let names: BTreeSet<_> = old.keys().chain(new.keys()).collect();
    let change = |name: &String| {
        let this = item(name.clone());
        match (old.get(name), new.get(name)) {
            (Some(a), Some(b)) => {
                let side = |t| flat(&Value::Table(table(t)));
                edits(this, &side(a), &side(b))
            }
            (Some(_), None) => vec![Change::Removed(this)],
            _ => vec![Change::Added(this)],
        }
    };
    names.into_iter().flat_map(change).collect()
}

fn table(value: &impl Serialize) -> Table {
    // Every type here is printed as a table; `Config::to_toml` rests on the same.
    Table::try_from(value).unwrap_or_default()
}

/// The values of a table by the paths of their keys.
fn flat(value: &Value) -> BTreeMap<String, Value> {
    let mut out = BTreeMap::new();
    let mut todo = vec![(String::new(), value)];
    while let Some((path, value)) = todo.pop() {
        let Value::Table(table) = value else {
            out.insert(path, value.clone());
            continue;
        };
        for (key, inner) in table {
            let path = match path.is_empty() {
                true => key.clone(),
                false => format!("{path}.{key}"),
            };
            todo.push((path, inner));
        }
    }
    out
}

fn edits(
    item: Object,
    old: &BTreeMap<String, Value>,
    new: &BTreeMap<String, Value>,
) -> Vec<Change> {
    let keys: BTreeSet<_> = old.keys().chain(new.keys()).collect();
    let edit = |key: &String| {
        let edit = edit(old.get(key), new.get(key))?;
        Some(Change::Changed {
            item: item.clone(),
            key: key.clone(),
            edit,
        })
    };
    keys.into_iter().filter_map(edit).collect()
}

fn edit(old: Option<&Value>, new: Option<&Value>) -> Option<Edit> {
    if let (Some(Value::Array(a)), Some(Value::Array(b))) = (old, new) {
        let set = |v: &[Value]| v.iter().map(Value::to_string).collect::<BTreeSet<_>>();
        let (a, b) = (set(a), set(b));
        let removed: Vec<_> = a.difference(&b).cloned().collect();
        let added: Vec<_> = b.difference(&a).cloned().collect();
        let same = removed.is_empty() && added.is_empty();
        return (!same).then_some(Edit::Members { removed, added });
    }
    let text = |v: Option<&Value>| v.map(Value::to_string);
    (old != new).then(|| Edit::Set {
        from: text(old),
        to: text(new),
    })
}

/// Rules that changed places: all that both have, save a longest run that kept its order.
fn moved(old: &[Rule], new: &[Rule]) -> Vec<Change> {
    let place = |rules: &[Rule], name: &str| rules.iter().position(|r| r.name == name);
    let both: Vec<_> = (0..new.len())
        .filter_map(|to| Some((place(old, &new[to].name)?, to)))
        .collect();
    let kept = rising(both.iter().map(|(from, _)| *from).collect());
    let others = both.into_iter().filter(|(from, _)| !kept.contains(from));
    others
        .map(|(from, to)| Change::Moved {
            rule: new[to].name.clone(),
            from,
            to,
        })
        .collect()
}

/// A longest rising subsequence.
fn rising(places: Vec<usize>) -> BTreeSet<usize> {
    // For each place, the length of the longest run that ends there and the place before it.
    let mut best: Vec<(usize, Option<usize>)> = Vec::new();
    for (i, place) in places.iter().enumerate() {
        let before = (0..i).filter(|j| places[*j] < *place);
        let last = before.max_by_key(|j| best[*j].0);
        best.push((last.map_or(1, |j| best[j].0 + 1), last));
    }
    let end = (0..places.len()).max_by_key(|i| best[*i].0);
    std::iter::successors(end, |i| best[*i].1)
        .map(|i| places[i])
        .collect()
}

impl Changes {
    /// Whether both configurations mean the same.
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
            Self::Feature(n) => write!(f, "{n}"),
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
            Self::Added(item) => write!(f, "+ {item}"),
            Self::Removed(item) => write!(f, "- {item}"),
            Self::Changed { item, key, edit } => write!(f, "~ {item}: {key}: {edit}"),
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
            Self::Members { removed, added } => {
                let removed = removed.iter().map(|x| format!("-{x}"));
                let added = added.iter().map(|x| format!("+{x}"));
                f.write_str(&removed.chain(added).collect::<Vec<_>>().join(" "))
            }
        }
    }
}
