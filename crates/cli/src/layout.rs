//! Layout of tables, ids and times for a terminal.

use std::fmt;

use chrono::DateTime;

/// Number of leading characters that suffice to distinguish ids or digests.
const SHORT_LEN: usize = 12;

/// Formats rows under a header in aligned columns.
pub fn table<const N: usize>(header: [&str; N], rows: &[[String; N]]) -> String {
    let rows: Vec<_> = rows
        .iter()
        .map(|r| r.each_ref().map(|c| sanitize(c)))
        .collect();
    let header = header.map(str::to_owned);
    let all = || std::iter::once(&header).chain(&rows);
    let width = |i: usize| all().map(|r| r[i].chars().count()).max().unwrap_or(0);
    let widths: [usize; N] = std::array::from_fn(width);
    all().map(|row| line(row, &widths)).collect()
}

/// Shortens an id or a digest.
pub fn short_id(id: &str) -> &str {
    id.get(..SHORT_LEN).unwrap_or(id)
}

/// Formats a time in seconds since the epoch as date and time in UTC.
pub fn utc_time(seconds: u64) -> String {
    let seconds = i64::try_from(seconds).ok();
    match seconds.and_then(|s| DateTime::from_timestamp(s, 0)) {
        Some(t) => t.format("%Y-%m-%d %H:%M:%SZ").to_string(),
        None => "never".to_owned(),
    }
}

/// Shows each item on an indented line below the text before the list.
pub struct IndentedList<'a, T>(pub &'a [T]);

impl<T: fmt::Display> fmt::Display for IndentedList<'_, T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|item| write!(f, "\n  {item}"))
    }
}

fn line<const N: usize>(row: &[String; N], widths: &[usize; N]) -> String {
    let cells = row.iter().zip(widths).map(|(c, w)| format!("{c:w$}"));
    let line = cells.collect::<Vec<_>>().join("  ");
    format!("{}\n", line.trim_end())
}

/// Replaces the control characters of a cell, and an empty cell by `-`. Some cells hold text that
/// other operators chose, such as an author; a line break or an escape sequence in such a cell
/// could forge rows of the table.
fn sanitize(cell: &str) -> String {
    let replace = |c: char| match c.is_control() {
        true => char::REPLACEMENT_CHARACTER,
        false => c,
    };
    match cell.is_empty() {
        true => "-".to_owned(),
        false => cell.chars().map(replace).collect(),
    }
}
