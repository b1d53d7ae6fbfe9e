//! Memory and descriptors held for callers.
//!
//! A process has one [`Account`] of the bytes and connections that it holds for callers. Its budget is a
//! part of what the process may use, so that callers can't take what the process needs for itself:
//! connections to targets, the store and other processes. When the budget is used up, the account closes the
//! connections whose callers make least progress; if there are none, it refuses what is new.
//!
//! [`account`] decides, without I/O. [`connection`] shares the account with the tasks that serve connections,
//! [`stream`] records what a connection sends and receives, [`accept`] opens connections, and [`body`] collects
//! the bodies of requests.

pub mod accept;
pub mod account;
pub mod answer;
pub mod body;
pub mod config;
pub mod connection;
pub mod meter;
pub mod serve;
pub mod stream;

pub use account::{Account, Phase, Timeouts, Usage};
pub use answer::AnswerBody;
pub use config::Config;
pub use connection::{Callers, Charge, Connection, Full};
pub use stream::AccountedStream;
