//! Compiles a configuration and finds the first rule that matches a request.

use std::collections::BTreeMap;

use model::{Class, Micros};

use crate::api_keys::ApiKeys;
use crate::check;
use crate::condition::{self, Condition};
use crate::config::{Config, Limits, Pool, PoolKind, Rule, Team, Weekday};
use crate::fault::{Fault, Faults};
use crate::index::Index;
use crate::read::Reader;
use crate::units::Size;

const SECONDS_PER_DAY: u64 = 86_400;

/// A checked configuration together with the indexes that requests are matched against.
#[derive(Clone, Debug, Default)]
pub struct RuleSet {
    config: Config,
    warnings: Vec<Fault>,
    keys: ApiKeys,
    index: Index,
    /// All conditions of each rule, in rule order.
    conditions: Vec<Vec<Condition>>,
    /// For each rule, the conditions that the index doesn't evaluate.
    unindexed: Vec<Vec<Condition>>,
}

/// The properties of a request that conditions can test.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Facts {
    /// Name of the team that sent the request.
    pub team: String,
    /// HTTP method.
    pub method: String,
    /// Path without query.
    pub path: String,
    /// Model named in the request, if any.
    pub model: Option<String>,
    /// Headers, names in lower case.
    pub headers: BTreeMap<String, String>,
    /// Size of the prompt.
    pub prompt_bytes: usize,
    /// Minutes since midnight, UTC.
    pub minute: u16,
    /// Day of the week, UTC.
    pub weekday: Weekday,
}

impl Facts {
    /// Class requested in the `x-class` header; absent if the header is missing or names no class.
    pub fn requested_class(&self) -> Option<Class> {
        self.headers.get(condition::CLASS_HEADER)?.parse().ok()
    }

    /// Sets the minute and weekday from a Unix time in seconds.
    pub fn at_unix_time(mut self, seconds: u64) -> Self {
        self.minute = (seconds % SECONDS_PER_DAY / 60) as u16;
        // 1 January 1970 was a Thursday, which is `Weekday::ALL[3]`.
        self.weekday = Weekday::ALL[((seconds / SECONDS_PER_DAY + 3) % 7) as usize];
        self
    }
}

/// The matching rule and its consequences for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision<'a> {
    /// The first rule that matches.
    pub rule: &'a Rule,
    /// Name and settings of the pool that serves the request; absent if the rule refuses it.
    pub pool: Option<(&'a str, &'a Pool)>,
    /// Priority class.
    pub class: Class,
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// Time after which the answer is useless to the caller.
    pub deadline: Option<Micros>,
    /// Cache scope: the rule's, or else the team's. Absent for a team that isn't declared.
    pub scope: Option<&'a str>,
    /// Limits on all requests of the team. The rule's own limits, in `rule.then.limits`, apply
    /// in addition.
    pub limits: Limits,
    /// The smaller of the team's and the rule's body limit.
    pub max_body: Option<Size>,
}

impl RuleSet {
    /// Parses and checks a configuration. If there is any error, returns every fault, warnings
    /// included.
    pub fn compile(text: impl AsRef<str>) -> Result<Self, Faults> {
        Self::compile_file("", text)
    }

    /// Like [`RuleSet::compile`], with a file name that the faults are reported under.
    pub fn compile_file(file: impl AsRef<str>, text: impl AsRef<str>) -> Result<Self, Faults> {
        let (config, faults) = parse(file.as_ref(), text.as_ref());
        match faults.has_errors() {
            true => Err(faults),
            false => Ok(Self::build(config, faults.0)),
        }
    }

    /// Builds a rule set without any check, from a configuration that another program has
    /// checked and whose rules it has ordered.
    pub fn from_checked(config: Config) -> Self {
        Self::build(config, Vec::new())
    }

    fn build(config: Config, warnings: Vec<Fault>) -> Self {
        let conditions: Vec<_> = config.rule.iter().map(condition::of_rule).collect();
        let unindexed = |conditions: &Vec<Condition>| {
            let unindexed = conditions.iter().filter(|c| !Index::evaluates(c));
            unindexed.cloned().collect()
        };
        Self {
            warnings,
            keys: ApiKeys::new(&config),
            index: Index::new(&conditions),
            unindexed: conditions.iter().map(unindexed).collect(),
            conditions,
            config,
        }
    }

    /// The configuration that the rule set was built from.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Faults that don't prevent use, such as unreachable rules.
    pub fn warnings(&self) -> &[Fault] {
        &self.warnings
    }

    /// The team that an API key belongs to. The lookup is safe against timing attacks; see the
    /// module `api_keys`.
    pub fn team(&self, key: impl AsRef<[u8]>) -> Option<(&str, &Team)> {
        let name = self.keys.team(key)?;
        Some((name, self.config.team.get(name)?))
    }

    /// The first rule that matches, with its consequences.
    pub fn decide(&self, facts: &Facts) -> Option<Decision<'_>> {
        let position = self.first_match(facts)?;
        let rule = &self.config.rule[position];
        let then = &rule.then;
        let pool = then
            .pool
            .as_deref()
            .and_then(|n| Some((n, self.config.pool.get(n)?)));
        let safe_method = matches!(facts.method.as_str(), "GET" | "HEAD" | "OPTIONS");
        let model_pool = pool.is_some_and(|(_, p)| p.kind == PoolKind::Model);
        let team = self.config.team.get_key_value(&facts.team);
        let team_scope = team.map(|(name, _)| self.config.scope(name));
        let limits = team.map_or(self.config.limits, |(_, t)| t.limits.or(self.config.limits));
        Some(Decision {
            rule,
            pool: pool.filter(|_| then.refuse.is_none()),
            class: then.class,
            idempotent: then.idempotent.unwrap_or(safe_method || model_pool),
            deadline: then.deadline.map(|d| d.0),
            scope: then.scope.as_deref().or(team_scope),
            limits,
            max_body: [limits.body, then.limits.body].into_iter().flatten().min(),
        })
    }

    /// Position of the first rule that matches, counted from 0.
    pub fn first_match(&self, facts: &Facts) -> Option<usize> {
        let rest_holds = |rule: usize| self.unindexed[rule].iter().all(|c| c.holds(facts));
        self.index.find(facts, rest_holds)
    }

    pub(crate) fn conditions(&self) -> &[Vec<Condition>] {
        &self.conditions
    }
}

/// Parses and checks a configuration. Values that can't be read keep their defaults, and each is
/// reported as a fault.
pub fn parse(file: &str, text: &str) -> (Config, Faults) {
    let (mut reader, config) = Reader::parse::<Config>(text);
    check::run(&mut reader, &config);
    (config, Faults(reader.finish(file, text)))
}
