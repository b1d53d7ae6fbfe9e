//! From a parsed text to typed tables, keeping the place of every key and noting every fault.
//!
//! A reader that stops at the first fault makes an operator check a file as often as it has faults.
//! Here each value that can't be read is noted and left at its default, and reading goes on.

use std::collections::{BTreeMap, HashMap};
use std::ops::Range;
use std::str::FromStr;

use toml::de::{DeTable, DeValue};
use toml::Spanned;

use crate::fault::{Fault, FaultKind};
use crate::units::{Duration, Glob, Percent, Size, TimeWindow};

/// How alike two words must be for one to be suggested in place of the other; `strsim` gives 1 to
/// equal words. Words that are one edit apart are suggested whatever this says.
const ALIKE: f64 = 0.7;

/// A value that can be read from the text.
pub(crate) trait Read: Sized {
    /// What it is called in documentation.
    fn kind() -> String;

    /// Reads it; absent if it can't be read, which the reader has noted then.
    fn read(reader: &mut Reader, path: &str, value: &Spanned<DeValue<'_>>) -> Option<Self>;
}

/// What is known of a text besides its values: places and faults.
#[derive(Debug, Default)]
pub(crate) struct Reader {
    spots: HashMap<String, usize>,
    faults: Vec<(usize, String, FaultKind)>,
}

/// A table being read.
pub(crate) struct Section<'a, 'i> {
    reader: &'a mut Reader,
    path: &'a str,
    table: &'a DeTable<'i>,
}

impl Reader {
    /// Parses a text and reads it as a table.
    pub(crate) fn parse<T: Read + Default>(text: &str) -> (Self, T) {
        let mut reader = Self::default();
        let (table, errors) = DeTable::parse_recoverable(text);
        for e in errors {
            let at = e.span().map_or(0, |s| s.start);
            let kind = FaultKind::Syntax(e.message().to_owned());
            reader.faults.push((at, String::new(), kind));
        }
        let span = table.span();
        let value = Spanned::new(span, DeValue::Table(table.into_inner()));
        let read = T::read(&mut reader, "", &value).unwrap_or_default();
        (reader, read)
    }

    /// Notes a fault at a key, or at the nearest key around it.
    pub(crate) fn note(&mut self, path: impl Into<String>, kind: FaultKind) {
        let path = path.into();
        self.faults.push((self.spot(&path), path, kind));
    }

    /// Whether anything was noted at a key or within it.
    pub(crate) fn is_faulty(&self, path: impl AsRef<str>) -> bool {
        let within = |key: &str| match key.strip_prefix(path.as_ref()) {
            Some(rest) => rest.is_empty() || rest.starts_with(['.', '[']),
            None => false,
        };
        self.faults.iter().any(|(_, key, _)| within(key))
    }

    /// All faults with their places, in the order of the text.
    pub(crate) fn finish(mut self, file: &str, text: &str) -> Vec<Fault> {
        self.faults.sort_by_key(|(at, ..)| *at);
        let mut places = Places::new(text);
        self.faults
            .into_iter()
            .map(|(at, key, kind)| {
                let (line, column) = places.of(at);
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

    fn spot(&self, path: &str) -> usize {
        let mut path = path;
        loop {
            match self.spots.get(path) {
                Some(at) => return *at,
                None if path.is_empty() => return 0,
                None => path = path.rfind(['.', '[']).map_or("", |i| &path[..i]),
            }
        }
    }

    /// Remembers where a key stands: a table at its name, anything else at its value.
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
        self.spots.insert(path.clone(), start);
        path
    }

    /// Reads a word or a value written as text.
    pub(crate) fn text<T: FromStr<Err = FaultKind>>(
        &mut self,
        path: &str,
        value: &Spanned<DeValue<'_>>,
    ) -> Option<T> {
        match value.get_ref() {
            DeValue::String(s) => s.parse().map_err(|kind| self.note(path, kind)).ok(),
            other => {
                self.wrong(path, "string", other);
                None
            }
        }
    }

    fn wrong(&mut self, path: &str, want: &'static str, value: &DeValue<'_>) {
        let found = value.type_str();
        self.note(path, FaultKind::WrongType { want, found });
    }
}

/// Turns growing offsets into lines and columns in one pass over the text.
struct Places<'a> {
    text: &'a str,
    at: usize,
    line: usize,
    column: usize,
}

impl<'a> Places<'a> {
    fn new(text: &'a str) -> Self {
        Self {
            text,
            at: 0,
            line: 1,
            column: 1,
        }
    }

    fn of(&mut self, offset: usize) -> (usize, usize) {
        for c in self.text[self.at..].chars() {
            if self.at >= offset {
                break;
            }
            self.at += c.len_utf8();
            (self.line, self.column) = match c {
                '\n' => (self.line + 1, 1),
                _ => (self.line, self.column + 1),
            };
        }
        (self.line, self.column)
    }
}

impl<'a, 'i> Section<'a, 'i> {
    /// Opens a value as a table.
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
                reader.wrong(path, "table", other);
                None
            }
        }
    }

    /// Reads one key.
    pub(crate) fn get<T: Read>(&mut self, key: &str) -> Option<T> {
        let (name, value) = self.table.iter().find(|(k, _)| k.get_ref() == key)?;
        let path = self.reader.enter(self.path, name, value);
        T::read(self.reader, &path, value)
    }

    /// Notes each key that isn't among the known ones.
    pub(crate) fn finish(self, known: &[&str]) {
        let condition = self.path.ends_with(".when") || self.path.ends_with(".not");
        for (key, value) in self.table {
            let name = key.get_ref().to_string();
            if known.contains(&name.as_str()) {
                continue;
            }
            let path = self.reader.enter(self.path, key, value);
            self.reader.spots.insert(path.clone(), key.span().start);
            let kind = FaultKind::UnknownKey {
                hint: nearest(&name, known.iter().copied()),
                name,
                condition,
            };
            self.reader.note(path, kind);
        }
    }
}

/// The name most like another one, if any is like it.
pub(crate) fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<String> {
    known
        .into_iter()
        .map(|k| {
            (
                strsim::damerau_levenshtein(name, k),
                strsim::jaro_winkler(name, k),
                k,
            )
        })
        .filter(|(edits, alike, _)| *edits <= 1 || *alike >= ALIKE)
        .min_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)))
        .map(|(.., k)| k.to_owned())
}

macro_rules! read_text {
    ($($name:ty: $kind:literal)*) => {$(
        impl Read for $name {
            fn kind() -> String {
                $kind.to_owned()
            }

            fn read(r: &mut Reader, path: &str, value: &Spanned<DeValue<'_>>) -> Option<Self> {
                r.text(path, value)
            }
        }
    )*};
}

pub(crate) use read_text;

read_text!(
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
                r.wrong(path, "string", other);
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
                r.wrong(path, "boolean", other);
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
                .map_err(|_| r.note(path, FaultKind::BadNumber(i.to_string())))
                .ok(),
            other => {
                r.wrong(path, "integer", other);
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

/// A list of one may be written without brackets.
impl<T: Read> Read for Vec<T> {
    fn kind() -> String {
        format!("list: {}", T::kind())
    }

    fn read(r: &mut Reader, path: &str, value: &Spanned<DeValue<'_>>) -> Option<Self> {
        let DeValue::Array(items) = value.get_ref() else {
            return T::read(r, path, value).map(|one| vec![one]);
        };
        let mut read = Self::with_capacity(items.len());
        for item in items {
            let path = format!("{path}[{}]", read.len());
            r.spots.insert(path.clone(), item.span().start);
            read.extend(T::read(r, &path, item));
        }
        Some(read)
    }
}

impl<T: Read> Read for BTreeMap<String, T> {
    fn kind() -> String {
        format!("table: {}", T::kind())
    }

    fn read(r: &mut Reader, path: &str, value: &Spanned<DeValue<'_>>) -> Option<Self> {
        let DeValue::Table(table) = value.get_ref() else {
            r.wrong(path, "table", value.get_ref());
            return None;
        };
        let mut read = Self::new();
        for (key, value) in table {
            let path = r.enter(path, key, value);
            if let Some(v) = T::read(r, &path, value) {
                read.insert(key.get_ref().to_string(), v);
            }
        }
        Some(read)
    }
}
