//! Configuration tables of the features that act under load, such as admission, queues and
//! retries.
//!
//! Each table configures one module of the crate `policy` and has the same defaults as that module,
//! where the reasons for them are given. The tables let an operator change a value without a new
//! release. Values that only a developer can judge, such as the weight of a new sample in an
//! average, have no key.

use crate::table::{table, OptionDoc};
use crate::units::{Duration, Percent};

table! {
    /// How many replicas are probed to place a request.
    Placement in "place" {
        /// Most replicas asked for one request.
        "probes" probes: u32 = 4;
    }
}

table! {
    /// Reservation of places at replicas for requests that may arrive.
    Reserve in "reserve" {
        /// How long a place is held for a request that doesn't come.
        "hold" hold: Duration = Duration::from_millis(50);
    }
}

table! {
    /// Admission control: which requests are refused before they wait.
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
    /// Order in which requests leave a target's queue.
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
    /// Limit on the number of requests that a target runs at once.
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
    /// Retries of a request and the budget for them.
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
    /// Ejection of slow or failing targets and the trials that readmit them.
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
    /// Refusal of requests that repeatedly crash their targets.
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
    /// Planned shutdown.
    Drain in "drain" {
        /// How long late arrivals are expected after readiness is withdrawn.
        "notice" notice: Duration = Duration::from_secs(5);
    }
}

/// Documentation of every key of these tables.
pub(crate) fn option_docs() -> Vec<OptionDoc> {
    [
        Placement::option_docs(),
        Reserve::option_docs(),
        Admit::option_docs(),
        Queue::option_docs(),
        Concurrency::option_docs(),
        Retry::option_docs(),
        Health::option_docs(),
        Quarantine::option_docs(),
        Drain::option_docs(),
    ]
    .concat()
}
