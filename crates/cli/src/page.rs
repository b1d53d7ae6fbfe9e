//! The layout of text for a terminal.

use std::fmt;

use chrono::DateTime;

/// Digits of an id or a digest that are enough to tell it from others.
const SHORT: usize = 12;

/// Rows under a head, in aligned columns.
pub fn table<const N: usize>(head: [&str; N], rows: &[[String; N]]) -> String {
    let clean: Vec<_> = rows
        .iter()
        .map(|r| r.each_ref().map(|c| plain(c)))
        .collect();
    let head = head.map(str::to_owned);
    let all = || std::iter::once(&head).chain(&clean);
    let width = |i: usize| all().map(|r| r[i].chars().count()).max().unwrap_or(0);
    let widths: [usize; N] = std::array::from_fn(width);
    all().map(|row| line(row, &widths)).collect()
}

/// The beginning of an id or a digest.
pub fn short(id: &str) -> &str {
    id.get(..SHORT).unwrap_or(id)
}

/// A time in seconds since the epoch, as date and time in UTC.
pub fn time(at: u64) -> String {
    let at = i64::try_from(at).ok();
    match at.and_then(|s| DateTime::from_timestamp(s, 0)) {
        Some(t) => t.format("%Y-%m-%d %H:%M:%SZ").to_string(),
        None => "never".to_owned(),
    }
}

/// Items on lines of their own, below the line that they belong to.
pub struct List<'a, T>(pub &'a [T]);

impl<T: fmt::Display> fmt::Display for List<'_, T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|x| write!(f, "\n  {x}"))
    }
}

fn line<const N: usize>(row: &[String; N], widths: &[usize; N]) -> String {
    let cells = row.iter().zip(widths).map(|(c, w)| format!("{c:w$}"));
    let line = cells.collect::<Vec<_>>().join("  ");
    format!("{}\n", line.trim_end())
}

/// A cell without control characters. Some cells hold what other operators chose, such as an
/// author; a line break or an escape sequence in one would forge rows of the table.
fn plain(cell: &str) -> String {
    let keep = |c: char| match c.is_control() {
        true => char::REPLACEMENT_CHARACTER,
        false => c,
    };
    match cell.is_empty() {
        true => "-".to_owned(),
        false => cell.chars().map(keep).collect(),
    }
}
