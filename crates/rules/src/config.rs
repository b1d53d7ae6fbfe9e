//! The configuration as it is written in a rule file: each struct mirrors one TOML table.

use std::collections::BTreeMap;

use model::Class;
use toml::de::DeValue;
use toml::Spanned;

use crate::features;
use crate::read::{Read, Reader};
use crate::table::{find_word, table, word_enum, OptionDoc};
use crate::units::{Duration, Glob, Size, TimeWindow};

/// Default number of concurrent weight loads in one pool. Both users' weight stores slow down
/// beyond two.
pub const DEFAULT_PERMITS: u32 = 2;

table! {
    /// A whole configuration.
    Config in "" {
        /// Regions by name, each with its failure domains.
        "region" region: BTreeMap<String, Region> = BTreeMap::new();
        /// Pools by name.
        "pool" pool: BTreeMap<String, Pool> = BTreeMap::new();
        /// Teams by name.
        "team" team: BTreeMap<String, Team> = BTreeMap::new();
        /// Default limits of a team, each used where the team sets none of its own.
        "limits" limits: Limits = Limits::default();
        /// How many replicas are probed to place a request.
        "place" place: features::Placement = features::Placement::default();
        /// Reservation of places at replicas for requests that may arrive.
        "reserve" reserve: features::Reserve = features::Reserve::default();
        /// Admission control: which requests are refused before they wait.
        "admit" admit: features::Admit = features::Admit::default();
        /// Order in which requests leave a target's queue.
        "queue" queue: features::Queue = features::Queue::default();
        /// Limit on the number of requests that a target runs at once.
        "concurrency" concurrency: features::Concurrency = features::Concurrency::default();
        /// Retries of a request and the budget for them.
        "retry" retry: features::Retry = features::Retry::default();
        /// Ejection of slow or failing targets and the trials that readmit them.
        "health" health: features::Health = features::Health::default();
        /// Refusal of requests that repeatedly crash their targets.
        "quarantine" quarantine: features::Quarantine = features::Quarantine::default();
        /// Planned shutdown.
        "drain" drain: features::Drain = features::Drain::default();
        /// Rules in order; the first that matches decides.
        "rule" rule: Vec<Rule> = Vec::new();
    }
}

table! {
    /// A group of failure domains that are near one another.
    Region in "region.NAME" {
        /// Names of its failure domains.
        "domains" domains: Vec<String> = Vec::new();
    }
}

word_enum! {
    /// Kind of targets that a pool consists of.
    PoolKind {
        /// Model engines with a prefix cache.
        #[default]
        Model "model",
        /// Plain services.
        Plain "plain",
    }
}

table! {
    /// A set of interchangeable targets.
    Pool in "pool.NAME" {
        /// What stands behind it: `model` engines with a prefix cache, or `plain` services.
        "kind" kind: PoolKind = PoolKind::Model;
        /// The model its engines serve.
        "model" model: String = String::new();
        /// The version of the weights its engines should serve.
        "weights" weights: String = String::new();
        /// Whether its targets refuse an order with an old fencing number. If not, a new holder
        /// of the lease waits until no order of the old one can still arrive.
        "fencing" fencing: bool = false;
        /// The plain pool that holds kept KV cache for these engines, if there is one.
        "kept" kept: Option<String> = None;
        /// Loads of weights at once.
        "permits" permits: u32 = DEFAULT_PERMITS;
        /// Requests that one target should run at once at most; measured if absent.
        "concurrency" concurrency: Option<u32> = None;
    }
}

table! {
    /// A customer, identified by its API keys.
    Team in "team.NAME" {
        /// API key digests, `blake3:` and 64 hexadecimal digits each.
        "keys" keys: Vec<String> = Vec::new();
        /// Cache scope; teams of one scope share cache entries. The team's own name if empty.
        "scope" scope: String = String::new();
        /// Weight in fair sharing.
        "share" share: u32 = 1;
        /// Limits on all that this team sends.
        "limits" limits: Limits = Limits::default();
    }
}

table! {
    #[derive(Copy)]
    /// Limits on what one team may send. Limits of the team and of the rule apply together.
    Limits in "limits" {
        /// Requests a second.
        "requests" requests: Option<u32> = None;
        /// Prompt tokens a second.
        "tokens" tokens: Option<u32> = None;
        /// Bytes of one request's body.
        "body" body: Option<Size> = None;
    }
}

table! {
    /// One when-then rule.
    Rule in "rule" {
        /// Name in logs and explanations.
        "name" name: String = String::new();
        /// All of it must hold.
        "when" when: When = When::default();
        /// None of it may hold.
        "not" not: When = When::default();
        /// What happens then.
        "then" then: Then = Then::default();
    }
}

table! {
    /// Conditions on a request. A condition that isn't set always holds.
    When in "rule.when" {
        /// One of these teams.
        "team" team: Vec<String> = Vec::new();
        /// One of these paths, without query; a trailing `*` stands for any rest.
        "path" path: Vec<Glob> = Vec::new();
        /// One of these HTTP methods.
        "method" method: Vec<String> = Vec::new();
        /// One of these models; a trailing `*` stands for any rest.
        "model" model: Vec<Glob> = Vec::new();
        /// One of these classes, as asked for in the `x-class` header.
        "class" class: Vec<Class> = Vec::new();
        /// One of these windows of the day in UTC, as `06:00-18:30`.
        "hours" hours: Vec<TimeWindow> = Vec::new();
        /// One of these days of the week in UTC.
        "days" days: Vec<Weekday> = Vec::new();
        /// Size of the prompt.
        "prompt" prompt: SizeRange = SizeRange::default();
        /// All of these headers, names in lower case; a trailing `*` stands for any rest, so that
        /// `*` alone asks that the header be there.
        "header" header: BTreeMap<String, Glob> = BTreeMap::new();
    }
}

table! {
    #[derive(Copy)]
    /// A range of sizes, both ends included.
    SizeRange in "rule.when.prompt" {
        /// The least size.
        "min" min: Option<Size> = None;
        /// The greatest size.
        "max" max: Option<Size> = None;
    }
}

word_enum! {
    /// A day of the week.
    Weekday {
        /// Monday.
        #[default]
        Mon "mon",
        /// Tuesday.
        Tue "tue",
        /// Wednesday.
        Wed "wed",
        /// Thursday.
        Thu "thu",
        /// Friday.
        Fri "fri",
        /// Saturday.
        Sat "sat",
        /// Sunday.
        Sun "sun",
    }
}

table! {
    /// Consequences of a rule for the requests that it decides.
    Then in "rule.then" {
        /// Where it goes.
        "pool" pool: Option<String> = None;
        /// How urgent it is.
        "class" class: Class = Class::Normal;
        /// How long until the answer is of no use.
        "deadline" deadline: Option<Duration> = None;
        /// Whether it may run more than once; by default yes for a model pool and for the methods
        /// GET, HEAD and OPTIONS, otherwise no.
        "idempotent" idempotent: Option<bool> = None;
        /// Cache scope in place of the team's.
        "scope" scope: Option<String> = None;
        /// Refuse it, with this reason.
        "refuse" refuse: Option<String> = None;
        /// When a refused caller may come back.
        "retry-after" retry_after: Option<Duration> = None;
        /// Limits on what each team sends under this rule.
        "limits" limits: Limits = Limits::default();
        /// Headers to set on the request before it goes to its target.
        "set" set: BTreeMap<String, String> = BTreeMap::new();
    }
}

impl Limits {
    /// Each limit with its key in the configuration.
    pub fn by_key(&self) -> [(&'static str, Option<u64>); 3] {
        [
            ("requests", self.requests.map(u64::from)),
            ("tokens", self.tokens.map(u64::from)),
            ("body", self.body.map(|s| s.0)),
        ]
    }

    /// These limits, with those of `other` where none is set.
    pub fn or(self, other: Self) -> Self {
        Self {
            requests: self.requests.or(other.requests),
            tokens: self.tokens.or(other.tokens),
            body: self.body.or(other.body),
        }
    }
}

impl Config {
    /// Serializes the configuration in canonical form: parsing the text gives the same
    /// configuration, and serializing that gives the same text. Comments are lost.
    pub fn to_toml(&self) -> Result<String, toml::ser::Error> {
        toml::to_string(self)
    }

    /// Cache scope of a team: its own name unless its table sets a scope.
    pub fn scope<'a>(&'a self, team: &'a str) -> &'a str {
        match self.team.get(team) {
            Some(t) if !t.scope.is_empty() => &t.scope,
            _ => team,
        }
    }

    /// Limits on all requests of a team: its own, with the default limits where it sets none.
    pub fn limits(&self, team: &str) -> Limits {
        match self.team.get(team) {
            Some(t) => t.limits.or(self.limits),
            None => self.limits,
        }
    }

    /// Documentation of every key of every table.
    pub fn options() -> Vec<OptionDoc> {
        [
            Region::option_docs(),
            Pool::option_docs(),
            Team::option_docs(),
            Limits::option_docs(),
            Rule::option_docs(),
            When::option_docs(),
            SizeRange::option_docs(),
            Then::option_docs(),
            features::option_docs(),
        ]
        .concat()
    }
}

impl Read for Class {
    fn kind() -> String {
        "word".to_owned()
    }

    fn read(r: &mut Reader, path: &str, value: &Spanned<DeValue<'_>>) -> Option<Self> {
        r.parse_string::<ClassWord>(path, value).map(|w| w.0)
    }
}

/// Wrapper that parses a class with a fault that lists the known ones and suggests one of them.
struct ClassWord(Class);

impl std::str::FromStr for ClassWord {
    type Err = crate::fault::FaultKind;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        find_word(s, Class::ALL.iter().map(|c| c.as_str())).map(|i| Self(Class::ALL[i]))
    }
}
