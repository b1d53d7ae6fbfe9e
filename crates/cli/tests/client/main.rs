//! The real client, run as an operator runs it.

mod fake;
mod fleet;
mod local;
mod logs;
