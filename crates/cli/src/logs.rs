//! Reading the log lines of many processes.
//!
//! Logs are read after a failure, so they come torn at the end, mixed with other writers' lines and
//! from hosts whose clocks differ. A line that isn't one of ours is counted and passed over; nothing
//! in a file can end the reading.

use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

use serde_json::{Map, Value};

use crate::exit::Failure;

/// One line of a process's log.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// The host that wrote it.
    pub host: String,
    /// When it was written, by its host's clock.
    pub at: String,
    /// Its kind.
    pub event: String,
    /// All of its fields.
    pub fields: Map<String, Value>,
}

impl Line {
    /// A field as text.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// A field as a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }

    /// The fields but for those of every line, as `name=value`.
    pub fn rest(&self) -> String {
        let known = ["at", "event", "host", "up_ms", "request"];
        let rest = self.fields.iter().filter(|(k, v)| {
            let told = !known.contains(&k.as_str());
            told && !v.is_null()
        });
        let texts: Vec<_> = rest
            .map(|(k, v)| match v.as_str() {
                Some(text) => format!("{k}={text}"),
                None => format!("{k}={v}"),
            })
            .collect();
        texts.join(" ")
    }
}

/// The lines of some files, by time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Logs {
    /// The lines.
    pub lines: Vec<Line>,
    /// Lines that are none of ours.
    pub foreign: usize,
}

impl Logs {
    /// Reads files, `-` for standard input.
    pub fn read(files: &[PathBuf]) -> Result<Self, Failure> {
        let mut logs = Self::default();
        for path in files {
            let bytes = bytes(path).map_err(|error| Failure::File {
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
            match line(raw) {
                Some(line) => self.lines.push(line),
                None if raw.iter().all(u8::is_ascii_whitespace) => {}
                None => self.foreign += 1,
            }
        }
    }

    /// What was passed over, as a sentence; empty if nothing was.
    pub fn passed_over(&self) -> String {
        match self.foreign {
            0 => String::new(),
            n => format!("passed over {n} lines that aren't this system's\n"),
        }
    }
}

fn bytes(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    match path.as_os_str() == "-" {
        true => io::stdin().lock().read_to_end(&mut bytes)?,
        false => File::open(path)?.read_to_end(&mut bytes)?,
    };
    Ok(bytes)
}

/// A line of ours; whatever a collector has put before its object is passed over.
fn line(raw: &[u8]) -> Option<Line> {
    let begin = raw.windows(6).position(|w| w == b"{\"at\":")?;
    let fields: Map<String, Value> = serde_json::from_slice(&raw[begin..]).ok()?;
    let text = |name: &str| fields.get(name)?.as_str().map(str::to_owned);
    Some(Line {
        host: text("host")?,
        at: text("at")?,
        event: text("event")?,
        fields,
    })
}
