//! The programs on a hosted platform: real processes before replicas and a store that misbehave.

#![allow(unreachable_pub, reason = "modules of one test program")]

mod answers;
mod callers;
mod delegates;
mod fatal;
mod fleet;
mod held;
mod losses;
mod pool;
mod restore;
mod slots;
mod soak;
mod store;
mod weights;
