//! One attempt at a request, from the entry that sends it to the sidecar that serves it.
//!
//! The modules make decisions and hold state; they do no I/O and never wait. [`state`] makes a
//! false "not run" a compile error, [`registry`] prevents a delayed request from running after its
//! entry has given it up, [`replay`] keeps chunks until the entry confirms them, and [`relay`]
//! checks at the entry that the caller gets each byte once, in order and to the end. [`events`]
//! finds the ends of server-sent events.

pub mod events;
pub mod registry;
pub mod relay;
pub mod replay;
pub mod state;

pub use registry::{IncarnationMatch, Lookup, Registry, Token};
pub use relay::{Action, Event, Failure, Owner, Relay};
pub use replay::{ReplayBuffer, ReplayError};
pub use state::{Dispatched, Done, Exchange, Failed, NotRun, Queued};
