//! The configuration as its text spells it; each struct mirrors a table of the same name.

use std::collections::BTreeMap;

use model::Class;
use serde::{Deserialize, Serialize};

/// The whole text.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Config {
    /// Regions by name, each with its failure domains.
    #[serde(default)]
    pub region: BTreeMap<String, Region>,
    /// Pools by name.
    #[serde(default)]
    pub pool: BTreeMap<String, Pool>,
    /// Teams by name.
    #[serde(default)]
    pub team: BTreeMap<String, Team>,
    /// Rules; the first that matches decides.
    #[serde(default)]
    pub rule: Vec<Rule>,
}

/// Failure domains near one another.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Region {
    /// Names of its failure domains.
    pub domains: Vec<String>,
}

/// What stands behind a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Model engines with a prefix cache.
    #[default]
    Model,
    /// Plain services.
    Plain,
}

/// Targets that can stand in for one another.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Pool {
    /// What stands behind it.
    #[serde(default)]
    pub kind: Kind,
    /// The model its engines serve.
    #[serde(default)]
    pub model: String,
    /// The weights its engines should serve.
    #[serde(default)]
    pub weights: String,
}

/// A customer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Team {
    /// API key digests, `blake3:` and 64 hexadecimal digits each.
    #[serde(default)]
    pub keys: Vec<String>,
    /// Cache scope; teams of one scope share cache entries. The team's own name if empty.
    #[serde(default)]
    pub scope: String,
    /// Weight in fair sharing.
    #[serde(default = "one")]
    pub share: u32,
}

fn one() -> u32 {
    1
}

/// One when-then rule.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Rule {
    /// Name in logs and explanations.
    pub name: String,
    /// All of it must hold.
    #[serde(default)]
    pub when: When,
    /// What happens then.
    pub then: Then,
}

/// Conditions; an empty one always holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct When {
    /// One of these teams.
    #[serde(default)]
    pub team: Vec<String>,
    /// This path; a trailing `*` stands for any rest.
    #[serde(default)]
    pub path: Option<String>,
    /// This model.
    #[serde(default)]
    pub model: Option<String>,
    /// All of these headers with these values.
    #[serde(default)]
    pub header: BTreeMap<String, String>,
}

/// Consequences.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Then {
    /// Where it goes.
    #[serde(default)]
    pub pool: Option<String>,
    /// How urgent it is.
    #[serde(default)]
    pub class: Class,
    /// Milliseconds until the answer is of no use.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Whether it may run more than once; by default as its HTTP method says, and for a model
    /// pool yes.
    #[serde(default)]
    pub idempotent: Option<bool>,
    /// Refuse it, with this reason.
    #[serde(default)]
    pub refuse: Option<String>,
}
