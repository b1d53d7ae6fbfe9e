//! Tests of the daemon's processes on a hosted platform whose replicas and store have faults.

#![allow(unreachable_pub, reason = "modules of one test program")]

mod answers;
mod builds;
mod callers;
mod crashing_parts;
mod delegates;
mod fatal;
mod fleet;
mod held;
mod leaving;
mod limits;
mod losses;
mod moved_callers;
mod pool;
mod rest;
mod restore;
mod room;
mod slots;
mod soak;
mod store;
mod weights;
