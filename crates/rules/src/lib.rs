//! The fleet's configuration: parsing, checks, comparison and decisions on requests.
//!
//! A configuration is one TOML text with regions, pools, teams, settings of features and ordered
//! when-then rules. [`RuleSet::compile`] parses and checks the whole text. The resulting
//! [`RuleSet`] finds the team that an API key belongs to ([`RuleSet::team`]) and the first rule
//! that matches a request ([`RuleSet::decide`]). The operators' documentation is `docs/RULES.md`.

pub mod condition;
pub mod config;
pub mod decide;
pub mod diff;
pub mod explain;
pub mod fault;
pub mod features;
pub mod table;
pub mod units;

mod api_keys;
mod check;
mod check_rules;
mod index;
mod read;

pub use api_keys::key_digest;
pub use condition::Condition;
pub use config::{Config, Limits, Pool, Rule, Team, Then, Weekday, When};
pub use decide::{parse, Decision, Facts, RuleSet};
pub use diff::{diff, Change, Changes, Edit, Object};
pub use explain::{Explanation, SkippedRule};
pub use fault::{Fault, FaultKind, Faults, NameKind, Severity};
pub use table::OptionDoc;
