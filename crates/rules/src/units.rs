//! Value types that are written as text: durations, sizes, percentages, times of day and patterns.
//!
//! A bare number invites the wrong unit, and the mistake goes unnoticed until a limit turns out a
//! thousand times too large. Durations, sizes and percentages are therefore written with their
//! unit. `Display` uses the largest unit that gives a whole number, and its output parses to the
//! same value.

use std::fmt;
use std::str::FromStr;

use model::Micros;
use serde::{Serialize, Serializer};

use crate::fault::FaultKind;

/// Units of time in microseconds, the largest first.
const TIME_UNITS: [(&str, u64); 6] = [
    ("d", 86_400_000_000),
    ("h", 3_600_000_000),
    ("m", 60_000_000),
    ("s", 1_000_000),
    ("ms", 1_000),
    ("us", 1),
];

/// Units of size in bytes, the largest first.
const SIZE_UNITS: [(&str, u64); 4] = [
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

/// A fraction with a resolution of one thousandth, written as `20%` or `12.5%`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Percent(u16);

/// A time window of each day in UTC, written as `06:00-18:30`. The end is excluded. A window whose
/// end is before its start continues past midnight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimeWindow {
    from: u16,
    to: u16,
}

/// A pattern that matches one text or, with a trailing `*`, all texts with its prefix.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Glob(String);

impl Duration {
    /// Creates a duration from whole milliseconds.
    pub const fn from_millis(ms: u64) -> Self {
        Self(Micros::from_millis(ms))
    }

    /// Creates a duration from whole seconds.
    pub const fn from_secs(s: u64) -> Self {
        Self(Micros::from_secs(s))
    }
}

impl Percent {
    /// Creates a percentage from thousandths; values above 1000 become 1000.
    pub const fn from_permille(n: u16) -> Self {
        match n {
            0..=1000 => Self(n),
            _ => Self(1000),
        }
    }

    /// The value as a number from 0 to 1.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / 1e3
    }
}

impl TimeWindow {
    /// Creates a window between two minutes of the day; absent if both are the same time of day or
    /// either is out of range. Only `00:00-24:00` covers a whole day.
    pub fn new(from: u16, to: u16) -> Option<Self> {
        let whole_day = (from, to) == (0, MINUTES_PER_DAY);
        let part_of_day =
            from < MINUTES_PER_DAY && to <= MINUTES_PER_DAY && from != to % MINUTES_PER_DAY;
        (whole_day || part_of_day).then_some(Self { from, to })
    }

    /// Whether a minute of the day lies in the window.
    pub fn contains(&self, minute: u16) -> bool {
        match self.from < self.to {
            true => (self.from..self.to).contains(&minute),
            false => minute >= self.from || minute < self.to,
        }
    }
}

impl Glob {
    /// Whether the pattern matches a text.
    pub fn matches(&self, text: impl AsRef<str>) -> bool {
        match self.prefix() {
            Some(prefix) => text.as_ref().starts_with(prefix),
            None => self.0 == text.as_ref(),
        }
    }

    /// The text before the trailing `*`; absent if there is none.
    pub fn prefix(&self) -> Option<&str> {
        self.0.strip_suffix('*')
    }

    /// The pattern as it is written.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Whether the pattern matches every text that `other` matches.
    pub fn covers(&self, other: &Self) -> bool {
        match (self.prefix(), other.prefix()) {
            (Some(a), Some(b)) => b.starts_with(a),
            (Some(a), None) => other.0.starts_with(a),
            (None, Some(_)) => false,
            (None, None) => self.0 == other.0,
        }
    }
}

/// Parses a whole number with a unit; absent if the unit is unknown or the product overflows.
fn parse_scaled(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let end = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(end);
    let (_, scale) = units.iter().find(|(u, _)| *u == unit)?;
    number.parse::<u64>().ok()?.checked_mul(*scale)
}

/// Formats a value in the largest unit that divides it, and zero in `zero_unit`.
fn format_scaled(value: u64, units: &[(&str, u64)], zero_unit: &str) -> String {
    match units.iter().find(|(_, scale)| value.is_multiple_of(*scale)) {
        Some((unit, scale)) if value > 0 => format!("{}{unit}", value / scale),
        _ => format!("{value}{zero_unit}"),
    }
}

/// Whether a text consists of exactly `n` decimal digits.
fn is_digits(text: &str, n: usize) -> bool {
    text.len() == n && text.bytes().all(|b| b.is_ascii_digit())
}

/// Parses a number with at most one decimal as tenths, which are thousandths for a percentage.
fn parse_permille(text: &str) -> Option<u16> {
    let (whole, tenth) = text.split_once('.').unwrap_or((text, "0"));
    let well_formed = (1..=3).any(|n| is_digits(whole, n)) && is_digits(tenth, 1);
    let value = |s: &str| s.parse::<u16>().ok();
    well_formed.then_some(value(whole)? * 10 + value(tenth)?)
}

/// Parses `hh:mm`, up to `24:00`, as minutes since midnight.
fn parse_minutes(text: &str) -> Option<u16> {
    let (h, m) = text.split_once(':')?;
    let two_digits = |s: &str| is_digits(s, 2).then(|| s.parse::<u16>().ok()).flatten();
    let (h, m) = (two_digits(h)?, two_digits(m)?);
    (h <= 24 && m < 60 && h * 60 + m <= MINUTES_PER_DAY).then_some(h * 60 + m)
}

impl FromStr for Duration {
    type Err = FaultKind;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        parse_scaled(s, &TIME_UNITS)
            .map(|t| Self(Micros(t)))
            .ok_or_else(|| FaultKind::BadDuration(s.to_owned()))
    }
}

impl FromStr for Size {
    type Err = FaultKind;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        parse_scaled(s, &SIZE_UNITS)
            .map(Self)
            .ok_or_else(|| FaultKind::BadSize(s.to_owned()))
    }
}

impl FromStr for Percent {
    type Err = FaultKind;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.strip_suffix('%')
            .and_then(parse_permille)
            .filter(|n| *n <= 1000)
            .map(Self)
            .ok_or_else(|| FaultKind::BadPercent(s.to_owned()))
    }
}

impl FromStr for TimeWindow {
    type Err = FaultKind;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.split_once('-')
            .and_then(|(from, to)| Self::new(parse_minutes(from)?, parse_minutes(to)?))
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
        f.write_str(&format_scaled(self.0 .0, &TIME_UNITS, "s"))
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&format_scaled(self.0, &SIZE_UNITS, "B"))
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

/// Serializes types as their `Display` text.
macro_rules! serialize_as_text {
    ($($name:ident)*) => {$(
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.collect_str(self)
            }
        }
    )*};
}

serialize_as_text!(Duration Size Percent TimeWindow Glob);
