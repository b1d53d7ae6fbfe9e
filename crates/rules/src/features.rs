//! Tables of the features that act under load; each has the name of the module in `policy` that it
//! sets, and its keys the names of that module's settings.
//!
//! The defaults are that module's, which also holds their grounds. A table here exists so that an
//! operator can change a figure without a new release; what only a developer could judge, such as
//! the weight of a new sample, has no key.

use crate::table::{table, OptionDoc};
use crate::units::{Duration, Percent};

table! {
    /// Which replicas are asked for a request.
    Placement in "place" {
        /// Most replicas asked for one request.
        "probes" probes: u32 = 4;
    }
}

table! {
    /// Places held at replicas for requests that may come.
    Reserve in "reserve" {
        /// How long a place is held for a request that doesn't come.
        "hold" hold: Duration = Duration::from_millis(50);
    }
}

table! {
    /// What is turned away before it waits.
    Admit in "admit" {
        /// Most requests that wait at one target.
        "places" places: u32 = 1_024;
        /// Part of the places that only class `call` may take.
        "reserve" reserve: Percent = Percent::from_permille(125);
        /// Longest expected wait of class `call`.
        "call" call: Duration = Duration::from_secs(4);
        /// Longest expected wait of class `normal`.
        "normal" normal: Duration = Duration::from_secs(12);
        /// Longest expected wait of class `batch`.
        "batch" batch: Duration = Duration::from_secs(60);
    }
}

table! {
    /// In which order requests leave a target's queue.
    Queue in "queue" {
        /// Part of the work assured to class `normal` while calls wait too.
        "normal" normal: Percent = Percent::from_permille(100);
        /// Part of the work assured to class `batch` while more urgent requests wait too.
        "batch" batch: Percent = Percent::from_permille(50);
        /// By how many times its own work a long request falls back behind later ones.
        "ageing" ageing: u32 = 6;
    }
}

table! {
    /// How many requests a target runs at once.
    Concurrency in "concurrency" {
        /// Smallest limit.
        "least" least: u32 = 1;
        /// Limit before anything was measured.
        "first" first: u32 = 16;
        /// Largest limit.
        "most" most: u32 = 256;
    }
}

table! {
    /// How often a request is tried again.
    Retry in "retry" {
        /// Most attempts for one request, the first included.
        "attempts" attempts: u32 = 3;
        /// Retries earned by each request.
        "share" share: Percent = Percent::from_permille(100);
        /// Most retries saved up.
        "saved" saved: u32 = 10;
    }
}

table! {
    /// When a target is taken out for a while.
    Health in "health" {
        /// Multiple of its peers' median that is too slow.
        "slow" slow: u32 = 3;
        /// Samples before a target is judged.
        "samples" samples: u32 = 8;
        /// Largest part of a pool that may be out; always at least one target of a small pool.
        "ejected" ejected: Percent = Percent::from_permille(250);
        /// First time out.
        "out" out: Duration = Duration::from_secs(5);
        /// Longest time out.
        "longest" longest: Duration = Duration::from_secs(300);
        /// Good requests in a row that end a trial.
        "trials" trials: u32 = 3;
    }
}

table! {
    /// What becomes of a request that crashes its targets.
    Quarantine in "quarantine" {
        /// Crashes after which it is refused.
        "strikes" strikes: u32 = 2;
        /// How long a crash counts and a refusal lasts.
        "lasts" lasts: Duration = Duration::from_secs(600);
        /// Most requests remembered by their fingerprints; the oldest go first.
        "kept" kept: u32 = 4_096;
    }
}

table! {
    /// How a planned stop goes.
    Drain in "drain" {
        /// How long late arrivals are expected after readiness is withdrawn.
        "notice" notice: Duration = Duration::from_secs(5);
    }
}

/// Every key of these tables.
pub(crate) fn fields() -> Vec<OptionDoc> {
    [
        Placement::fields(),
        Reserve::fields(),
        Admit::fields(),
        Queue::fields(),
        Concurrency::fields(),
        Retry::fields(),
        Health::fields(),
        Quarantine::fields(),
        Drain::fields(),
    ]
    .concat()
}
