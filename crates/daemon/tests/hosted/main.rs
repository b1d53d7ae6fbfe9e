//! Tests of the daemon's processes on a hosted platform whose replicas and store have faults.

#![allow(unreachable_pub, reason = "modules of one test program")]

mod all_killed;
mod answers;
mod builds;
mod callers;
mod crashing_parts;
mod cut_answers;
mod delegates;
mod endless;
mod fatal;
mod fleet;
mod held;
mod late_in_grace;
mod leaving;
mod limits;
mod long_bodies;
mod losses;
mod mixed;
mod moved_callers;
mod moved_store;
mod odd_rows;
mod out_of_step;
mod pace;
mod pool;
mod replaced_in_series;
mod rest;
mod restarts;
mod restore;
mod room;
mod silent_connections;
mod slots;
#[path = "../common/slow_reader.rs"]
mod slow_reader;
mod slow_readers;
mod soak;
mod stalled;
mod stops;
mod store;
mod uncertain_builds;
mod weights;
