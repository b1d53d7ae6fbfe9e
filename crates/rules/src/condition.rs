//! Conditions of a rule: evaluation against a request, implication between conditions, and
//! display.

use std::collections::BTreeSet;
use std::fmt;

use model::Class;

use crate::config::{Rule, SizeRange, Weekday, When};
use crate::decide::Facts;
use crate::units::{Glob, TimeWindow, MINUTES_PER_DAY};

/// Header in which a caller requests a class.
pub const CLASS_HEADER: &str = "x-class";

/// A single condition of a rule.
#[derive(Clone, Debug, PartialEq)]
pub enum Condition {
    /// Team is one of these.
    Team(BTreeSet<String>),
    /// Path matches one of these patterns.
    Path(Vec<Glob>),
    /// HTTP method is one of these.
    Method(BTreeSet<String>),
    /// Requested model matches one of these patterns; false if the request names no model.
    Model(Vec<Glob>),
    /// Requested class is one of these; false if the request names no class.
    Class(BTreeSet<Class>),
    /// Time of day, in UTC, lies in one of these windows.
    Hours(Vec<TimeWindow>),
    /// Day of the week, in UTC, is one of these.
    Days(BTreeSet<Weekday>),
    /// Size of the prompt lies in this range.
    Prompt(SizeRange),
    /// Header with this name is present and its value matches this pattern.
    Header(String, Glob),
    /// Inner condition doesn't hold.
    Not(Box<Condition>),
}

/// All conditions of a rule: those of `when` first, then those of `not`, negated.
pub(crate) fn of_rule(rule: &Rule) -> Vec<Condition> {
    let negated = of_table(&rule.not)
        .into_iter()
        .map(|c| Condition::Not(Box::new(c)));
    of_table(&rule.when).into_iter().chain(negated).collect()
}

/// The conditions that are set in a `when` or `not` table.
fn of_table(table: &When) -> Vec<Condition> {
    let mut conditions = Vec::new();
    let mut add =
        |is_set: bool, condition: Condition| conditions.extend(is_set.then_some(condition));
    let w = table.clone();
    add(
        !w.team.is_empty(),
        Condition::Team(w.team.into_iter().collect()),
    );
    add(!w.path.is_empty(), Condition::Path(w.path));
    add(
        !w.method.is_empty(),
        Condition::Method(w.method.into_iter().collect()),
    );
    add(!w.model.is_empty(), Condition::Model(w.model));
    add(
        !w.class.is_empty(),
        Condition::Class(w.class.into_iter().collect()),
    );
    add(!w.hours.is_empty(), Condition::Hours(w.hours));
    add(
        !w.days.is_empty(),
        Condition::Days(w.days.into_iter().collect()),
    );
    add(
        w.prompt != SizeRange::default(),
        Condition::Prompt(w.prompt),
    );
    for (name, value) in w.header {
        add(true, Condition::Header(name, value));
    }
    conditions
}

impl Condition {
    /// Whether the condition holds for a request.
    pub fn holds(&self, facts: &Facts) -> bool {
        match self {
            Self::Team(names) => names.contains(&facts.team),
            Self::Path(globs) => globs.iter().any(|g| g.matches(&facts.path)),
            Self::Method(names) => names.contains(&facts.method),
            Self::Model(globs) => match &facts.model {
                Some(m) => globs.iter().any(|g| g.matches(m)),
                None => false,
            },
            Self::Class(classes) => facts
                .requested_class()
                .is_some_and(|c| classes.contains(&c)),
            Self::Hours(windows) => windows.iter().any(|w| w.contains(facts.minute)),
            Self::Days(days) => days.contains(&facts.weekday),
            Self::Prompt(range) => range.contains(facts.prompt_bytes),
            Self::Header(name, value) => facts.headers.get(name).is_some_and(|v| value.matches(v)),
            Self::Not(inner) => !inner.holds(facts),
        }
    }

    /// Whether `other` holds for every request that this condition holds for. The result may be a
    /// false negative, but never a false positive, which would report a needed rule as
    /// unreachable.
    pub(crate) fn implies(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Team(a), Self::Team(b)) => a.is_subset(b),
            (Self::Method(a), Self::Method(b)) => a.is_subset(b),
            (Self::Class(a), Self::Class(b)) => a.is_subset(b),
            (Self::Days(a), Self::Days(b)) => a.is_subset(b),
            (Self::Path(a), Self::Path(b)) | (Self::Model(a), Self::Model(b)) => {
                globs_covered(a, b)
            }
            (Self::Hours(a), Self::Hours(b)) => hours_covered(a, b),
            (Self::Prompt(a), Self::Prompt(b)) => a.is_within(b),
            (Self::Header(m, a), Self::Header(n, b)) => m == n && b.covers(a),
            (Self::Not(a), Self::Not(b)) => b.implies(a),
            (a, Self::Not(b)) => a.excludes(b),
            _ => false,
        }
    }

    /// Whether no request meets both conditions. The result may be a false negative, but never a
    /// false positive.
    pub(crate) fn excludes(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Team(a), Self::Team(b)) => a.is_disjoint(b),
            (Self::Method(a), Self::Method(b)) => a.is_disjoint(b),
            (Self::Class(a), Self::Class(b)) => a.is_disjoint(b),
            (Self::Days(a), Self::Days(b)) => a.is_disjoint(b),
            (Self::Path(a), Self::Path(b)) | (Self::Model(a), Self::Model(b)) => {
                globs_disjoint(a, b)
            }
            (Self::Header(m, a), Self::Header(n, b)) => m == n && !a.covers(b) && !b.covers(a),
            (a, Self::Not(b)) => a.implies(b),
            _ => false,
        }
    }
}

/// Whether each pattern of `a` is covered by a single pattern of `b`.
fn globs_covered(a: &[Glob], b: &[Glob]) -> bool {
    a.iter().all(|x| b.iter().any(|y| y.covers(x)))
}

/// Whether no text matches a pattern of both lists. A `*` stands only at the end, so that two
/// patterns overlap only if one covers the other.
fn globs_disjoint(a: &[Glob], b: &[Glob]) -> bool {
    a.iter()
        .all(|x| b.iter().all(|y| !x.covers(y) && !y.covers(x)))
}

/// Whether each minute in a window of `a` is in some window of `b`.
fn hours_covered(a: &[TimeWindow], b: &[TimeWindow]) -> bool {
    let contains = |windows: &[TimeWindow], minute| windows.iter().any(|w| w.contains(minute));
    (0..MINUTES_PER_DAY).all(|m| !contains(a, m) || contains(b, m))
}

impl SizeRange {
    /// Both bounds, included, with those that aren't set at the extremes of `u64`.
    fn bounds(&self) -> (u64, u64) {
        (
            self.min.map_or(0, |s| s.0),
            self.max.map_or(u64::MAX, |s| s.0),
        )
    }

    /// Whether a size lies in the range.
    pub fn contains(&self, size: usize) -> bool {
        let (min, max) = self.bounds();
        (min..=max).contains(&(size as u64))
    }

    fn is_within(&self, other: &Self) -> bool {
        let (a, b) = (self.bounds(), other.bounds());
        a.0 >= b.0 && a.1 <= b.1
    }
}

impl fmt::Display for Condition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Team(x) => write!(f, "team {}", alternatives(x)),
            Self::Path(x) => write!(f, "path {}", alternatives(x)),
            Self::Method(x) => write!(f, "method {}", alternatives(x)),
            Self::Model(x) => write!(f, "model {}", alternatives(x)),
            Self::Class(x) => write!(f, "class {}", alternatives(x)),
            Self::Hours(x) => write!(f, "hours {}", alternatives(x)),
            Self::Days(x) => write!(f, "days {}", alternatives(x)),
            Self::Prompt(x) => write!(f, "prompt {x}"),
            Self::Header(name, value) => write!(f, "header `{name}` {}", alternatives([value])),
            Self::Not(inner) => write!(f, "not {inner}"),
        }
    }
}

impl fmt::Display for SizeRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.min, self.max) {
            (Some(a), Some(b)) => write!(f, "from {a} to {b}"),
            (Some(a), None) => write!(f, "from {a}"),
            (None, Some(b)) => write!(f, "to {b}"),
            (None, None) => f.write_str("of any size"),
        }
    }
}

/// Alternatives in quotes, joined by "or".
fn alternatives(items: impl IntoIterator<Item = impl fmt::Display>) -> String {
    let quoted: Vec<_> = items.into_iter().map(|x| format!("`{x}`")).collect();
    quoted.join(" or ")
}
