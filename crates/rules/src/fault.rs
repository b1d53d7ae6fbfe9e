//! Faults of a configuration and their messages.
//!
//! A check reports all faults at once, each with its position in the text, so that an operator can
//! correct a file in one pass. A configuration with errors is rejected. Warnings point at settings
//! that are allowed but probably unintended.

use std::fmt;

use thiserror::Error;

/// Severity of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Severity {
    /// The configuration is rejected.
    Error,
    /// The configuration is accepted, but the setting is probably unintended.
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

/// Kind of a name that one part of a configuration declares and another refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NameKind {
    /// Name of a pool.
    Pool,
    /// Name of a team.
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

/// Kind of a fault; its `Display` is the message.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FaultKind {
    /// The text is not valid TOML.
    #[error("{0}")]
    Syntax(String),
    /// A key that its table doesn't have.
    #[error("unknown key `{name}`")]
    UnknownKey {
        /// The unknown key.
        name: String,
        /// A known key with a similar name.
        hint: Option<String>,
        /// Whether the key is in a `when` or `not` table.
        is_condition: bool,
    },
    /// A value of the wrong type.
    #[error("expected {expected}, found {found}")]
    WrongType {
        /// Type that the key requires.
        expected: &'static str,
        /// Type of the value.
        found: &'static str,
    },
    /// A number that is not a `u32`.
    #[error("`{0}` is not a whole number from 0 to 4294967295")]
    BadNumber(String),
    /// A word that isn't among a fixed set of words.
    #[error("`{word}` is not one of {known}")]
    UnknownWord {
        /// The unknown word.
        word: String,
        /// Words that are allowed, as a list for display.
        known: String,
        /// An allowed word that is similar.
        hint: Option<String>,
    },
    /// A malformed duration.
    #[error("`{0}` is no duration; write a whole number and us, ms, s, m, h or d")]
    BadDuration(String),
    /// A malformed size.
    #[error("`{0}` is no size; write a whole number and B, KiB, MiB or GiB")]
    BadSize(String),
    /// A malformed percentage.
    #[error(
        "`{0}` is no percentage; write a number from 0 to 100, with at most one decimal, and %"
    )]
    BadPercent(String),
    /// A malformed or empty window of the day.
    #[error("`{0}` is no window; write two different times of day as `06:00-18:30`")]
    BadWindow(String),
    /// A pattern with a `*` elsewhere than at the end.
    #[error("`{0}` is no pattern; `*` is allowed only at the end")]
    BadGlob(String),
    /// A path pattern that no path can match.
    #[error("path `{0}` doesn't begin with `/`")]
    BadPath(String),
    /// A malformed digest of an API key.
    #[error("a key is `blake3:` and 64 hexadecimal digits")]
    BadDigest,
    /// An invalid header name, or one that is not in lower case.
    #[error("`{0}` is no header name; names are written in lower case")]
    BadHeaderName(String),
    /// A header value with characters that can't be sent.
    #[error("the value of header `{0}` contains characters that can't be sent")]
    BadHeaderValue(String),
    /// A header that the router itself sets.
    #[error("header `{0}` is set by the router itself")]
    ReservedHeader(String),
    /// A name that is used, but not declared.
    #[error("no {kind} is named `{name}`")]
    UnknownName {
        /// Kind of the name.
        kind: NameKind,
        /// The undeclared name.
        name: String,
        /// A declared name that is similar.
        hint: Option<String>,
    },
    /// A name that can't be used as a label in metrics and logs.
    #[error("`{0}` is no name; names are letters, digits, `-`, `_` and `.`")]
    BadName(String),
    /// A rule without a name.
    #[error("the rule has no name")]
    MissingRuleName,
    /// A second rule with the same name.
    #[error("rule `{0}` stands twice")]
    DuplicateRule(String),
    /// A rule that neither forwards requests to a pool nor refuses them.
    #[error("rule `{0}` has neither `pool` nor `refuse`")]
    NoOutcome(String),
    /// A rule that both forwards requests to a pool and refuses them.
    #[error("rule `{0}` has both `pool` and `refuse`")]
    TwoOutcomes(String),
    /// A rule that is shadowed by an earlier rule, which matches all its requests.
    #[error("rule `{rule}` is never reached: `{by}` matches all that it does")]
    Unreachable {
        /// Name of the shadowed rule.
        rule: String,
        /// Name of the earlier rule.
        by: String,
    },
    /// A rule whose conditions exclude one another.
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
    /// A pool that no rule or other pool refers to.
    #[error("no rule sends anything to pool `{0}`")]
    UnusedPool(String),
    /// A model pool without a model.
    #[error("model pool `{0}` names no model")]
    MissingModel(String),
    /// A `kept` key that names a pool of engines instead of a plain one.
    #[error("kept KV cache needs a pool of kind `plain`, but `{0}` is of kind `model`")]
    KvStoreNotPlain(String),
    /// A key that has no effect in combination with other settings.
    #[error("`{key}` has no effect {context}")]
    IneffectiveKey {
        /// The key without effect.
        key: &'static str,
        /// Settings that make it so, as "without `refuse`".
        context: &'static str,
    },
    /// A team without API keys, as which no caller can authenticate.
    #[error("team `{0}` has no key, so no caller can authenticate as it")]
    TeamWithoutKey(String),
    /// An API key that another team has already; the field names that team.
    #[error("team `{0}` has the same key")]
    DuplicateApiKey(String),
    /// A region without failure domains.
    #[error("region `{0}` has no failure domain")]
    EmptyRegion(String),
    /// A failure domain that is listed twice.
    #[error("failure domain `{domain}` is already in region `{region}`")]
    DuplicateDomain {
        /// Name of the failure domain.
        domain: String,
        /// Region that lists it first.
        region: String,
    },
    /// A value that must not be zero.
    #[error("`{0}` can't be zero")]
    Zero(&'static str),
    /// A limit of a rule that has no effect, as every team that the rule matches has a lower one.
    #[error("limit `{0}` has no effect: each team that the rule matches has a lower one")]
    IneffectiveLimit(&'static str),
    /// A rule whose body limit is below the smallest prompt that it matches, so that it refuses
    /// every request.
    #[error("the largest body allowed is smaller than the smallest prompt matched")]
    BodyBelowPrompt,
    /// A cache scope of another team that doesn't share it.
    #[error("scope `{scope}` is that of team `{owner}`, which doesn't share it with `{team}`")]
    ForeignScope {
        /// Name of the scope.
        scope: String,
        /// Team that the scope belongs to.
        owner: String,
        /// Team that would get access to the scope.
        team: String,
    },
}

impl FaultKind {
    /// Severity of this kind of fault.
    ///
    /// An unknown key is only a warning, except among conditions: ignoring a condition would make
    /// its rule match more requests than intended.
    pub fn severity(&self) -> Severity {
        match self {
            Self::UnknownKey {
                is_condition: false,
                ..
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

    /// A known name that was probably intended.
    pub fn hint(&self) -> Option<&str> {
        match self {
            Self::UnknownKey { hint, .. }
            | Self::UnknownWord { hint, .. }
            | Self::UnknownName { hint, .. } => hint.as_deref(),
            _ => None,
        }
    }
}

/// One fault and its position.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct Fault {
    /// Name of the file; empty if the text came from elsewhere.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Full path of the key, such as `rule[3].then.pool`; empty for a syntax error.
    pub key: String,
    /// Severity of `kind`.
    pub severity: Severity,
    /// Kind of the fault, with its details.
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

/// All faults of a configuration, in the order of its text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Error)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// Whether any fault is an error, so that the configuration is rejected.
    pub fn has_errors(&self) -> bool {
        self.0.iter().any(|f| f.severity == Severity::Error)
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|x| writeln!(f, "{x}"))
    }
}
