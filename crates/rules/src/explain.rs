//! Why a request is decided as it is: the rule that decides and what kept each earlier one from it.

use std::fmt;

use crate::condition::Condition;
use crate::config::Then;
use crate::decide::{Decision, Facts, RuleSet};

/// What the rules make of a request, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation<'a> {
    /// The earlier rules, each with the first condition that failed.
    pub skipped: Vec<SkippedRule<'a>>,
    /// The rule's position and its consequences; absent if no rule matches.
    pub decision: Option<(usize, Decision<'a>)>,
}

/// A rule that doesn't match.
#[derive(Clone, Debug, PartialEq)]
pub struct SkippedRule<'a> {
    /// Its position.
    pub index: usize,
    /// Its name.
    pub rule: &'a str,
    /// The first of its conditions that fails.
    pub failed: &'a Condition,
    /// What the request has instead.
    pub found: String,
}

impl RuleSet {
    /// Which rule decides a request, and why each earlier one doesn't.
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
                found: found(failed, facts),
            })
        });
        Explanation {
            skipped: skipped.collect(),
            decision,
        }
    }
}

/// What a request has where a condition asks for something.
fn found(cond: &Condition, facts: &Facts) -> String {
    let none = || "none".to_owned();
    match cond {
        Condition::Team(_) => facts.team.clone(),
        Condition::Path(_) => facts.path.clone(),
        Condition::Method(_) => facts.method.clone(),
        Condition::Model(_) => facts.model.clone().unwrap_or_else(none),
        Condition::Class(_) => facts.requested_class().map_or_else(none, |c| c.to_string()),
        Condition::Hours(_) => format!("{:02}:{:02}", facts.minute / 60, facts.minute % 60),
        Condition::Days(_) => facts.weekday.to_string(),
        Condition::Prompt(_) => format!("{}B", facts.prompt_bytes),
        Condition::Header(name, _) => facts.headers.get(name).cloned().unwrap_or_else(none),
        Condition::Not(inner) => found(inner, facts),
    }
}

impl fmt::Display for Explanation<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for p in &self.skipped {
            writeln!(f, "{p}")?;
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

/// A decision in one line.
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
            (Some(why), _) => write!(f, "refused: {why}")?,
            (None, Some((pool, _))) => write!(f, "pool `{pool}`, class `{}`", d.class)?,
            (None, None) => f.write_str("no pool")?,
        }
        match (refuse, retry_after, deadline) {
            (Some(_), Some(after), _) => write!(f, ", retry after {after}"),
            (Some(_), None, _) => Ok(()),
            (None, _, Some(span)) => write!(f, ", deadline {span}{}", once(d)),
            (None, _, None) => f.write_str(once(d)),
        }
    }
}

fn once(d: &Decision<'_>) -> &'static str {
    match d.idempotent {
        true => ", idempotent",
        false => ", at most once",
    }
}
