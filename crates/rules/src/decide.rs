//! From a request's facts to the first rule that matches.

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

/// Seconds of a day.
const DAY: u64 = 86_400;

/// A checked configuration, ready to decide.
#[derive(Clone, Debug, Default)]
pub struct RuleSet {
    config: Config,
    warnings: Vec<Fault>,
    keys: ApiKeys,
    index: Index,
    /// All conditions of each rule.
    conds: Vec<Vec<Condition>>,
    /// Those of each rule that the index leaves open.
    rest: Vec<Vec<Condition>>,
}

/// What the rules may ask of a request.
#[derive(Clone, Debug, Default, PartialEq)]
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
    pub prompt_bytes: usize,
    /// Minutes since midnight, UTC.
    pub minute: u16,
    /// Day of the week, UTC.
    pub weekday: Weekday,
}

impl Facts {
    /// The class that the caller asks for, if it is one.
    pub fn requested_class(&self) -> Option<Class> {
        self.headers.get(condition::CLASS_HEADER)?.parse().ok()
    }

    /// The same facts at a time, in seconds since the beginning of 1970, UTC.
    pub fn at_unix_time(mut self, unix: u64) -> Self {
        self.minute = (unix % DAY / 60) as u16;
        // The first day of 1970 was a Thursday.
        self.weekday = Weekday::ALL[((unix / DAY + 3) % 7) as usize];
        self
    }
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
    /// How long until the answer is of no use.
    pub deadline: Option<Micros>,
    /// Cache scope: the rule's, or else the team's. Absent for a team that isn't declared.
    pub scope: Option<&'a str>,
    /// Limits on all that the team sends; those on what it sends under this rule stand in the
    /// rule and hold as well.
    pub limits: Limits,
    /// The largest body that both allow.
    pub max_body: Option<Size>,
}

impl RuleSet {
    /// Parses and checks a text; all faults at once if there is an error among them.
    pub fn compile(text: impl AsRef<str>) -> Result<Self, Faults> {
        Self::compile_file("", text)
    }

    /// The same for the text of a file, whose name the faults then bear.
    pub fn compile_file(file: impl AsRef<str>, text: impl AsRef<str>) -> Result<Self, Faults> {
        let (config, faults) = parse(file.as_ref(), text.as_ref());
        match faults.has_errors() {
            true => Err(faults),
            false => Ok(Self::build(config, faults.0)),
        }
    }

    /// Takes a configuration that another program has checked and put in order.
    pub fn from_checked(config: Config) -> Self {
        Self::build(config, Vec::new())
    }

    fn build(config: Config, warnings: Vec<Fault>) -> Self {
        let conds: Vec<_> = config.rule.iter().map(condition::of).collect();
        let open = |conds: &Vec<Condition>| {
            let open = conds.iter().filter(|c| !Index::answers(c));
            open.cloned().collect()
        };
        Self {
            warnings,
            keys: ApiKeys::new(&config),
            index: Index::new(&conds),
            rest: conds.iter().map(open).collect(),
            conds,
            config,
        }
    }

    /// The configuration itself.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// What is allowed in it, but hardly meant.
    pub fn warnings(&self) -> &[Fault] {
        &self.warnings
    }

    /// The team with this API key. The time taken doesn't tell how near a guess came; see the head
    /// of the module `api_keys`.
    pub fn team(&self, key: impl AsRef<[u8]>) -> Option<(&str, &Team)> {
        let name = self.keys.team(key)?;
        Some((name, self.config.team.get(name)?))
    }

    /// The first rule that matches, with its consequences.
    pub fn decide(&self, facts: &Facts) -> Option<Decision<'_>> {
        let first = self.first_match(facts)?;
        let rule = &self.config.rule[first];
        let then = &rule.then;
        let pool = then
            .pool
            .as_deref()
            .and_then(|n| Some((n, self.config.pool.get(n)?)));
        let safe = matches!(facts.method.as_str(), "GET" | "HEAD" | "OPTIONS");
        let model = pool.is_some_and(|(_, p)| p.kind == PoolKind::Model);
        let team = self.config.team.get_key_value(&facts.team);
        let own = team.map(|(name, _)| self.config.scope(name));
        let limits = team.map_or(self.config.limits, |(_, t)| t.limits.or(self.config.limits));
        Some(Decision {
            rule,
            pool: pool.filter(|_| then.refuse.is_none()),
            class: then.class,
            idempotent: then.idempotent.unwrap_or(safe || model),
            deadline: then.deadline.map(|d| d.0),
            scope: then.scope.as_deref().or(own),
            limits,
            max_body: [limits.body, then.limits.body].into_iter().flatten().min(),
        })
    }

    /// The position of the first rule that matches.
    pub fn first_match(&self, facts: &Facts) -> Option<usize> {
        let pass = |rule: usize| self.rest[rule].iter().all(|c| c.holds(facts));
        self.index.find(facts, pass)
    }

    pub(crate) fn conds(&self) -> &[Vec<Condition>] {
        &self.conds
    }
}

/// Reads and checks a text: what could be read, and all that is wrong with it.
pub fn parse(file: &str, text: &str) -> (Config, Faults) {
    let (mut reader, config) = Reader::parse::<Config>(text);
    check::run(&mut reader, &config);
    (config, Faults(reader.finish(file, text)))
}
