//! Decisions under load: whom the system serves, where, who waits and who is refused.
//!
//! Nothing here reads a clock, opens a socket or spawns a task: time, random numbers and what was
//! measured come in as arguments, decisions go out as values. The daemon, the table tests and the
//! replay of traces run the same code. Each module heads with the load pattern it answers, what
//! happens without it, and the grounds of its figures.
//!
//! At an entry: [`limit`] and [`quarantine`] may refuse a request, [`place`] chooses the replicas
//! to ask and the one to use, [`health`] leaves slow ones out, [`retry`] allows a second attempt.
//! At a sidecar: [`admit`] takes or refuses a request at once, [`queue`] orders those taken,
//! [`concurrency`] says how many the engine gets, [`liveness`] whether it is alive, [`drain`] ends it all
//! without cutting a request.
//! Where targets are reached without a sidecar: [`spot`] places a prompt of named parts by what
//! [`outlook`] says of each engine and [`pace`] of all of them, [`lateness`] refuses what would be
//! late, [`standing`] says which targets to leave alone, [`row_expiry`] which to keep though they aren't
//! listed, [`misdirected`] for how long one isn't used whose address answered for another, [`shared`]
//! keeps all entries within one budget of retries, [`loading`] says how long a request waits while all
//! engines load, [`subscription`] says which engines an entry
//! subscribes to, [`broken`] separates crashes from lost connections for [`quarantine`], [`rollout`] says
//! which engines take new weights, and [`slots`] when one does, by what its peers answer ([`contact`]).
//! [`delegate`] says which entry acts for an engine without a sidecar, [`holder`] when an engine's orders
//! may pass from one process to another.
//! [`cost`] and [`busy`] measure the engine for them, [`recent`] and [`reserve`] are the short
//! memories that placement needs at either side.

pub mod admit;
pub mod apart;
pub mod broken;
pub mod busy;
pub mod concurrency;
pub mod contact;
pub mod cost;
pub mod delegate;
pub mod drain;
pub mod health;
pub mod holder;
pub mod lateness;
pub mod ledger;
pub mod limit;
pub mod liveness;
pub mod loading;
pub mod misdirected;
pub mod outlook;
pub mod pace;
pub mod place;
pub mod pollers;
pub mod quarantine;
pub mod queue;
pub mod recent;
pub mod reserve;
pub mod retry;
pub mod rollout;
pub mod row_expiry;
pub mod shared;
pub mod slots;
pub mod spot;
pub mod standing;
pub mod subscription;
pub mod trial;
pub mod urgency;
pub mod versions;
