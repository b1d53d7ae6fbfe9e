//! One attempt at a request, from the entry that sends it to the sidecar that serves it.
//!
//! The modules here decide and keep; they neither send nor wait. [`state`] makes a false "not run"
//! impossible to write, [`registry`] makes it impossible for a delayed request to run after it
//! was given up, [`replay`] keeps what the entry hasn't confirmed, and [`relay`] checks at the
//! entry that the caller gets each byte once, in order, to the end. [`events`] finds the ends of a
//! stream's events.

pub mod events;
pub mod registry;
pub mod relay;
pub mod replay;
pub mod state;

pub use registry::{IncarnationMatch, Lookup, Registry, Token};
pub use relay::{Action, Event, Failure, Owner, Relay};
pub use replay::{ReplayBuffer, ReplayError};
pub use state::{Dispatched, Done, Exchange, Failed, NotRun, Queued};
