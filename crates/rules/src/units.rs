//! Values that carry their unit in the text: durations, sizes, times of day, patterns.
//!
//! A bare number invites the wrong unit, and nobody notices until a limit is a thousand times too
//! large. So every such value is text with a unit; printing gives the shortest text that parses to
//! the same value.

use std::fmt;
use std::str::FromStr;

use model::Micros;
use serde::{Serialize, Serializer};

use crate::fault::FaultKind;

/// Units of time and their microseconds, the largest first.
const TIMES: [(&str, u64); 6] = [
    ("d", 86_400_000_000),
    ("h", 3_600_000_000),
    ("m", 60_000_000),
    ("s", 1_000_000),
    ("ms", 1_000),
    ("us", 1),
];

/// Units of size and their bytes, the largest first.
const SIZES: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

pub(crate) const MINUTES_PER_DAY: u16 = 1_440;

/// A span of time, written as `1500ms` or `8s`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Duration(pub Micros);

/// A number of bytes, written as `4MiB`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Size(pub u64);

/// A part of a whole in thousandths, written as `20%` or `12.5%`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Percent(u16);

/// A part of each day in UTC, from its first minute up to, but not including, its last; one that
/// ends before it starts goes on past midnight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimeWindow {
    from: u16,
    to: u16,
}

/// A text to match; a trailing `*` stands for any rest.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Glob(String);

impl Duration {
    /// A span of whole milliseconds.
    pub const fn from_millis(ms: u64) -> Self {
        Self(Micros::from_millis(ms))
    }

    /// A span of whole seconds.
    pub const fn from_secs(s: u64) -> Self {
        Self(Micros::from_secs(s))
    }
}

impl Percent {
    /// So many thousandths, at most all of them.
    pub const fn from_permille(n: u16) -> Self {
        match n {
            0..=1000 => Self(n),
            _ => Self(1000),
        }
    }

    /// As a fraction of one.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / 1e3
    }
}

impl TimeWindow {
    /// A window between two minutes of the day; none if both are the same or either is too late.
    pub fn new(from: u16, to: u16) -> Option<Self> {
        let whole = (from, to) == (0, MINUTES_PER_DAY);
        let part = from < MINUTES_PER_DAY && to <= MINUTES_PER_DAY && from != to % MINUTES_PER_DAY;
        (whole || part).then_some(Self { from, to })
    }

    /// Whether it holds a minute of the day.
    pub fn contains(&self, minute: u16) -> bool {
        match self.from < self.to {
            true => (self.from..self.to).contains(&minute),
            false => minute >= self.from || minute < self.to,
        }
    }
}

impl Glob {
    /// Whether it matches a text.
    pub fn matches(&self, text: impl AsRef<str>) -> bool {
        match self.prefix() {
            Some(head) => text.as_ref().starts_with(head),
            None => self.0 == text.as_ref(),
        }
    }

    /// What stands before the trailing `*`, if there is one.
    pub fn prefix(&self) -> Option<&str> {
        self.0.strip_suffix('*')
    }

    /// The pattern as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Whether it matches all that another one does.
    pub fn covers(&self, other: &Self) -> bool {
        match (self.prefix(), other.prefix()) {
            (Some(a), Some(b)) => b.starts_with(a),
            (Some(a), None) => other.0.starts_with(a),
            (None, Some(_)) => false,
            (None, None) => self.0 == other.0,
        }
    }
}

/// Splits a number from its unit and multiplies them.
fn scaled(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let end = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(end);
    let (_, scale) = units.iter().find(|(u, _)| *u == unit)?;
    number.parse::<u64>().ok()?.checked_mul(*scale)
}

/// The value in the largest unit that divides it; zero in the one given.
fn spell(value: u64, units: &[(&str, u64)], zero: &str) -> String {
    match units.iter().find(|(_, scale)| value.is_multiple_of(*scale)) {
        Some((unit, scale)) if value > 0 => format!("{}{unit}", value / scale),
        _ => format!("{value}{zero}"),
    }
}

/// Whether a text is this many decimal digits and nothing else.
fn digits(text: &str, n: usize) -> bool {
    text.len() == n && text.bytes().all(|b| b.is_ascii_digit())
}

/// Thousandths of a percentage with at most one decimal.
fn permille(text: &str) -> Option<u16> {
    let (whole, tenth) = text.split_once('.').unwrap_or((text, "0"));
    let plain = (1..=3).any(|n| digits(whole, n)) && digits(tenth, 1);
    let value = |s: &str| s.parse::<u16>().ok();
    plain.then_some(value(whole)? * 10 + value(tenth)?)
}

/// Minutes since midnight of `hh:mm`.
fn minutes(text: &str) -> Option<u16> {
    let (h, m) = text.split_once(':')?;
    let two = |s: &str| digits(s, 2).then(|| s.parse::<u16>().ok()).flatten();
    let (h, m) = (two(h)?, two(m)?);
    (h <= 24 && m < 60 && h * 60 + m <= MINUTES_PER_DAY).then_some(h * 60 + m)
}

impl FromStr for Duration {
    type Err = FaultKind;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        scaled(s, &TIMES)
            .map(|t| Self(Micros(t)))
            .ok_or_else(|| FaultKind::BadDuration(s.to_owned()))
    }
}

impl FromStr for Size {
    type Err = FaultKind;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        scaled(s, &SIZES)
            .map(Self)
            .ok_or_else(|| FaultKind::BadSize(s.to_owned()))
    }
}

impl FromStr for Percent {
    type Err = FaultKind;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.strip_suffix('%')
            .and_then(permille)
            .filter(|n| *n <= 1000)
            .map(Self)
            .ok_or_else(|| FaultKind::BadPercent(s.to_owned()))
    }
}

impl FromStr for TimeWindow {
    type Err = FaultKind;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.split_once('-')
            .and_then(|(from, to)| Self::new(minutes(from)?, minutes(to)?))
            .ok_or_else(|| FaultKind::BadWindow(s.to_owned()))
    }
}

impl FromStr for Glob {
    type Err = FaultKind;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        match s.find('*') {
            Some(i) if i + 1 < s.len() => Err(FaultKind::BadGlob(s.to_owned())),
            _ => Ok(Self(s.to_owned())),
        }
    }
}

impl fmt::Display for Duration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&spell(self.0 .0, &TIMES, "s"))
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&spell(self.0, &SIZES, "B"))
    }
}

impl fmt::Display for Percent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.0 / 10, self.0 % 10) {
            (whole, 0) => write!(f, "{whole}%"),
            (whole, tenth) => write!(f, "{whole}.{tenth}%"),
        }
    }
}

impl fmt::Display for TimeWindow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (a, b) = (self.from, self.to);
        write!(f, "{:02}:{:02}-{:02}:{:02}", a / 60, a % 60, b / 60, b % 60)
    }
}

impl fmt::Display for Glob {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

macro_rules! as_text {
    ($($name:ident)*) => {$(
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.collect_str(self)
            }
        }
    )*};
}

as_text!(Duration Size Percent TimeWindow Glob);
