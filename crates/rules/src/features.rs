//! Tables of the features that act under load; each has the name of the feature it sets.
//!
//! The defaults are starting values for a fleet of today's size. The module of each feature holds
//! the grounds of its own figures; a table here exists so that an operator can change them without
//! a new release.

use crate::table::{table, Field};
use crate::units::{Duration, Percent};

table! {
    /// How replicas are asked before one is chosen.
    Probe in "probe" {
        /// Replicas asked for one request at most.
        "fanout" fanout: u32 = 4;
        /// How long an answer is waited for.
        "timeout" timeout: Duration = Duration::from_millis(5);
    }
}

table! {
    /// How requests wait at a target.
    Queue in "queue" {
        /// Requests that wait at one target at most.
        "depth" depth: u32 = 256;
        /// Wait after which a long request goes before short ones of its class.
        "age" age: Duration = Duration::from_secs(2);
    }
}

table! {
    /// What is turned away before it waits.
    Admit in "admit" {
        /// Part of each target's capacity that is kept for class `call`.
        "reserve" reserve: Percent = Percent::of(20);
    }
}

table! {
    /// How often a request is tried again.
    Retry in "retry" {
        /// Tries of one request at most, the first included.
        "attempts" attempts: u32 = 3;
        /// Retries as a part of all requests.
        "budget" budget: Percent = Percent::of(10);
    }
}

table! {
    /// When a target is taken out for a while.
    Health in "health" {
        /// Times as slow as its peers' median before a target is taken out.
        "slow" slow: u32 = 3;
        /// Part of a pool's targets that may be out at once.
        "eject" eject: Percent = Percent::of(30);
        /// How long a target stays out before it is tried again.
        "trial" trial: Duration = Duration::from_secs(5);
    }
}

table! {
    /// What becomes of a request that crashes its targets.
    Quarantine in "quarantine" {
        /// Crashes after which it is refused.
        "strikes" strikes: u32 = 2;
        /// How long it is refused.
        "release" release: Duration = Duration::from_secs(600);
    }
}

table! {
    /// How a planned stop goes.
    Drain in "drain" {
        /// How long running requests may take to end before the stop is reported as late.
        "timeout" timeout: Duration = Duration::from_secs(30);
    }
}

/// Every key of these tables.
pub(crate) fn fields() -> Vec<Field> {
    [
        Probe::fields(),
        Queue::fields(),
        Admit::fields(),
        Retry::fields(),
        Health::fields(),
        Quarantine::fields(),
        Drain::fields(),
    ]
    .concat()
}
