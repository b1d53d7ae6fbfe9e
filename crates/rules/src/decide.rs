//! From a request's facts to the first rule that matches.

use std::collections::BTreeMap;

use model::Class;
use subtle::ConstantTimeEq;

use crate::config::{Config, Kind, Pool, Rule, Team, When};
use crate::fault::{Fault, Faults};

/// A checked configuration, ready to decide.
#[derive(Clone, Debug, Default)]
pub struct RuleSet {
    config: Config,
    digests: Vec<([u8; 32], String)>,
}

/// What the rules may ask of a request.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    /// The team that sent it.
    pub team: String,
    /// HTTP method.
    pub method: String,
    /// Path without query.
    pub path: String,
    /// Model it names, if any.
    pub model: Option<String>,
    /// Headers, names in lower case.
    pub headers: BTreeMap<String, String>,
    /// Bytes of prompt.
    pub prompt: usize,
    /// Minutes since midnight, UTC.
    pub minute: u16,
}

/// What a rule makes of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision<'a> {
    /// The rule.
    pub rule: &'a Rule,
    /// Where it goes; absent if the rule refuses.
    pub pool: Option<(&'a str, &'a Pool)>,
    /// How urgent it is.
    pub class: Class,
    /// Whether it may run more than once.
    pub idempotent: bool,
}

impl RuleSet {
    /// Parses and checks a text; all faults at once.
    pub fn compile(text: impl AsRef<str>) -> Result<Self, Faults> {
        let config: Config = toml::from_str(text.as_ref()).map_err(|e| {
            Faults(vec![Fault {
                line: 1,
                column: 1,
                message: e.message().to_owned(),
            }])
        })?;
        let digests = config
            .team
            .iter()
            .flat_map(|(name, t)| {
                t.keys
                    .iter()
                    .filter_map(|k| Some((digest(k)?, name.clone())))
            })
            .collect();
        Ok(Self { config, digests })
    }

    /// The configuration itself.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// The team with this API key. Every digest is compared, so that the time taken says nothing
    /// of how near a guess came.
    pub fn team(&self, key: impl AsRef<[u8]>) -> Option<(&str, &Team)> {
        let want = blake3::hash(key.as_ref());
        let mut found = None;
        for (d, name) in &self.digests {
            if bool::from(d.ct_eq(want.as_bytes())) {
                found = Some(name);
            }
        }
        found.and_then(|n| Some((n.as_str(), self.config.team.get(n)?)))
    }

    /// The first rule that matches, with its consequences.
    pub fn decide(&self, facts: &Facts) -> Option<Decision<'_>> {
        let rule = self.config.rule.iter().find(|r| matches(&r.when, facts))?;
        let pool = rule
            .then
            .pool
            .as_deref()
            .and_then(|n| Some((n, self.config.pool.get(n)?)));
        let safe = matches!(facts.method.as_str(), "GET" | "HEAD" | "OPTIONS");
        let model = pool.is_some_and(|(_, p)| p.kind == Kind::Model);
        Some(Decision {
            rule,
            pool: pool.filter(|_| rule.then.refuse.is_none()),
            class: rule.then.class,
            idempotent: rule.then.idempotent.unwrap_or(safe || model),
        })
    }
}

fn digest(text: &str) -> Option<[u8; 32]> {
    let hex = text.strip_prefix("blake3:")?;
    blake3::Hash::from_hex(hex).ok().map(|h| *h.as_bytes())
}

fn matches(when: &When, facts: &Facts) -> bool {
    let path = when
        .path
        .as_deref()
        .is_none_or(|p| match p.strip_suffix('*') {
            Some(head) => facts.path.starts_with(head),
            None => facts.path == p,
        });
    path && (when.team.is_empty() || when.team.contains(&facts.team))
        && (when.model.is_none() || when.model == facts.model)
        && when
            .header
            .iter()
            .all(|(k, v)| facts.headers.get(k) == Some(v))
}
