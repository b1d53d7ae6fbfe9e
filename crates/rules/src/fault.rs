//! What can be wrong with a configuration.
//!
//! A check reports everything at once, each fault with its place in the text, so that an operator
//! mends a file in one round. Errors keep a configuration from being taken; warnings point at what
//! is allowed but hardly meant.

use std::fmt;

use thiserror::Error;

/// How bad a fault is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Severity {
    /// The configuration can't be taken.
    Error,
    /// It can be taken, but this is hardly meant.
    Warning,
}

impl fmt::Display for Severity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Error => "error",
            Self::Warning => "warning",
        })
    }
}

/// A kind of name that one part of a configuration declares and another uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NameKind {
    /// A pool.
    Pool,
    /// A team.
    Team,
}

impl fmt::Display for NameKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Pool => "pool",
            Self::Team => "team",
        })
    }
}

/// What is wrong.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FaultKind {
    /// The text is not TOML.
    #[error("{0}")]
    Syntax(String),
    /// A key that nothing reads.
    #[error("unknown key `{name}`")]
    UnknownKey {
        /// The key.
        name: String,
        /// A known key like it.
        hint: Option<String>,
        /// Whether it stands among conditions.
        condition: bool,
    },
    /// A value of another type.
    #[error("expected {want}, found {found}")]
    WrongType {
        /// What belongs there.
        want: &'static str,
        /// What stands there.
        found: &'static str,
    },
    /// A number that doesn't fit.
    #[error("`{0}` is not a whole number from 0 to 4294967295")]
    BadNumber(String),
    /// A word that isn't one of a fixed few.
    #[error("`{word}` is none of {known}")]
    UnknownWord {
        /// The word.
        word: String,
        /// Those allowed.
        known: String,
        /// One like it.
        hint: Option<String>,
    },
    /// Not a duration.
    #[error("`{0}` is no duration; write a whole number and us, ms, s, m, h or d")]
    BadDuration(String),
    /// Not a size.
    #[error("`{0}` is no size; write a whole number and B, KiB, MiB or GiB")]
    BadSize(String),
    /// Not a percentage.
    #[error(
        "`{0}` is no percentage; write a number from 0 to 100, with at most one decimal, and %"
    )]
    BadPercent(String),
    /// Not a window of the day.
    #[error("`{0}` is no window; write two different times of day as `06:00-18:30`")]
    BadWindow(String),
    /// A `*` elsewhere than at the end.
    #[error("`{0}` is no pattern; a `*` stands only at the end")]
    BadGlob(String),
    /// A path pattern that no path can match.
    #[error("path `{0}` doesn't begin with `/`")]
    BadPath(String),
    /// Not a key digest.
    #[error("a key is `blake3:` and 64 hexadecimal digits")]
    BadDigest,
    /// Not a header name.
    #[error("`{0}` is no header name; names are written in lower case")]
    BadHeaderName(String),
    /// Not a header value.
    #[error("the value of header `{0}` holds characters that can't be sent")]
    BadHeaderValue(String),
    /// A header that the router itself sets.
    #[error("header `{0}` is set by the router itself")]
    ReservedHeader(String),
    /// A name that is used, but not declared.
    #[error("no {noun} is named `{name}`")]
    UnknownName {
        /// What it would be.
        noun: NameKind,
        /// The name.
        name: String,
        /// A declared one like it.
        hint: Option<String>,
    },
    /// A name that can't stand in metrics and logs.
    #[error("`{0}` is no name; names are letters, digits, `-`, `_` and `.`")]
    BadName(String),
    /// A rule without a name.
    #[error("the rule has no name")]
    MissingRuleName,
    /// A second rule of the same name.
    #[error("rule `{0}` stands twice")]
    DuplicateRule(String),
    /// A rule that says nothing.
    #[error("rule `{0}` has neither `pool` nor `refuse`")]
    NoOutcome(String),
    /// A rule that says two things.
    #[error("rule `{0}` has both `pool` and `refuse`")]
    TwoOutcomes(String),
    /// An earlier rule matches all that this one does.
    #[error("rule `{rule}` is never reached: `{by}` matches all that it does")]
    Unreachable {
        /// The rule.
        rule: String,
        /// The earlier rule.
        by: String,
    },
    /// Conditions that exclude one another.
    #[error("rule `{0}` can't match: its conditions exclude one another")]
    NeverMatches(String),
    /// A lower bound above the upper one.
    #[error("`{low}` is above `{high}`")]
    InvertedBounds {
        /// Key of the lower bound.
        low: &'static str,
        /// Key of the upper bound.
        high: &'static str,
    },
    /// A pool that nothing is sent to.
    #[error("no rule sends anything to pool `{0}`")]
    UnusedPool(String),
    /// Engines without a model.
    #[error("model pool `{0}` names no model")]
    MissingModel(String),
    /// Kept KV cache in a pool of engines.
    #[error("kept KV cache is held by a pool of kind `plain`, and `{0}` is one of engines")]
    KvStoreNotPlain(String),
    /// A key that has no effect beside another.
    #[error("`{key}` has no effect {beside}")]
    IneffectiveKey {
        /// The key.
        key: &'static str,
        /// Beside what.
        beside: &'static str,
    },
    /// A team that nobody can speak for.
    #[error("team `{0}` has no key, so nobody can call as it")]
    TeamWithoutKey(String),
    /// A key that two teams hold.
    #[error("team `{0}` has the same key")]
    DuplicateApiKey(String),
    /// A region without failure domains.
    #[error("region `{0}` has no failure domain")]
    EmptyRegion(String),
    /// A failure domain that stands twice.
    #[error("failure domain `{domain}` stands in region `{region}` already")]
    DuplicateDomain {
        /// The domain.
        domain: String,
        /// Where it stood first.
        region: String,
    },
    /// A value that must not be zero.
    #[error("`{0}` can't be zero")]
    Zero(&'static str),
    /// A limit that a tighter one overrules.
    #[error("limit `{0}` never binds: each team that the rule matches has a tighter one")]
    IneffectiveLimit(&'static str),
    /// A rule whose limit refuses all that it matches.
    #[error("the largest body allowed is smaller than the least prompt matched")]
    BodyBelowPrompt,
    /// A scope that another team believes to be its own.
    #[error("scope `{scope}` is that of team `{owner}`, which doesn't share it with `{team}`")]
    ForeignScope {
        /// The scope.
        scope: String,
        /// Whose it is.
        owner: String,
        /// Who would read it.
        team: String,
    },
}

impl FaultKind {
    /// How bad it is. An unknown key is a warning, save among conditions: leaving one out would
    /// make its rule match more than is written.
    pub fn severity(&self) -> Severity {
        match self {
            Self::UnknownKey {
                condition: false, ..
            }
            | Self::Unreachable { .. }
            | Self::UnusedPool(_)
            | Self::MissingModel(_)
            | Self::IneffectiveKey { .. }
            | Self::TeamWithoutKey(_)
            | Self::IneffectiveLimit(_) => Severity::Warning,
            _ => Severity::Error,
        }
    }

    /// What was probably meant.
    pub fn hint(&self) -> Option<&str> {
        match self {
            Self::UnknownKey { hint, .. }
            | Self::UnknownWord { hint, .. }
            | Self::UnknownName { hint, .. } => hint.as_deref(),
            _ => None,
        }
    }
}

/// One thing that is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct Fault {
    /// The file's name; empty if the text came from elsewhere.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1, in characters.
    pub column: usize,
    /// The key's whole path, as `rule[3].then.pool`.
    pub key: String,
    /// How bad it is.
    pub severity: Severity,
    /// What is wrong.
    pub kind: FaultKind,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.file.is_empty() {
            write!(f, "{}:", self.file)?;
        }
        write!(f, "{}:{}: {}: ", self.line, self.column, self.severity)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        write!(f, "{}", self.kind)?;
        match self.kind.hint() {
            Some(hint) => write!(f, "  (did you mean `{hint}`?)"),
            None => Ok(()),
        }
    }
}

/// All that is wrong with one text, in its order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Error)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// Whether anything keeps the configuration from being taken.
    pub fn has_errors(&self) -> bool {
        self.0.iter().any(|f| f.severity == Severity::Error)
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|x| writeln!(f, "{x}"))
    }
}
