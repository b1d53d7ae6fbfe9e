//! How long a connection may be idle and still be used for a request.
//!
//! Load pattern: dozens of entries before dozens of targets, so that each pair exchanges a request
//! every second or two. If idle connections are given up within that time, every other request
//! opens a new one, which costs a round trip and the target's processing of the connection.
//!
//! The target may have closed an idle connection without the entry having noticed. A request sent on
//! it is lost, and it is unknown whether it ran. A connection is therefore reused only if it has
//! been idle for clearly less than the target's idle timeout. A request that may run again, also a
//! stream that another target may resume, loses no more than a moment then. A request that must not
//! run again would be lost, so it uses a connection only shortly after the last use.

use model::Micros;

/// Share of the target's idle timeout up to which a connection is reused.
const MAX_IDLE_SHARE: f64 = 0.6;
/// Longest idle time of a connection that is reused for a request that must not run again.
const MAX_IDLE_RUN_ONCE: Micros = Micros::from_millis(1_500);

/// Longest idle time of a connection that is reused for a request.
pub fn max_idle(idle_timeout: Micros, may_rerun: bool) -> Micros {
    let max_idle = Micros((idle_timeout.0 as f64 * MAX_IDLE_SHARE) as u64);
    match may_rerun {
        true => max_idle,
        false => max_idle.min(MAX_IDLE_RUN_ONCE),
    }
}
