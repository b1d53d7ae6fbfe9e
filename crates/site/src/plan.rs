//! The active configuration: matching rules and the routes that they select.
//!
//! The hosts and path prefixes of the platform's routes become ordinary when-then rules, sorted by
//! longest prefix first, because the first matching rule decides. Properties of a route that rules
//! can't express are kept in a [`Route`], which has the same index as its rule.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use rules::{Config, Facts, RuleSet};

/// Whether a request may run more than once, and whether its answer is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// May run more than once; the answer is not a stream.
    Idempotent,
    /// Must run at most once; the answer is not a stream.
    Once,
    /// An event stream of a request that must run at most once.
    Stream,
    /// An event stream that another replica may resume.
    Resumable,
}

impl Mode {
    /// Whether another replica may answer a request that may already have run, from its start or from
    /// the last event that the caller has.
    pub fn may_rerun(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }

    /// Whether the answer is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// The fraction of a route's requests that goes to one pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// Name of the pool.
    pub pool: String,
    /// Weight relative to the route's other pools.
    pub weight: f64,
}

/// Properties of a route beyond the matching rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route and of its rule.
    pub name: String,
    /// Whether requests may be repeated and whether answers are streams.
    pub mode: Mode,
    /// Longest time that a caller may wait for its answer.
    pub timeout: Duration,
    /// Latency objective for the answer, or for the first event of a stream.
    pub latency_goal: Duration,
    /// Objective for the longest pause between two events of a stream.
    pub event_gap_goal: Duration,
    /// Priority rank; 0 is served first.
    pub rank: u8,
    /// Maximum number of replicas that one request may run on.
    pub max_attempts: u32,
    /// Whether callers are served without an API key.
    pub anonymous: bool,
    /// Pools that serve the route.
    pub shares: Vec<Share>,
}

/// Properties that all engines of a pool share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Capacity of the KV cache, in tokens.
    pub memory_tokens: u32,
    /// Bytes of KV cache per token.
    pub token_bytes: u64,
    /// Bandwidth of an engine's network link, in megabits per second.
    pub link_mbps: f64,
    /// Number of tokens in each event of a stream.
    pub tokens_per_event: u32,
}

/// A pool of targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Name of the pool.
    pub name: String,
    /// Maximum number of connections that one target accepts in total.
    pub connections: u32,
    /// Engine properties, if the targets are model engines.
    pub engine: Option<Engine>,
}

/// A store for saved KV cache.
#[derive(Clone, Debug, PartialEq)]
pub struct KvStore {
    /// Address of the store.
    pub addr: SocketAddr,
    /// The store's failure domain.
    pub domain: String,
    /// Bandwidth of the store's network link, in megabits per second.
    pub link_mbps: f64,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub max_head: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body: usize,
    /// Longest time that a request head may take to arrive.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// What a team's limit counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Each request counts as one.
    Requests,
    /// Each request counts as its prompt tokens and the most tokens it may generate.
    Tokens {
        /// Tokens of a request that doesn't state its own.
        plain: u64,
    },
}

/// A team's limit over all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamLimit {
    /// Units per second.
    pub rate: f64,
    /// Units that may be used at once, in addition.
    pub burst: f64,
    /// What is counted.
    pub unit: Unit,
}

impl TeamLimit {
    /// Units of a request, given the tokens that it states.
    pub fn units(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            Unit::Requests => 1,
            Unit::Tokens { plain } => tokens.unwrap_or(plain),
        }
    }
}

/// Priority, cache isolation and limit of a team.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tenancy {
    /// Priority rank that overrides the route's, if set.
    pub rank: Option<u8>,
    /// Whether the team shares no cached prompt parts with other teams.
    pub isolated: bool,
    /// Limit on the team's requests, if it has one.
    pub limit: Option<TeamLimit>,
}

/// A decoded configuration; [`Plan::new`] builds the rule matcher from it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanDraft {
    /// Version of the configuration; each accepted change raises it.
    pub version: u64,
    /// Teams, pools and rules; each rule is named after its route.
    pub config: Config,
    /// One route per rule of `config`, in the same order.
    pub routes: Vec<Route>,
    /// Whether requests need an API key, which is the case once any team is declared.
    pub requires_key: bool,
    /// Pools by name.
    pub pools: HashMap<String, Pool>,
    /// Stores for saved KV cache.
    pub kv_stores: Vec<KvStore>,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    /// Priority, cache isolation and limit by team name.
    pub teams: HashMap<String, Tenancy>,
}

/// An active configuration.
#[derive(Clone, Debug)]
pub struct Plan {
    draft: PlanDraft,
    rules: RuleSet,
}

impl Plan {
    /// Builds the rule matcher for a configuration.
    pub fn new(draft: PlanDraft) -> Self {
        let rules = RuleSet::from_checked(draft.config.clone());
        Self { draft, rules }
    }

    /// Version of the configuration.
    pub fn version(&self) -> u64 {
        self.draft.version
    }

    /// The route of the first matching rule, if any matches.
    pub fn route(&self, facts: &Facts) -> Option<&Route> {
        let first = self.rules.first_match(facts)?;
        self.draft.routes.get(first)
    }

    /// Name of the team that an API key belongs to.
    pub fn team(&self, key: impl AsRef<[u8]>) -> Option<&str> {
        self.rules.team(key).map(|(name, _)| name)
    }

    /// Priority, cache isolation and limit of a team; the default for unknown teams.
    pub fn tenancy(&self, team: &str) -> Tenancy {
        self.draft.teams.get(team).copied().unwrap_or_default()
    }

    /// Limits by team name.
    pub fn team_limits(&self) -> impl Iterator<Item = (&str, TeamLimit)> {
        let teams = self.draft.teams.iter();
        teams.filter_map(|(name, t)| Some((name.as_str(), t.limit?)))
    }

    /// Whether requests need an API key, except on anonymous routes.
    pub fn requires_key(&self) -> bool {
        self.draft.requires_key
    }

    /// Looks up a pool by name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.draft.pools.get(name)
    }

    /// Routes that send requests to a pool.
    pub fn routes_to<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a Route> {
        let routes = self.draft.routes.iter();
        routes.filter(move |r| r.shares.iter().any(|s| s.pool == pool))
    }

    /// Stores for saved KV cache.
    pub fn kv_stores(&self) -> &[KvStore] {
        &self.draft.kv_stores
    }

    /// Limits on callers' requests and connections.
    pub fn limits(&self) -> Limits {
        self.draft.limits
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.draft.routes.len()
    }
}
