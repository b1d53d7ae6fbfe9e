//! Tests that run the real client as an operator does.

mod fake;
mod fleet;
mod local;
mod logs;
