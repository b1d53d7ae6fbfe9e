//! The fleet's configuration: what it says, whether it holds together, and what it decides.
//!
//! A configuration is one TOML text: places, pools, teams and ordered when-then rules. It is
//! parsed and checked as a whole ([`RuleSet::compile`]), and a [`RuleSet`] answers the two
//! questions that each request raises: which team sent it, and which rule matches it first.
//! `docs/RULES.md` is the operators' page of all this.

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
