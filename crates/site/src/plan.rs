//! The configuration in force: rules that decide, and what each rule's route asks for.
//!
//! Hosts and prefixes of the platform's routes are ordinary when-then rules, longest prefix first,
//! so that the first rule that matches decides here as everywhere. What a route asks beyond that
//! stands beside its rule at the same place.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use rules::{Config, Facts, RuleSet};

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// May run more than once.
    Idempotent,
    /// Runs once at most.
    Once,
    /// A series of events that runs once at most.
    Stream,
    /// A series of events that another replica may go on with.
    Resumable,
}

impl Mode {
    /// Whether a request that may have run can be sent again.
    pub fn repeats(self) -> bool {
        self == Self::Idempotent
    }

    /// Whether the answer is a series of events.
    pub fn streams(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// A pool's part of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The pool.
    pub pool: String,
    /// Its weight among the route's pools.
    pub weight: f64,
}

/// What a route asks for beyond its rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name, which is its rule's.
    pub name: String,
    /// What may be repeated.
    pub mode: Mode,
    /// How long a caller may be kept.
    pub timeout: Duration,
    /// How soon an answer, or a stream's first event, is worth most.
    pub aim: Duration,
    /// Longest good pause between events.
    pub gap: Duration,
    /// Rank; 0 goes first.
    pub rank: u8,
    /// Replicas that one request may run on at most.
    pub attempts: u32,
    /// Whether callers need no key.
    pub open: bool,
    /// Where its requests go.
    pub shares: Vec<Share>,
}

/// The engines of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens of memory.
    pub memory: u32,
    /// Bytes of memory per token.
    pub token_bytes: u64,
    /// Speed of its links, in megabits a second.
    pub link: f64,
    /// Tokens in one event of a stream.
    pub stride: u32,
}

/// A pool of targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// Connections that one of its targets takes from all callers together.
    pub connections: u32,
    /// Set for model engines.
    pub engine: Option<Engine>,
}

/// A store of kept KV cache.
#[derive(Clone, Debug, PartialEq)]
pub struct Kept {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Speed of its link, in megabits a second.
    pub link: f64,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head: usize,
    /// Bytes of a request's body.
    pub body: usize,
    /// How long a head may take to arrive.
    pub arrival: Duration,
    /// How long a connection may stay idle.
    pub idle: Duration,
}

/// What a team's rank and walls are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tenancy {
    /// Rank that goes before the route's, if it has one.
    pub rank: Option<u8>,
    /// Whether it shares cached parts with nobody.
    pub walled: bool,
}

/// What a configuration is made of; [`Plan::new`] makes it decide.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanDraft {
    /// Version; an accepted change raises it.
    pub version: u64,
    /// Teams, pools and rules; each rule is named after its route.
    pub config: Config,
    /// One for each rule, in the rules' order.
    pub routes: Vec<Route>,
    /// Whether teams are declared at all, so that requests need a key.
    pub keyed: bool,
    /// Pools by name.
    pub pools: HashMap<String, Pool>,
    /// Stores of kept KV cache.
    pub kept: Vec<Kept>,
    /// What callers may send.
    pub limits: Limits,
    /// Teams' ranks and walls.
    pub teams: HashMap<String, Tenancy>,
}

/// A configuration in force.
#[derive(Clone, Debug)]
pub struct Plan {
    draft: PlanDraft,
    rules: RuleSet,
}

impl Plan {
    /// Makes a configuration decide.
    pub fn new(draft: PlanDraft) -> Self {
        let rules = RuleSet::from_checked(draft.config.clone());
        Self { draft, rules }
    }

    /// Its version.
    pub fn version(&self) -> u64 {
        self.draft.version
    }

    /// The route of the first rule that matches.
    pub fn route(&self, facts: &Facts) -> Option<&Route> {
        let first = self.rules.first_match(facts)?;
        self.draft.routes.get(first)
    }

    /// The team that holds a key.
    pub fn team(&self, key: impl AsRef<[u8]>) -> Option<&str> {
        self.rules.team(key).map(|(name, _)| name)
    }

    /// A team's rank and walls.
    pub fn tenancy(&self, team: &str) -> Tenancy {
        self.draft.teams.get(team).copied().unwrap_or_default()
    }

    /// Whether requests need a key.
    pub fn keyed(&self) -> bool {
        self.draft.keyed
    }

    /// A pool by its name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.draft.pools.get(name)
    }

    /// Routes with a share for a pool.
    pub fn routes_to<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a Route> {
        let routes = self.draft.routes.iter();
        routes.filter(move |r| r.shares.iter().any(|s| s.pool == pool))
    }

    /// Stores of kept KV cache.
    pub fn kept(&self) -> &[Kept] {
        &self.draft.kept
    }

    /// What callers may send.
    pub fn limits(&self) -> Limits {
        self.draft.limits
    }

    /// Number of routes.
    pub fn routes(&self) -> usize {
        self.draft.routes.len()
    }
}
