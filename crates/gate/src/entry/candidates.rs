//! Converts an entry's data on engines and stores into the candidates and sources that
//! [`policy::ttft_placement`] compares for a prompt.

use std::collections::HashSet;
use std::net::SocketAddr;

use model::Micros;
use policy::engine_load::{self, Load};
use policy::engine_speed::Factors;
use policy::length_partition;
use policy::load_overlap;
use policy::prefill_priority;
use policy::ttft_placement::{Candidate, Source, Sources};
use policy::versions::Versions;
use site::{Engine, Plan, Prompt};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::fleet::{Fleet, ReplicaKey};
use super::replica::{held_prefix, Replica};
use super::request::Job;
use super::usable::{failure_factor, is_fetchable, start_index, REPORT_LIFETIME};
use crate::domains::Penalties;
use crate::node::domain_key;
use crate::speed::Pool;

/// Time in which an entry's note on a prompt reaches a sidecar and comes back in an update.
pub(super) const REPORT_DELAY: Micros = Micros::from_millis(5);
/// Network delay in milliseconds that is assumed between failure domains.
const CROSS_DOMAIN_DELAY: f64 = 3.0;
/// Cost of the tokens that a new token evicts, as a fraction of the time to prefill a token.
const EVICTION_COST_SHARE: f64 = 0.8;
/// Milliseconds before the first token of a fetch is transferred.
const FETCH_SETUP: f64 = 2.0;

/// Data that is the same for all candidates of one prompt.
pub(super) struct CandidateBuilder<'a> {
    pub(super) now: Micros,
    /// Failure domain of this entry.
    pub(super) domain: &'a str,
    pub(super) prompt: &'a Prompt,
    /// Properties of the pool's engines.
    pub(super) engine: Engine,
    /// Versions of the model's weights that the operator has announced.
    pub(super) announced: &'a Versions,
    /// Id of the prompt's last shared part.
    pub(super) subject: u64,
    /// Penalty in milliseconds of the last engine in the subject's own order.
    pub(super) max_order_penalty: f64,
    /// Milliseconds to prefill a token.
    pub(super) prefill_per_token: f64,
    /// Expected milliseconds from the first event to the last, if loads of weights during the answer count.
    pub(super) answer_ms: Option<f64>,
    /// Latency goal of the route in milliseconds.
    pub(super) latency_goal: f64,
    /// Cost of a megabyte between domains in milliseconds, if it is stated.
    pub(super) domain_cost: Option<f64>,
    /// Penalties of the domains in milliseconds.
    pub(super) domains: &'a Penalties,
    /// Ids of the engines that are reserved for long prompts, if any.
    pub(super) long_engines: Option<HashSet<String>>,
    /// Usual speeds of the pool, if those of its engines count.
    pub(super) speeds: Option<&'a Pool>,
    /// Longest gap between events that the route allows in milliseconds, or 0.
    pub(super) event_gap_goal: f64,
}

impl CandidateBuilder<'_> {
    pub(super) fn candidate(
        &self,
        key: ReplicaKey,
        r: &Replica,
        held: u32,
    ) -> Candidate<ReplicaKey, SocketAddr> {
        let same_domain = r.target.domain == self.domain;
        let delay = if same_domain { 0.0 } else { CROSS_DOMAIN_DELAY };
        let mismatch = self.long_engines.as_ref().map_or(0.0, |long| {
            length_partition::mismatch_cost(
                self.prompt.input_tokens,
                long.contains(&r.target.boot.id),
            )
        });
        let speed = self
            .speeds
            .map_or_else(Factors::default, |s| s.factors(self.now, &r.speed));
        let load = self.load(r, self.prompt.input_tokens.saturating_sub(held));
        let wait = load.wait_at(
            self.prompt.input_tokens + self.prompt.max_output_tokens,
            self.prefill_per_token,
            speed,
        );
        let prefill_per_token = self.prefill_per_token * speed.prefill;
        let missing = self.prompt.input_tokens.saturating_sub(held);
        let first = wait + f64::from(missing) * prefill_per_token;
        let version = r.weights.get(&self.prompt.model);
        let outdated = version.and_then(|v| self.announced.outdated(self.now, *v));
        let domain = domain_key(&r.target.domain);
        Candidate {
            key,
            addr: r.target.addr,
            domain,
            wait,
            prefill_per_token,
            held,
            eviction_cost: self.prefill_per_token * EVICTION_COST_SHARE,
            network_delay: delay,
            penalty: mismatch
                + self.order_penalty(r)
                + self.overlap_penalty(r, first)
                + self.domains.of(domain)
                + self.pause_cost(r),
            discount: 0.0,
            cost_factor: failure_factor(r, self.now)
                * engine_load::outdated_weights_factor(outdated),
        }
    }

    /// Milliseconds that count against an engine because it loads new weights before the answer ends, if the
    /// first event is expected after `first` milliseconds.
    fn overlap_penalty(&self, r: &Replica, first: f64) -> f64 {
        let Some(answer) = self.answer_ms else {
            return 0.0;
        };
        let report = r
            .agent_report
            .filter(|report| self.now.since(report.at) < REPORT_LIFETIME);
        let Some((load_in, at)) = report.and_then(|r| Some((r.load_in?, r.at))) else {
            return 0.0;
        };
        let load = (at + load_in).since(self.now).as_millis() as f64;
        load_overlap::penalty(
            load_overlap::lost_share(load, first, answer),
            self.latency_goal,
        )
    }

    /// Load of an engine for a prompt of which it has to prefill `tokens` tokens.
    fn load(&self, r: &Replica, tokens: u32) -> Load {
        let Some(report) = r
            .agent_report
            .filter(|report| self.now.since(report.at) < REPORT_LIFETIME)
        else {
            return Load {
                tokens_ahead: f64::from(r.unread_tokens),
                ..Load::default()
            };
        };
        let unread_tokens = r.with_unreported(report.unread_tokens, report.at - REPORT_DELAY);
        Load {
            tokens_ahead: prefill_priority::tokens_ahead(
                unread_tokens,
                prefill_priority::tier(tokens),
            ),
            unread_prompts: report.unread_prompts,
            running: report.running,
            memory_used: report.memory_used,
            memory_total: report.memory_total,
            loading_ms: report
                .remaining_load_at(self.now)
                .map_or(0.0, |load| load.time.as_millis() as f64),
        }
    }

    /// Penalty in milliseconds for pauses of the answer, for an engine whose streams are slow.
    fn pause_cost(&self, r: &Replica) -> f64 {
        let tokens = f64::from(self.prompt.max_output_tokens);
        let events = tokens / f64::from(self.engine.tokens_per_event.max(1));
        self.speeds.map_or(0.0, |s| {
            s.pause_cost(self.now, &r.speed, events, self.event_gap_goal)
        })
    }

    /// Penalty in milliseconds for the engine's position in the subject's own order.
    fn order_penalty(&self, r: &Replica) -> f64 {
        let hash = xxh3_64_with_seed(r.target.boot.id.as_bytes(), self.subject);
        self.max_order_penalty * hash as f64 / u64::MAX as f64
    }

    /// Engines and stores that hold parts of the prompt under a scope, which is the scope of a
    /// version of the weights. The order starts at a different engine for each request.
    ///
    /// An engine with other weights is no source, even if it reports parts of this scope. If a
    /// request keeps running there while weights are loaded, parts that the newer weights have
    /// computed are stored under the older scope. If they were fetched, they would count as parts
    /// of the older version, and callers would get answers that mix both versions.
    pub(super) fn sources(
        &self,
        fleet: &Fleet,
        plan: &Plan,
        job: &Job,
        scope: u64,
        version: u64,
    ) -> Sources<SocketAddr> {
        let parts = &self.prompt.parts;
        // Bits of a token, divided by the bits that the link transfers in a millisecond.
        let ms_per_token = |link: f64| self.engine.token_bytes as f64 * 8.0 / (link.max(1.0) * 1e3);
        let same_version = |r: &Replica| r.weights.get(&self.prompt.model) == Some(&version);
        let usable = |r: &Replica| {
            r.target.pool == job.pool
                && same_version(r)
                && r.breaker.usable(self.now)
                && is_fetchable(r, self.now)
        };
        let engines: Vec<_> = fleet.replicas.values().filter(|r| usable(r)).collect();
        let start = start_index(job, engines.len());
        let engines = engines[start..].iter().chain(&engines[..start]);
        let engines = engines.map(|o| Source {
            addr: o.target.addr,
            domain: domain_key(&o.target.domain),
            held: o.holds(scope, parts),
            held_soon: o.will_hold(self.now, scope, parts),
            fetch_per_token: ms_per_token(self.engine.link_mbps),
            fetch_setup: FETCH_SETUP,
        });
        let stores = plan.kv_stores().iter().filter_map(|k| {
            let held = held_prefix(&fleet.kv_stores.get(&k.addr)?.held, scope, parts);
            Some(Source {
                addr: k.addr,
                domain: domain_key(&k.domain),
                held,
                held_soon: held,
                fetch_per_token: ms_per_token(k.link_mbps),
                fetch_setup: FETCH_SETUP,
            })
        });
        let mut sources = Sources::new(engines.chain(stores));
        if let Some(cost) = self.domain_cost {
            sources.set_cross_domain_cost(cost * self.engine.token_bytes as f64 / 1e6);
        }
        sources
    }
}
