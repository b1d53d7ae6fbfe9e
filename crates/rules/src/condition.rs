//! One condition of a rule, ready to be tested, compared with another and shown.

use std::collections::BTreeSet;
use std::fmt;

use model::Class;

use crate::config::{Rule, SizeRange, Weekday, When};
use crate::decide::Facts;
use crate::units::{Glob, TimeWindow};

/// The header in which a caller asks for a class.
pub const CLASS_HEADER: &str = "x-class";

/// A condition.
#[derive(Clone, Debug, PartialEq)]
pub enum Condition {
    /// The team is one of these.
    Team(BTreeSet<String>),
    /// The path matches one of these.
    Path(Vec<Glob>),
    /// The method is one of these.
    Method(BTreeSet<String>),
    /// The model matches one of these.
    Model(Vec<Glob>),
    /// The class asked for is one of these.
    Class(BTreeSet<Class>),
    /// The time of day lies in one of these.
    Hours(Vec<TimeWindow>),
    /// The day is one of these.
    Days(BTreeSet<Weekday>),
    /// The prompt's size lies in this range.
    Prompt(SizeRange),
    /// This header has this value.
    Header(String, Glob),
    /// That doesn't hold.
    Not(Box<Condition>),
}

/// All conditions of a rule, the positive ones first.
pub(crate) fn of(rule: &Rule) -> Vec<Condition> {
    let negated = list(&rule.not)
        .into_iter()
        .map(|c| Condition::Not(Box::new(c)));
    list(&rule.when).into_iter().chain(negated).collect()
}

fn list(when: &When) -> Vec<Condition> {
    let mut conds = Vec::new();
    let mut add = |there: bool, cond: Condition| conds.extend(there.then_some(cond));
    let w = when.clone();
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
    conds
}

impl Condition {
    /// Whether it holds for a request.
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

    /// Whether each request that it holds for is one that `other` holds for. May say no where the
    /// answer is yes, never the other way round: a false yes would call a needed rule unreachable.
    pub(crate) fn implies(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Team(a), Self::Team(b)) => a.is_subset(b),
            (Self::Method(a), Self::Method(b)) => a.is_subset(b),
            (Self::Class(a), Self::Class(b)) => a.is_subset(b),
            (Self::Days(a), Self::Days(b)) => a.is_subset(b),
            (Self::Path(a), Self::Path(b)) | (Self::Model(a), Self::Model(b)) => within(a, b),
            (Self::Hours(a), Self::Hours(b)) => hours_within(a, b),
            (Self::Prompt(a), Self::Prompt(b)) => a.within(b),
            (Self::Header(m, a), Self::Header(n, b)) => m == n && b.covers(a),
            (Self::Not(a), Self::Not(b)) => b.implies(a),
            (a, Self::Not(b)) => a.excludes(b),
            _ => false,
        }
    }

    /// Whether no request meets both. May say no where the answer is yes.
    pub(crate) fn excludes(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Team(a), Self::Team(b)) => a.is_disjoint(b),
            (Self::Method(a), Self::Method(b)) => a.is_disjoint(b),
            (Self::Class(a), Self::Class(b)) => a.is_disjoint(b),
            (Self::Days(a), Self::Days(b)) => a.is_disjoint(b),
            (Self::Path(a), Self::Path(b)) | (Self::Model(a), Self::Model(b)) => apart(a, b),
            (Self::Header(m, a), Self::Header(n, b)) => m == n && !a.covers(b) && !b.covers(a),
            (a, Self::Not(b)) => a.implies(b),
            _ => false,
        }
    }
}

fn within(a: &[Glob], b: &[Glob]) -> bool {
    a.iter().all(|x| b.iter().any(|y| y.covers(x)))
}

fn apart(a: &[Glob], b: &[Glob]) -> bool {
    a.iter()
        .all(|x| b.iter().all(|y| !x.covers(y) && !y.covers(x)))
}

fn hours_within(a: &[TimeWindow], b: &[TimeWindow]) -> bool {
    let holds = |ws: &[TimeWindow], m| ws.iter().any(|w| w.contains(m));
    (0..crate::units::DAY).all(|m| !holds(a, m) || holds(b, m))
}

impl SizeRange {
    fn bounds(&self) -> (u64, u64) {
        (
            self.min.map_or(0, |s| s.0),
            self.max.map_or(u64::MAX, |s| s.0),
        )
    }

    /// Whether it holds a size.
    pub fn contains(&self, size: usize) -> bool {
        let (min, max) = self.bounds();
        (min..=max).contains(&(size as u64))
    }

    fn within(&self, other: &Self) -> bool {
        let (a, b) = (self.bounds(), other.bounds());
        a.0 >= b.0 && a.1 <= b.1
    }
}

impl fmt::Display for Condition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Team(x) => write!(f, "team {}", any(x)),
            Self::Path(x) => write!(f, "path {}", any(x)),
            Self::Method(x) => write!(f, "method {}", any(x)),
            Self::Model(x) => write!(f, "model {}", any(x)),
            Self::Class(x) => write!(f, "class {}", any(x)),
            Self::Hours(x) => write!(f, "hours {}", any(x)),
            Self::Days(x) => write!(f, "days {}", any(x)),
            Self::Prompt(x) => write!(f, "prompt {x}"),
            Self::Header(name, value) => write!(f, "header `{name}` {}", any([value])),
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

fn any(items: impl IntoIterator<Item = impl fmt::Display>) -> String {
    let quoted: Vec<_> = items.into_iter().map(|x| format!("`{x}`")).collect();
    quoted.join(" or ")
}
