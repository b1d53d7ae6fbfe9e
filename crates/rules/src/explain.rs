//! Explains a decision: the rule that matches a request and why each earlier rule doesn't.

use std::fmt;

use crate::condition::Condition;
use crate::config::Then;
use crate::decide::{Decision, Facts, RuleSet};

/// The decision on a request and the rules that were skipped before it. `Display` gives one line
/// for each rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation<'a> {
    /// Earlier rules, which don't match; all rules if none matches.
    pub skipped: Vec<SkippedRule<'a>>,
    /// Position of the matching rule, from 0, and its consequences; absent if no rule matches.
    pub decision: Option<(usize, Decision<'a>)>,
}

/// A rule that doesn't match, and the first reason for it.
#[derive(Clone, Debug, PartialEq)]
pub struct SkippedRule<'a> {
    /// Position of the rule, from 0.
    pub index: usize,
    /// Name of the rule.
    pub rule: &'a str,
    /// First condition of the rule that the request fails.
    pub failed: &'a Condition,
    /// The request's value of the property that the condition tests.
    pub found: String,
}

impl RuleSet {
    /// Explains which rule decides a request and why each earlier rule doesn't.
    pub fn explain(&self, facts: &Facts) -> Explanation<'_> {
        let decision = self.first_match(facts).zip(self.decide(facts));
        let end = decision
            .as_ref()
            .map_or(self.conditions().len(), |(i, _)| *i);
        let conditions = self.conditions().iter().take(end).enumerate();
        let skipped = conditions.filter_map(|(index, conditions)| {
            let failed = conditions.iter().find(|c| !c.holds(facts))?;
            Some(SkippedRule {
                index,
                rule: &self.config().rule[index].name,
                failed,
                found: found_value(failed, facts),
            })
        });
        Explanation {
            skipped: skipped.collect(),
            decision,
        }
    }
}

/// The request's value of the property that a condition tests; "none" if the request lacks it.
fn found_value(condition: &Condition, facts: &Facts) -> String {
    let none = || "none".to_owned();
    match condition {
        Condition::Team(_) => facts.team.clone(),
        Condition::Path(_) => facts.path.clone(),
        Condition::Method(_) => facts.method.clone(),
        Condition::Model(_) => facts.model.clone().unwrap_or_else(none),
        Condition::Class(_) => facts.requested_class().map_or_else(none, |c| c.to_string()),
        Condition::Hours(_) => format!("{:02}:{:02}", facts.minute / 60, facts.minute % 60),
        Condition::Days(_) => facts.weekday.to_string(),
        Condition::Prompt(_) => format!("{}B", facts.prompt_bytes),
        Condition::Header(name, _) => facts.headers.get(name).cloned().unwrap_or_else(none),
        Condition::Not(inner) => found_value(inner, facts),
    }
}

impl fmt::Display for Explanation<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for rule in &self.skipped {
            writeln!(f, "{rule}")?;
        }
        match &self.decision {
            Some((i, d)) => write!(f, "{}. {}: matches; {}", i + 1, d.rule.name, Outcome(d)),
            None => f.write_str("no rule matches"),
        }
    }
}

impl fmt::Display for SkippedRule<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { rule, failed, .. } = self;
        let found = self.found.escape_debug();
        write!(
            f,
            "{}. {rule}: wants {failed}, found `{found}`",
            self.index + 1
        )
    }
}

/// Displays a decision in one line.
struct Outcome<'a>(&'a Decision<'a>);

impl fmt::Display for Outcome<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let d = self.0;
        let Then {
            refuse,
            retry_after,
            deadline,
            ..
        } = &d.rule.then;
        match (refuse, d.pool) {
            (Some(reason), _) => write!(f, "refused: {reason}")?,
            (None, Some((pool, _))) => write!(f, "pool `{pool}`, class `{}`", d.class)?,
            (None, None) => f.write_str("no pool")?,
        }
        match (refuse, retry_after, deadline) {
            (Some(_), Some(after), _) => write!(f, ", retry after {after}"),
            (Some(_), None, _) => Ok(()),
            (None, _, Some(deadline)) => write!(f, ", deadline {deadline}{}", repeatability(d)),
            (None, _, None) => f.write_str(repeatability(d)),
        }
    }
}

fn repeatability(d: &Decision<'_>) -> &'static str {
    match d.idempotent {
        true => ", idempotent",
        false => ", at most once",
    }
}
