//! Decisions under load: which requests are served, where, in which order, and which are refused.
//!
//! Nothing in this crate reads a clock, opens a socket or spawns a task: time, random numbers and
//! measurements are arguments, and decisions are return values. The daemon, the table tests and the
//! replay of traces run the same code. The head of each module describes the load pattern that it
//! handles, what happens without it, and the reasons for its constants.
//!
//! At an entry: [`limit`] and [`quarantine`] may refuse a request, [`probe_placement`] chooses the replicas
//! to probe and the one to use, [`recent_replicas`] remembers the replicas used for each prefix,
//! [`health`] ejects slow replicas, and [`retry`] allows further attempts.
//!
//! At a sidecar: [`admit`] admits or refuses a request on arrival, [`reserve`] holds capacity for
//! probed requests, [`queue`] orders the admitted ones, [`concurrency`] limits how many the engine
//! runs, [`liveness`] detects a dead engine, and [`drain`] stops the process without cutting a
//! request. [`cost`] and [`utilization`] measure the engine for these decisions.
//!
//! Where targets are reached without a sidecar:
//! - Choice of a target: [`ttft_placement`] places a prompt of named parts by the load of each engine
//!   ([`engine_load`]) and the prefill rate of the pool ([`prefill_rate`]). [`prefill_priority`] ranks
//!   requests at an engine, [`backlog`] counts the prefill that an engine has pending, and [`length_partition`]
//!   keeps long prompts on engines of their own.
//!   [`engine_speed`] and [`pace`] weigh the permanent and the momentary speed of each target, and
//!   [`load_overlap`] the answers that a load of weights would interrupt.
//! - Uneven demand: [`domain_balance`] computes the fraction of a domain's work that goes to others, and
//!   [`opening_demand`] when an opening needs one more copy.
//! - Admission: [`latency_admission`] refuses prompts that would be late, and [`loading`] bounds how
//!   long a request waits while all engines load weights.
//! - Room: [`room`] admits requests to a pool that is short by rank and team, in the shares that
//!   [`fair_share`] computes.
//! - Limits: [`limit`] keeps all entries together within a team's limit, and [`target_limit`] within the
//!   rate that a target states.
//! - Streams: [`stream_origin`] finds the build at which a stream may go on, [`origin_keeper`] keeps that
//!   while processes end, and [`build_history`] shows whether a pool has had only one build.
//! - Connections: [`connection_reuse`] bounds how long an idle one may be used.
//! - Retries: [`retry_budget`] keeps all entries together within one budget, and [`stall`] decides when a
//!   request that has shown nothing moves to another target.
//! - What targets say about themselves: [`leaving`] excludes those that leave, and [`rest`] those that have
//!   asked for rest.
//! - Targets to avoid or keep: [`circuit_breaker`] ejects targets that fail, [`misdirected`] decides how long
//!   a target isn't used whose address answered for another, and [`row_expiry`] which targets are retained
//!   although the list lacks them.
//! - Sources of state: [`staleness`] decides when the copy of a table is checked, [`subscription`] selects the
//!   engines that an entry subscribes to, and [`pollers`]
//!   the processes that read a list for all.
//! - Weights: [`rollout`] decides which engines load new weights, [`slots`] when an engine does so, by
//!   the answers of its peers ([`contact`]) and the states that they relay ([`relay`]), and [`versions`] how long weights have been out of date.
//! - Crashes: [`crash_attribution`] separates crashes from lost connections for [`quarantine`], which refuses
//!   requests, and [`crashing_parts`], which refuses parts of prompts; [`trial`]
//!   decides when a suspect request runs, by the answers of the sidecars in [`pool_peers`].
//! - Ownership: [`delegate`] selects the entry that acts for an engine without a sidecar, and
//!   [`holder`] decides when an engine's orders may pass from one process to another.

pub mod admit;
pub mod backlog;
pub mod build_history;
pub mod circuit_breaker;
pub mod concurrency;
pub mod connection_reuse;
pub mod contact;
pub mod cost;
pub mod crash_attribution;
pub mod crashing_parts;
pub mod delegate;
pub mod domain_balance;
pub mod drain;
pub mod engine_load;
pub mod engine_speed;
pub mod fair_share;
pub mod health;
pub mod holder;
pub mod late_start;
pub mod latency_admission;
pub mod leaving;
pub mod length_partition;
pub mod limit;
pub mod liveness;
pub mod load_overlap;
pub mod loading;
pub mod misdirected;
pub mod opening_demand;
pub mod origin_keeper;
pub mod pace;
pub mod pollers;
pub mod pool_peers;
pub mod prefill_priority;
pub mod prefill_rate;
pub mod probe_placement;
pub mod quarantine;
pub mod queue;
pub mod recent_replicas;
pub mod relay;
pub mod reserve;
pub mod rest;
pub mod retry;
pub mod retry_budget;
pub mod rollout;
pub mod room;
pub mod row_expiry;
pub mod slots;
pub mod staleness;
pub mod stall;
pub mod stream_origin;
pub mod subscription;
pub mod target_limit;
pub mod trial;
pub mod ttft_placement;
pub mod utilization;
pub mod versions;
