//! Reads TOML into typed tables, recording the position of every key and every fault.
//!
//! A reader that stops at the first fault makes an operator check a file once for each fault. This
//! reader reports a value that can't be read, leaves it at its default and continues.

use std::collections::{BTreeMap, HashMap};
use std::ops::Range;
use std::str::FromStr;

use toml::de::{DeTable, DeValue};
use toml::Spanned;

use crate::fault::{Fault, FaultKind};
use crate::units::{Duration, Glob, Percent, Size, TimeWindow};

/// Least Jaro-Winkler similarity at which a known word is suggested for an unknown one; equal
/// words have 1. Words at most one edit apart are suggested regardless of their similarity.
const MIN_SIMILARITY: f64 = 0.7;

/// A type whose values can be read from TOML.
pub(crate) trait Read: Sized {
    /// Name of the type in documentation.
    fn kind() -> String;

    /// Reads a value. If it can't be read, reports a fault to the reader and returns nothing.
    fn read(reader: &mut Reader, path: &str, value: &Spanned<DeValue<'_>>) -> Option<Self>;
}

/// Collects the positions of keys and the faults while a configuration is read and checked.
#[derive(Debug, Default)]
pub(crate) struct Reader {
    /// Byte offset in the text of each key, by the key's path.
    offsets: HashMap<String, usize>,
    /// Faults with their byte offset and the path of their key.
    faults: Vec<(usize, String, FaultKind)>,
}

/// A table whose keys are being read.
pub(crate) struct TableReader<'a, 'i> {
    reader: &'a mut Reader,
    path: &'a str,
    table: &'a DeTable<'i>,
}

impl Reader {
    /// Parses a text as TOML and reads it as a table.
    pub(crate) fn parse<T: Read + Default>(text: &str) -> (Self, T) {
        let mut reader = Self::default();
        let (table, errors) = DeTable::parse_recoverable(text);
        for e in errors {
            let offset = e.span().map_or(0, |s| s.start);
            let kind = FaultKind::Syntax(e.message().to_owned());
            reader.faults.push((offset, String::new(), kind));
        }
        let span = table.span();
        let value = Spanned::new(span, DeValue::Table(table.into_inner()));
        let parsed = T::read(&mut reader, "", &value).unwrap_or_default();
        (reader, parsed)
    }

    /// Reports a fault at a key, or at the nearest enclosing key that the text contains.
    pub(crate) fn report(&mut self, path: impl Into<String>, kind: FaultKind) {
        let path = path.into();
        self.faults.push((self.offset(&path), path, kind));
    }

    /// Whether a fault was reported at a key or within it.
    pub(crate) fn is_faulty(&self, path: impl AsRef<str>) -> bool {
        let within = |key: &str| match key.strip_prefix(path.as_ref()) {
            Some(rest) => rest.is_empty() || rest.starts_with(['.', '[']),
            None => false,
        };
        self.faults.iter().any(|(_, key, _)| within(key))
    }

    /// All faults with lines and columns, in the order of the text.
    pub(crate) fn finish(mut self, file: &str, text: &str) -> Vec<Fault> {
        self.faults.sort_by_key(|(offset, ..)| *offset);
        let mut positions = LineColumns::new(text);
        self.faults
            .into_iter()
            .map(|(offset, key, kind)| {
                let (line, column) = positions.at(offset);
                let severity = kind.severity();
                Fault {
                    file: file.to_owned(),
                    line,
                    column,
                    key,
                    severity,
                    kind,
                }
            })
            .collect()
    }

    /// Byte offset of a key, or of the nearest enclosing key that the text contains.
    fn offset(&self, path: &str) -> usize {
        let mut path = path;
        loop {
            match self.offsets.get(path) {
                Some(offset) => return *offset,
                None if path.is_empty() => return 0,
                None => path = path.rfind(['.', '[']).map_or("", |i| &path[..i]),
            }
        }
    }

    /// Records the offset of a key, for a table that of its name and otherwise that of the value.
    /// Returns the path of the key.
    fn enter<K: AsRef<str>>(
        &mut self,
        path: &str,
        key: &Spanned<K>,
        value: &Spanned<DeValue<'_>>,
    ) -> String {
        let name = key.get_ref().as_ref();
        let path = match path.is_empty() {
            true => name.to_owned(),
            false => format!("{path}.{name}"),
        };
        let Range { start, .. } = match value.get_ref() {
            DeValue::Table(_) => key.span(),
            _ => value.span(),
        };
        self.offsets.insert(path.clone(), start);
        path
    }

    /// Reads a string and parses it.
    pub(crate) fn parse_string<T: FromStr<Err = FaultKind>>(
        &mut self,
        path: &str,
        value: &Spanned<DeValue<'_>>,
    ) -> Option<T> {
        match value.get_ref() {
            DeValue::String(s) => s.parse().map_err(|kind| self.report(path, kind)).ok(),
            other => {
                self.report_type(path, "string", other);
                None
            }
        }
    }

    fn report_type(&mut self, path: &str, expected: &'static str, value: &DeValue<'_>) {
        let found = value.type_str();
        self.report(path, FaultKind::WrongType { expected, found });
    }
}

/// Converts ascending byte offsets to lines and columns in one pass over the text.
struct LineColumns<'a> {
    text: &'a str,
    /// Offset up to which `line` and `column` have been counted.
    offset: usize,
    line: usize,
    column: usize,
}

impl<'a> LineColumns<'a> {
    fn new(text: &'a str) -> Self {
        Self {
            text,
            offset: 0,
            line: 1,
            column: 1,
        }
    }

    /// Line and column of an offset, which must not be less than that of the previous call.
    fn at(&mut self, offset: usize) -> (usize, usize) {
        for c in self.text[self.offset..].chars() {
            if self.offset >= offset {
                break;
            }
            self.offset += c.len_utf8();
            (self.line, self.column) = match c {
                '\n' => (self.line + 1, 1),
                _ => (self.line, self.column + 1),
            };
        }
        (self.line, self.column)
    }
}

impl<'a, 'i> TableReader<'a, 'i> {
    /// Starts reading a value as a table; reports a fault and returns nothing if it is not one.
    pub(crate) fn open(
        reader: &'a mut Reader,
        path: &'a str,
        value: &'a Spanned<DeValue<'i>>,
    ) -> Option<Self> {
        match value.get_ref() {
            DeValue::Table(table) => Some(Self {
                reader,
                path,
                table,
            }),
            other => {
                reader.report_type(path, "table", other);
                None
            }
        }
    }

    /// Reads the value of one key; absent if the table lacks the key or the value can't be read.
    pub(crate) fn get<T: Read>(&mut self, key: &str) -> Option<T> {
        let (name, value) = self.table.iter().find(|(k, _)| k.get_ref() == key)?;
        let path = self.reader.enter(self.path, name, value);
        T::read(self.reader, &path, value)
    }

    /// Reports each key that isn't among the known ones.
    pub(crate) fn finish(self, known: &[&str]) {
        let is_condition = self.path.ends_with(".when") || self.path.ends_with(".not");
        for (key, value) in self.table {
            let name = key.get_ref().to_string();
            if known.contains(&name.as_str()) {
                continue;
            }
            let path = self.reader.enter(self.path, key, value);
            self.reader.offsets.insert(path.clone(), key.span().start);
            let kind = FaultKind::UnknownKey {
                hint: suggestion(&name, known.iter().copied()),
                name,
                is_condition,
            };
            self.reader.report(path, kind);
        }
    }
}

/// The known name most similar to a given one, if any is similar enough.
pub(crate) fn suggestion<'a>(
    name: &str,
    known: impl IntoIterator<Item = &'a str>,
) -> Option<String> {
    known
        .into_iter()
        .map(|k| {
            (
                strsim::damerau_levenshtein(name, k),
                strsim::jaro_winkler(name, k),
                k,
            )
        })
        .filter(|(edits, similarity, _)| *edits <= 1 || *similarity >= MIN_SIMILARITY)
        .min_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)))
        .map(|(.., k)| k.to_owned())
}

/// Implements [`Read`] for types that are written as strings and parsed by `FromStr`.
macro_rules! read_from_str {
    ($($name:ty: $kind:literal)*) => {$(
        impl Read for $name {
            fn kind() -> String {
                $kind.to_owned()
            }

            fn read(r: &mut Reader, path: &str, value: &Spanned<DeValue<'_>>) -> Option<Self> {
                r.parse_string(path, value)
            }
        }
    )*};
}

pub(crate) use read_from_str;

read_from_str!(
    Duration: "duration"
    Size: "size"
    Percent: "percentage"
    TimeWindow: "window"
    Glob: "pattern"
);

impl Read for String {
    fn kind() -> String {
        "text".to_owned()
    }

    fn read(r: &mut Reader, path: &str, value: &Spanned<DeValue<'_>>) -> Option<Self> {
        match value.get_ref() {
            DeValue::String(s) => Some(s.to_string()),
            other => {
                r.report_type(path, "string", other);
                None
            }
        }
    }
}

impl Read for bool {
    fn kind() -> String {
        "boolean".to_owned()
    }

    fn read(r: &mut Reader, path: &str, value: &Spanned<DeValue<'_>>) -> Option<Self> {
        match value.get_ref() {
            DeValue::Boolean(b) => Some(*b),
            other => {
                r.report_type(path, "boolean", other);
                None
            }
        }
    }
}

impl Read for u32 {
    fn kind() -> String {
        "integer".to_owned()
    }

    fn read(r: &mut Reader, path: &str, value: &Spanned<DeValue<'_>>) -> Option<Self> {
        match value.get_ref() {
            DeValue::Integer(i) => Self::from_str_radix(i.as_str(), i.radix())
                .map_err(|_| r.report(path, FaultKind::BadNumber(i.to_string())))
                .ok(),
            other => {
                r.report_type(path, "integer", other);
                None
            }
        }
    }
}

impl<T: Read> Read for Option<T> {
    fn kind() -> String {
        T::kind()
    }

    fn read(r: &mut Reader, path: &str, value: &Spanned<DeValue<'_>>) -> Option<Self> {
        T::read(r, path, value).map(Some)
    }
}

/// Reads an array; a list with a single element may be written without brackets.
impl<T: Read> Read for Vec<T> {
    fn kind() -> String {
        format!("list: {}", T::kind())
    }

    fn read(r: &mut Reader, path: &str, value: &Spanned<DeValue<'_>>) -> Option<Self> {
        let DeValue::Array(items) = value.get_ref() else {
            return T::read(r, path, value).map(|one| vec![one]);
        };
        let mut values = Self::with_capacity(items.len());
        for item in items {
            let path = format!("{path}[{}]", values.len());
            r.offsets.insert(path.clone(), item.span().start);
            values.extend(T::read(r, &path, item));
        }
        Some(values)
    }
}

impl<T: Read> Read for BTreeMap<String, T> {
    fn kind() -> String {
        format!("table: {}", T::kind())
    }

    fn read(r: &mut Reader, path: &str, value: &Spanned<DeValue<'_>>) -> Option<Self> {
        let DeValue::Table(table) = value.get_ref() else {
            r.report_type(path, "table", value.get_ref());
            return None;
        };
        let mut values = Self::new();
        for (key, value) in table {
            let path = r.enter(path, key, value);
            if let Some(v) = T::read(r, &path, value) {
                values.insert(key.get_ref().to_string(), v);
            }
        }
        Some(values)
    }
}
