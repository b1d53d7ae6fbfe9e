//! Calls to the fleet through any entry that answers.

use std::error::Error as _;
use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::http::uri::Authority;
use hyper::{Method, StatusCode};
use serde::de::DeserializeOwned;
use store::{Call, Client, HttpError};
use thiserror::Error;

use crate::admin::{ErrorBody, Problem};
use crate::check::read_file;
use crate::exit::{Failure, Reason, Usage};

/// Environment variable with the operators' key.
pub const KEY_VARIABLE: &str = "CLEMENTINESTEP_OPERATOR_KEY";
/// Environment variable with the addresses of the entries, separated by commas.
pub const ENTRIES_VARIABLE: &str = "CLEMENTINESTEP_ENTRIES";
/// Timeout for a read, which an entry answers from memory or from the platform.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of characters of an unexpected answer that an error message shows.
const MAX_EXCERPT: usize = 200;

/// Client for the entries of a fleet.
#[derive(Debug)]
pub struct Fleet {
    /// Addresses of the entries, in the order in which to try them.
    entries: Vec<String>,
    key: Key,
    client: Client,
    /// Index of the entry that last gave a usable answer.
    preferred: AtomicUsize,
}

/// Failed call to one entry; another entry may answer.
#[derive(Debug, Error)]
#[error("{entry}: {cause}")]
pub struct EntryError {
    /// Address of the entry.
    pub entry: String,
    /// Cause of the failure.
    pub cause: Cause,
}

/// Cause of a failed call to one entry.
#[derive(Debug, Error)]
pub enum Cause {
    /// The entry gave no answer.
    #[error("{}", RootCause(.0))]
    Http(#[from] HttpError),
    /// The platform is unavailable to the entry.
    #[error("the platform is unavailable")]
    PlatformUnavailable,
    /// The status is neither success nor a refusal that applies to all entries.
    #[error("status {status}: {excerpt}")]
    Status {
        /// HTTP status.
        status: u16,
        /// Beginning of the answer.
        excerpt: String,
    },
    /// The answer can't be decoded.
    #[error("unreadable answer: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// The operators' key, hidden in debug output.
struct Key(String);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

impl Fleet {
    /// Creates a client for the given entries, or for those in the environment if none are given.
    pub fn from_options(entries: &[String], key_file: &Option<PathBuf>) -> Result<Self, Failure> {
        let entries = match entries {
            [] => split_addresses(std::env::var(ENTRIES_VARIABLE).unwrap_or_default()),
            _ => entries.to_vec(),
        };
        if entries.is_empty() {
            return Err(Usage::NoEntry.into());
        }
        for entry in &entries {
            let address = entry.parse::<Authority>().ok();
            address
                .filter(|a| a.port_u16().is_some() && !entry.contains('@'))
                .ok_or_else(|| Usage::BadEntry(entry.clone()))?;
        }
        Ok(Self {
            entries,
            key: load_key(key_file.as_deref())?,
            client: Client::default(),
            preferred: AtomicUsize::new(0),
        })
    }

    /// The entries with their indices, in the order in which to try them: the given order,
    /// rotated to start with the entry that last gave a usable answer. A call to an entry behind
    /// a link that drops packets takes a whole timeout; without the rotation, a command that
    /// waits for a change to propagate would spend that timeout on every poll.
    pub fn by_preference(&self) -> impl Iterator<Item = (usize, &str)> {
        let n = self.entries.len();
        let first = self.preferred.load(Ordering::Relaxed);
        (first..first + n).map(move |i| (i % n, self.entries[i % n].as_str()))
    }

    /// Makes the entry with this index the first one to try.
    pub fn prefer(&self, index: usize) {
        self.preferred.store(index, Ordering::Relaxed);
    }

    /// Reads a resource from the first entry that gives a usable answer.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        self.fetch(path).await.map(|(value, _)| value)
    }

    /// Reads a resource and returns it for output: the JSON of the answer, or the text that
    /// `table` makes of the value.
    pub async fn get_output<T: DeserializeOwned>(
        &self,
        path: &str,
        json: bool,
        table: impl Fn(&T) -> String,
    ) -> Result<String, Failure> {
        let (value, body) = self.fetch::<T>(path).await?;
        Ok(match json {
            true => String::from_utf8_lossy(&body).into_owned(),
            false => table(&value),
        })
    }

    /// Reads a resource; returns the decoded value and the body of the answer.
    async fn fetch<T: DeserializeOwned>(&self, path: &str) -> Result<(T, Bytes), Failure> {
        let mut errors = Vec::new();
        for (index, entry) in self.by_preference() {
            let answer = self.send(entry, Method::GET, path, "", READ_TIMEOUT).await;
            match answer.map_err(Cause::from) {
                Ok((status, body)) if status.is_client_error() => {
                    return Err(refusal(entry, status, &body));
                }
                Ok((status, body)) => match decode(status, &body) {
                    Ok(v) => {
                        self.prefer(index);
                        return Ok((v, body));
                    }
                    Err(cause) => errors.push(EntryError::new(entry, cause)),
                },
                Err(cause) => errors.push(EntryError::new(entry, cause)),
            }
        }
        match errors
            .iter()
            .any(|e| matches!(e.cause, Cause::PlatformUnavailable))
        {
            true => Err(Failure::PlatformUnavailable),
            false => Err(Failure::FleetUnavailable(errors)),
        }
    }

    /// Sends one call to one entry.
    pub async fn send(
        &self,
        entry: &str,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), HttpError> {
        let call = Call::new(method, format!("http://{entry}{path}"), timeout)
            .header("authorization", format!("Bearer {}", self.key.0))
            .header("content-type", "application/json")
            .body(body);
        self.client.call(call).await
    }
}

impl EntryError {
    /// Creates the error of a failed call to one entry.
    pub fn new(entry: impl Into<String>, cause: impl Into<Cause>) -> Self {
        Self {
            entry: entry.into(),
            cause: cause.into(),
        }
    }
}

/// Shows the innermost cause of a failed connection attempt, such as a refused connection.
struct RootCause<'a>(&'a HttpError);

impl fmt::Display for RootCause<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let HttpError::Connect(e) = self.0 else {
            return write!(f, "{}", self.0);
        };
        let root = std::iter::successors(e.source(), |&e| e.source()).last();
        match root {
            Some(root) => write!(f, "can't connect: {root}"),
            None => write!(f, "{}", self.0),
        }
    }
}

/// Decodes the problem in the body of an error answer.
pub fn decode_problem(body: &[u8]) -> Problem {
    match serde_json::from_slice::<ErrorBody>(body) {
        Ok(b) => b.error,
        Err(_) => Problem::Other,
    }
}

/// The failure for a refusal that any other entry would repeat.
pub fn refusal(entry: &str, status: StatusCode, body: &[u8]) -> Failure {
    let reason = match decode_problem(body) {
        Problem::Unauthorized => Reason::Unauthorized,
        _ if status == StatusCode::UNAUTHORIZED => Reason::Unauthorized,
        _ => Reason::Other(excerpt(body)),
    };
    Failure::Refused {
        entry: entry.to_owned(),
        status: status.as_u16(),
        reason,
    }
}

/// The cause for a status that is neither success nor a refusal that applies to all entries.
pub fn unexpected_status(status: StatusCode, body: &[u8]) -> Cause {
    Cause::Status {
        status: status.as_u16(),
        excerpt: excerpt(body),
    }
}

fn decode<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T, Cause> {
    match (status, decode_problem(body)) {
        (s, _) if s.is_success() => Ok(serde_json::from_slice(body)?),
        (_, Problem::PlatformDown) => Err(Cause::PlatformUnavailable),
        _ => Err(unexpected_status(status, body)),
    }
}

/// The beginning of an answer without control characters.
fn excerpt(body: &[u8]) -> String {
    let text = String::from_utf8_lossy(body);
    let plain = text.chars().filter(|c| !c.is_control());
    match text.trim() {
        "" => "no reason given".to_owned(),
        _ => plain.take(MAX_EXCERPT).collect(),
    }
}

/// Splits a list of addresses at commas and spaces.
fn split_addresses(list: String) -> Vec<String> {
    let addresses = list.split([',', ' ']).filter(|a| !a.is_empty());
    addresses.map(str::to_owned).collect()
}

/// Reads the operators' key from a file, or from the environment if no file is given.
fn load_key(file: Option<&Path>) -> Result<Key, Failure> {
    let text = match file {
        Some(path) => read_file(path)?,
        None => std::env::var(KEY_VARIABLE).unwrap_or_default(),
    };
    let key = text.trim();
    match HeaderValue::from_str(key) {
        _ if key.is_empty() => Err(Usage::NoKey.into()),
        Err(_) => Err(Usage::BadKey.into()),
        Ok(_) => Ok(Key(key.to_owned())),
    }
}
