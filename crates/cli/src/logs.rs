//! Reader for the log lines of many processes.
//!
//! Logs are read after a failure: their last line may be truncated, they may contain lines of other
//! programs, and they come from hosts whose clocks differ. A line that isn't a log line of this
//! system is counted and skipped; no content of a file makes the reader fail.

use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

use serde_json::{Map, Value};

use crate::exit::Failure;

/// One line of a process's log.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Host that wrote the line.
    pub host: String,
    /// Time of the line by the clock of its host.
    pub at: String,
    /// Name of the event.
    pub event: String,
    /// All fields of the line, including the above.
    pub fields: Map<String, Value>,
}

impl Line {
    /// The value of a text field.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// The value of a numeric field.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }

    /// The fields as `name=value`, without null fields, the request id and the fields that every
    /// line has.
    pub fn details(&self) -> String {
        let common = ["at", "event", "host", "up_ms", "request"];
        let details = self.fields.iter().filter(|(k, v)| {
            let specific = !common.contains(&k.as_str());
            specific && !v.is_null()
        });
        let texts: Vec<_> = details
            .map(|(k, v)| match v.as_str() {
                Some(text) => format!("{k}={text}"),
                None => format!("{k}={v}"),
            })
            .collect();
        texts.join(" ")
    }
}

/// The log lines of some files, sorted by time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Logs {
    /// Log lines of this system.
    pub lines: Vec<Line>,
    /// Number of lines that are not log lines of this system.
    pub unrecognized: usize,
}

impl Logs {
    /// Reads files; `-` is standard input.
    pub fn read(files: &[PathBuf]) -> Result<Self, Failure> {
        let mut logs = Self::default();
        for path in files {
            let bytes = read_bytes(path).map_err(|error| Failure::File {
                path: path.clone(),
                error,
            })?;
            logs.add(&bytes);
        }
        logs.lines.sort_by(|a, b| a.at.cmp(&b.at));
        Ok(logs)
    }

    fn add(&mut self, bytes: &[u8]) {
        for raw in bytes.split(|b| *b == b'\n') {
            match parse(raw) {
                Some(line) => self.lines.push(line),
                None if raw.iter().all(u8::is_ascii_whitespace) => {}
                None => self.unrecognized += 1,
            }
        }
    }

    /// A sentence with the number of skipped lines; empty if no line was skipped.
    pub fn skipped(&self) -> String {
        match self.unrecognized {
            0 => String::new(),
            n => format!("skipped {n} lines that are not log lines of this system\n"),
        }
    }
}

fn read_bytes(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    match path.as_os_str() == "-" {
        true => io::stdin().lock().read_to_end(&mut bytes)?,
        false => File::open(path)?.read_to_end(&mut bytes)?,
    };
    Ok(bytes)
}

/// Parses a log line of this system; text that a log collector put before the JSON object is
/// ignored.
fn parse(raw: &[u8]) -> Option<Line> {
    let start = raw.windows(6).position(|w| w == b"{\"at\":")?;
    let fields: Map<String, Value> = serde_json::from_slice(&raw[start..]).ok()?;
    let text = |name: &str| fields.get(name)?.as_str().map(str::to_owned);
    Some(Line {
        host: text("host")?,
        at: text("at")?,
        event: text("event")?,
        fields,
    })
}
