//! The call that changes the configuration, repeated until its outcome is certain.
//!
//! The answer to a change can be lost after the platform accepted the change: the connection
//! breaks, or the entry itself doesn't learn the outcome. If the client then reported a failure,
//! the operator would apply the file again and could overwrite a colleague's change made in
//! between; if it reported success, the operator would rely on a change that may never have been
//! made. So a call with an unknown outcome is repeated with the same operation id, which the
//! fleet recognizes, until an entry answers with the outcome or the time limit has passed; in the
//! latter case the client reports that the outcome is unknown. After one call with an unknown
//! outcome, only an acceptance or a conflict is certain: the refusal of a later call says nothing
//! about the earlier one.

use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use store::HttpError;

use crate::admin::{Accepted, ConflictingChange, Problem, Proposal, CONFIGURATION_PATH};
use crate::exit::{note, Failure};
use crate::fleet::{decode_problem, refusal, unexpected_status, Cause, EntryError, Fleet};

/// Timeout for one call. The entry writes to the platform, which may be slow.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before the call is repeated; longer than the delays between the fleet's own retries.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Outcome of one call.
enum Outcome {
    /// The platform's table contains the change, with this version.
    Accepted(u64),
    /// Another change was made first.
    Conflict(ConflictingChange),
    /// The entry refused the change.
    Refused(Failure),
    /// The change was certainly not accepted; a call to another entry may succeed.
    NotAccepted(EntryError),
    /// The change may have been accepted.
    Unknown(EntryError),
}

/// Sends a proposal until its outcome is certain or `limit` has passed; returns the new version.
pub async fn run(fleet: &Fleet, proposal: &Proposal, limit: Duration) -> Result<u64, Failure> {
    let start = Instant::now();
    let mut uncertain = false;
    loop {
        let mut errors = Vec::new();
        for (index, entry) in fleet.by_preference() {
            match call(fleet, entry, proposal).await {
                Outcome::Accepted(version) => {
                    fleet.prefer(index);
                    return Ok(version);
                }
                Outcome::Conflict(c) if c.operation == proposal.operation => return Ok(c.version),
                Outcome::Conflict(c) => return Err(Failure::Conflict(c)),
                Outcome::Refused(f) if !uncertain => return Err(f),
                Outcome::Refused(_) => {}
                Outcome::NotAccepted(error) => errors.push(error),
                Outcome::Unknown(error) => {
                    uncertain = true;
                    errors.push(error);
                }
            }
        }
        let elapsed = start.elapsed();
        match elapsed + RETRY_DELAY >= limit {
            _ if !uncertain => return Err(not_accepted(errors)),
            true => return Err(outcome_unknown(proposal, elapsed, errors)),
            false => note("outcome unknown; repeating the call with the same operation id"),
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

async fn call(fleet: &Fleet, entry: &str, proposal: &Proposal) -> Outcome {
    // Serializing a struct of strings and numbers can't fail.
    let body = serde_json::to_vec(proposal).unwrap_or_default();
    let answer = fleet
        .send(entry, Method::PUT, CONFIGURATION_PATH, body, CALL_TIMEOUT)
        .await;
    match answer {
        Ok((status, body)) => outcome(entry, status, &body),
        Err(e @ (HttpError::Connect(_) | HttpError::Call(_))) => {
            Outcome::NotAccepted(EntryError::new(entry, e))
        }
        Err(e) => Outcome::Unknown(EntryError::new(entry, e)),
    }
}

/// The outcome that an answer shows.
fn outcome(entry: &str, status: StatusCode, body: &[u8]) -> Outcome {
    if status.is_success() {
        return match serde_json::from_slice::<Accepted>(body) {
            Ok(a) => Outcome::Accepted(a.version),
            Err(e) => Outcome::Unknown(EntryError::new(entry, e)),
        };
    }
    match decode_problem(body) {
        Problem::Conflict(change) => Outcome::Conflict(change),
        Problem::Faults { faults } => Outcome::Refused(Failure::Rejected(faults)),
        Problem::PlatformDown => {
            Outcome::NotAccepted(EntryError::new(entry, Cause::PlatformUnavailable))
        }
        _ if status.is_client_error() => Outcome::Refused(refusal(entry, status, body)),
        _ => Outcome::Unknown(EntryError::new(entry, unexpected_status(status, body))),
    }
}

/// The failure if every call certainly left the configuration unchanged.
fn not_accepted(errors: Vec<EntryError>) -> Failure {
    match errors
        .iter()
        .any(|e| matches!(e.cause, Cause::PlatformUnavailable))
    {
        true => Failure::NotAccepted,
        false => Failure::FleetUnavailable(errors),
    }
}

/// The failure if a call may have been accepted.
fn outcome_unknown(proposal: &Proposal, elapsed: Duration, errors: Vec<EntryError>) -> Failure {
    Failure::OutcomeUnknown {
        operation: proposal.operation.clone(),
        base: proposal.base,
        elapsed,
        errors,
    }
}
