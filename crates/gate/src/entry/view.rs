//! What a prompt would meet at each engine: beliefs made into what the policies weigh.

use std::collections::HashSet;
use std::net::SocketAddr;

use model::Micros;
use policy::engine_load::{self, Load};
use policy::length_partition;
use policy::prefill_priority;
use policy::ttft_placement::{Candidate, Source, Sources};
use policy::versions::Versions;
use site::{Engine, Plan, Prompt};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::fleet::{Fleet, Key};
use super::replica::{holds, Replica};
use super::request::Job;
use super::usable::{doubt, surely_answers, turn, HEARD};
use crate::node::domain_key;

/// How long an entry's note takes to reach a sidecar and to come back in an update.
const TRANSIT: Micros = Micros::from_millis(5);
/// Milliseconds that crossing failure domains is taken for.
const FAR: f64 = 3.0;
/// Part of the time to read a token that taking it in costs others, by what has to yield for it.
const ROOM: f64 = 0.8;
/// Milliseconds before a fetched token moves.
const SETUP: f64 = 2.0;

/// What one choice is made by.
pub(super) struct View<'a> {
    pub(super) now: Micros,
    pub(super) domain: &'a str,
    pub(super) prompt: &'a Prompt,
    pub(super) engine: Engine,
    pub(super) named: &'a Versions,
    pub(super) subject: u64,
    pub(super) order: f64,
    /// Milliseconds to read a token.
    pub(super) read: f64,
    /// Engines for long prompts, if they are kept apart.
    pub(super) long: Option<HashSet<String>>,
}

impl View<'_> {
    pub(super) fn candidate(&self, key: Key, r: &Replica, held: u32) -> Candidate<Key, SocketAddr> {
        let near = r.target.domain == self.domain;
        let far = if near { 0.0 } else { FAR };
        let apart = self.long.as_ref().map_or(0.0, |long| {
            length_partition::mismatch_cost(
                self.prompt.input_tokens,
                long.contains(&r.target.boot.id),
            )
        });
        let load = self.load(r, self.prompt.input_tokens.saturating_sub(held));
        let version = r.weights.get(&self.prompt.model);
        let outdated = version.and_then(|v| self.named.outdated(self.now, *v));
        Candidate {
            key,
            addr: r.target.addr,
            domain: domain_key(&r.target.domain),
            wait: load.wait(
                self.prompt.input_tokens + self.prompt.max_output_tokens,
                self.read,
            ),
            prefill_per_token: self.read,
            held,
            eviction_cost: self.read * ROOM,
            network_delay: far,
            penalty: apart + self.order(r),
            cost_factor: doubt(r, self.now) * engine_load::outdated_weights_factor(outdated),
        }
    }

    /// What waits at an engine for a prompt of which it has to read some tokens.
    fn load(&self, r: &Replica, tokens: u32) -> Load {
        let Some(h) = r.heard.filter(|h| self.now.since(h.at) < HEARD) else {
            return Load {
                tokens_ahead: f64::from(r.unread),
                ..Load::default()
            };
        };
        let told = r.unread_since(h.unread_tokens, h.at - TRANSIT);
        Load {
            tokens_ahead: prefill_priority::tokens_ahead(told, prefill_priority::tier(tokens)),
            unread_prompts: h.unread,
            running: h.begun,
            memory_used: h.used,
            memory_total: h.total,
            loading_ms: h
                .load_left(self.now)
                .map_or(0.0, |left| left.time.as_millis() as f64),
        }
    }

    /// The engine's place in the subject's own order.
    fn order(&self, r: &Replica) -> f64 {
        let hash = xxh3_64_with_seed(r.target.boot.id.as_bytes(), self.subject);
        self.order * hash as f64 / u64::MAX as f64
    }

    /// Who holds parts of the prompt under the scope of a version, beginning at another engine for each
    /// request.
    ///
    /// An engine with other weights is no source, whatever it tells: a run that goes on there over a
    /// load leaves parts under its former scope that the newer weights have made. Fetched, they would
    /// be taken for those of the older version, and callers get answers out of both.
    pub(super) fn sources(
        &self,
        fleet: &Fleet,
        plan: &Plan,
        job: &Job,
        scope: u64,
        version: u64,
    ) -> Sources<SocketAddr> {
        let parts = &self.prompt.parts;
        // Bits of a token over thousands of bits a millisecond.
        let rate = |link: f64| self.engine.token_bytes as f64 * 8.0 / (link.max(1.0) * 1e3);
        let same = |r: &Replica| r.weights.get(&self.prompt.model) == Some(&version);
        let there = |r: &Replica| {
            r.target.pool == job.pool
                && same(r)
                && r.breaker.usable(self.now)
                && surely_answers(r, self.now)
        };
        let engines: Vec<_> = fleet.replicas.values().filter(|r| there(r)).collect();
        let turn = turn(job, engines.len());
        let engines = engines[turn..].iter().chain(&engines[..turn]);
        let engines = engines.map(|o| Source {
            addr: o.target.addr,
            domain: domain_key(&o.target.domain),
            held: o.holds(scope, parts),
            held_soon: o.will_hold(self.now, scope, parts),
            fetch_per_token: rate(self.engine.link_mbps),
            fetch_setup: SETUP,
        });
        let kept = plan.kv_stores().iter().filter_map(|k| {
            let held = holds(&fleet.kept.get(&k.addr)?.held, scope, parts);
            Some(Source {
                addr: k.addr,
                domain: domain_key(&k.domain),
                held,
                held_soon: held,
                fetch_per_token: rate(k.link_mbps),
                fetch_setup: SETUP,
            })
        });
        Sources::new(engines.chain(kept))
    }
}
