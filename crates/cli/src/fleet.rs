//! Calls to the fleet, through whichever entry answers.

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

use crate::admin::{Problem, Refusal};
use crate::check::read;
use crate::exit::{Failure, Reason, Usage};

/// Environment variable with the operators' key.
pub const KEY: &str = "CLEMENTINESTEP_OPERATOR_KEY";
/// Environment variable with the entries, separated by commas.
pub const ENTRIES: &str = "CLEMENTINESTEP_ENTRIES";
/// Longest wait for what an entry holds in memory or reads from the platform.
const LIMIT: Duration = Duration::from_secs(5);
/// Characters shown of an answer that isn't understood.
const EXCERPT: usize = 200;

/// The entries that may be asked, in this order, and the key they want.
#[derive(Debug)]
pub struct Fleet {
    entries: Vec<String>,
    key: Key,
    client: Client,
    /// Position of the entry that was of help last.
    first: AtomicUsize,
}

/// Why one entry is of no help; another one may be.
#[derive(Debug, Error)]
#[error("{entry}: {cause}")]
pub struct Miss {
    /// The entry.
    pub entry: String,
    /// Why.
    pub cause: Cause,
}

/// Why an entry is of no help.
#[derive(Debug, Error)]
pub enum Cause {
    /// No answer.
    #[error("{}", Rooted(.0))]
    Http(#[from] HttpError),
    /// The platform is away.
    #[error("the platform is away")]
    Platform,
    /// Neither success nor a refusal that settles anything.
    #[error("status {status}: {said}")]
    Status {
        /// HTTP status.
        status: u16,
        /// What it said.
        said: String,
    },
    /// An answer that can't be read.
    #[error("unreadable answer: {0}")]
    Garbled(#[from] serde_json::Error),
}

/// The operators' key; never shown.
struct Key(String);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

impl Fleet {
    /// The fleet behind these entries, or else those of the environment.
    pub fn open(entries: &[String], key: &Option<PathBuf>) -> Result<Self, Failure> {
        let entries = match entries {
            [] => named(std::env::var(ENTRIES).unwrap_or_default()),
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
            key: key_of(key.as_deref())?,
            client: Client::default(),
            first: AtomicUsize::new(0),
        })
    }

    /// The entries in the order in which to ask them: as they were named, but from the one that
    /// was of help last. An entry behind a silent link costs a whole time limit; a command that
    /// waits for a change to spread would pay it at every look.
    pub fn order(&self) -> impl Iterator<Item = (usize, &str)> {
        let n = self.entries.len();
        let first = self.first.load(Ordering::Relaxed);
        (first..first + n).map(move |i| (i % n, self.entries[i % n].as_str()))
    }

    /// Notes that this entry was of help.
    pub fn prefer(&self, place: usize) {
        self.first.store(place, Ordering::Relaxed);
    }

    /// Reads something from the first entry that has it.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        self.text(path).await.map(|(value, _)| value)
    }

    /// What an entry knows, as the answer's own JSON or as a table of it.
    pub async fn shown<T: DeserializeOwned>(
        &self,
        path: &str,
        json: bool,
        table: impl Fn(&T) -> String,
    ) -> Result<String, Failure> {
        let (value, text) = self.text::<T>(path).await?;
        Ok(match json {
            true => String::from_utf8_lossy(&text).into_owned(),
            false => table(&value),
        })
    }

    /// What an entry knows, along with the answer's own text.
    async fn text<T: DeserializeOwned>(&self, path: &str) -> Result<(T, Bytes), Failure> {
        let mut misses = Vec::new();
        for (place, entry) in self.order() {
            let answer = self.send(entry, Method::GET, path, "", LIMIT).await;
            match answer.map_err(Cause::from) {
                Ok((status, body)) if status.is_client_error() => {
                    return Err(refused(entry, status, &body));
                }
                Ok((status, body)) => match value(status, &body) {
                    Ok(v) => {
                        self.prefer(place);
                        return Ok((v, body));
                    }
                    Err(cause) => misses.push(Miss::new(entry, cause)),
                },
                Err(cause) => misses.push(Miss::new(entry, cause)),
            }
        }
        match misses.iter().any(|m| matches!(m.cause, Cause::Platform)) {
            true => Err(Failure::Platform),
            false => Err(Failure::Away(misses)),
        }
    }

    /// Sends one call to one entry.
    pub async fn send(
        &self,
        entry: &str,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), HttpError> {
        let call = Call::new(method, format!("http://{entry}{path}"), limit)
            .header("authorization", format!("Bearer {}", self.key.0))
            .header("content-type", "application/json")
            .body(body);
        self.client.call(call).await
    }
}

impl Miss {
    /// One entry's failure to help.
    pub fn new(entry: impl Into<String>, cause: impl Into<Cause>) -> Self {
        Self {
            entry: entry.into(),
            cause: cause.into(),
        }
    }
}

/// A failed call with the innermost reason, such as a refused connection.
struct Rooted<'a>(&'a HttpError);

impl fmt::Display for Rooted<'_> {
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

/// The problem that an answer names.
pub fn problem(body: &[u8]) -> Problem {
    match serde_json::from_slice::<Refusal>(body) {
        Ok(r) => r.error,
        Err(_) => Problem::Other,
    }
}

/// An entry's refusal that no other entry would mend.
pub fn refused(entry: &str, status: StatusCode, body: &[u8]) -> Failure {
    let reason = match problem(body) {
        Problem::Unauthorized => Reason::Unauthorized,
        _ if status == StatusCode::UNAUTHORIZED => Reason::Unauthorized,
        _ => Reason::Said(excerpt(body)),
    };
    Failure::Refused {
        entry: entry.to_owned(),
        status: status.as_u16(),
        reason,
    }
}

/// An answer that is neither success nor a refusal that settles anything.
pub fn strange(status: StatusCode, body: &[u8]) -> Cause {
    Cause::Status {
        status: status.as_u16(),
        said: excerpt(body),
    }
}

fn value<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T, Cause> {
    match (status, problem(body)) {
        (s, _) if s.is_success() => Ok(serde_json::from_slice(body)?),
        (_, Problem::PlatformDown) => Err(Cause::Platform),
        _ => Err(strange(status, body)),
    }
}

fn excerpt(body: &[u8]) -> String {
    let text = String::from_utf8_lossy(body);
    let plain = text.chars().filter(|c| !c.is_control());
    match text.trim() {
        "" => "no reason given".to_owned(),
        _ => plain.take(EXCERPT).collect(),
    }
}

fn named(list: String) -> Vec<String> {
    let names = list.split([',', ' ']).filter(|e| !e.is_empty());
    names.map(str::to_owned).collect()
}

fn key_of(file: Option<&Path>) -> Result<Key, Failure> {
    let text = match file {
        Some(path) => read(path)?,
        None => std::env::var(KEY).unwrap_or_default(),
    };
    let key = text.trim();
    match HeaderValue::from_str(key) {
        _ if key.is_empty() => Err(Usage::NoKey.into()),
        Err(_) => Err(Usage::BadKey.into()),
        Ok(_) => Ok(Key(key.to_owned())),
    }
}
