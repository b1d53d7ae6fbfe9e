//! The one call that changes something, sent until its outcome is certain.
//!
//! The answer to a change can be lost after the platform accepted it: a connection breaks, or the
//! entry itself can't tell. An operator who is told "failed" then applies again and overwrites a
//! colleague's change that came in between; one who is told "done" walks away from a change that
//! never was. So a call whose outcome is uncertain is repeated under the same operation id, which
//! the fleet recognises, until an entry knows or the time is up; and then the answer is "unknown".
//! After one uncertain call, only an acceptance or a conflict is certain: a refusal of a later
//! call says nothing of the earlier one.

use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use store::HttpError;

use crate::admin::{Accepted, Problem, Proposal, Winner, CONFIGURATION};
use crate::exit::{note, Failure};
use crate::fleet::{problem, refused, strange, Cause, Fleet, Miss};

/// Longest wait for one answer. The entry writes to the platform, which may be slow.
const LIMIT: Duration = Duration::from_secs(10);
/// Pause before the entries are asked again; the fleet's own repeats are shorter than this.
const PAUSE: Duration = Duration::from_millis(500);

/// What one call came to.
enum Heard {
    /// It is in the platform's table.
    Accepted(u64),
    /// Another change is there instead.
    Conflict(Winner),
    /// The entry won't have it.
    Refused(Failure),
    /// Surely not accepted; another entry may do better.
    Absent(Miss),
    /// It may have been accepted.
    Unsure(Miss),
}

/// Sends a proposal until its outcome is certain or `limit` has passed; gives its version.
pub async fn run(fleet: &Fleet, proposal: &Proposal, limit: Duration) -> Result<u64, Failure> {
    let start = Instant::now();
    let mut unsure = false;
    loop {
        let mut misses = Vec::new();
        for (place, entry) in fleet.order() {
            match call(fleet, entry, proposal).await {
                Heard::Accepted(version) => {
                    fleet.prefer(place);
                    return Ok(version);
                }
                Heard::Conflict(w) if w.operation == proposal.operation => return Ok(w.version),
                Heard::Conflict(w) => return Err(Failure::Conflict(w)),
                Heard::Refused(f) if !unsure => return Err(f),
                Heard::Refused(_) => {}
                Heard::Absent(miss) => misses.push(miss),
                Heard::Unsure(miss) => {
                    unsure = true;
                    misses.push(miss);
                }
            }
        }
        let spent = start.elapsed();
        match spent + PAUSE >= limit {
            _ if !unsure => return Err(absent(misses)),
            true => return Err(unknown(proposal, spent, misses)),
            false => note("outcome uncertain; asking again under the same operation"),
        }
        tokio::time::sleep(PAUSE).await;
    }
}

async fn call(fleet: &Fleet, entry: &str, proposal: &Proposal) -> Heard {
    // A struct of texts and numbers always prints as JSON.
    let body = serde_json::to_vec(proposal).unwrap_or_default();
    let answer = fleet
        .send(entry, Method::PUT, CONFIGURATION, body, LIMIT)
        .await;
    match answer {
        Ok((status, body)) => heard(entry, status, &body),
        Err(e @ (HttpError::Connect(_) | HttpError::Call(_))) => Heard::Absent(Miss::new(entry, e)),
        Err(e) => Heard::Unsure(Miss::new(entry, e)),
    }
}

fn heard(entry: &str, status: StatusCode, body: &[u8]) -> Heard {
    if status.is_success() {
        return match serde_json::from_slice::<Accepted>(body) {
            Ok(a) => Heard::Accepted(a.version),
            Err(e) => Heard::Unsure(Miss::new(entry, e)),
        };
    }
    match problem(body) {
        Problem::Conflict(winner) => Heard::Conflict(winner),
        Problem::Faults { faults } => Heard::Refused(Failure::Rejected(faults)),
        Problem::PlatformDown => Heard::Absent(Miss::new(entry, Cause::Platform)),
        _ if status.is_client_error() => Heard::Refused(refused(entry, status, body)),
        _ => Heard::Unsure(Miss::new(entry, strange(status, body))),
    }
}

fn absent(misses: Vec<Miss>) -> Failure {
    match misses.iter().any(|m| matches!(m.cause, Cause::Platform)) {
        true => Failure::NotAccepted,
        false => Failure::Away(misses),
    }
}

fn unknown(proposal: &Proposal, spent: Duration, misses: Vec<Miss>) -> Failure {
    Failure::Unknown {
        operation: proposal.operation.clone(),
        base: proposal.base,
        spent,
        misses,
    }
}
