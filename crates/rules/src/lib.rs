//! The fleet's configuration: what it says, whether it holds together, and what it decides.
//!
//! A configuration is one TOML text: places, pools, teams and ordered when-then rules. It is
//! parsed and checked as a whole ([`RuleSet::compile`]), and a [`RuleSet`] answers the two
//! questions that each request raises: which team sent it, and which rule matches it first.

pub mod config;
pub mod decide;
pub mod fault;

pub use config::{Config, Pool, Rule, Team, Then, When};
pub use decide::{Decision, Facts, RuleSet};
pub use fault::{Fault, Faults};
