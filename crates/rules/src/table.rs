//! Declares the tables of a configuration: one list of keys gives the struct, its defaults, its
//! reader, its printer and its rows in the documentation, so that these can't drift apart.

use std::fmt;

use serde::Serialize;

/// One key of a table, for documentation; shown as a row of its options table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OptionDoc {
    /// The table it stands in.
    pub table: &'static str,
    /// The key.
    pub key: &'static str,
    /// The type of its value.
    pub kind: String,
    /// The value when it isn't written; empty if there is none.
    pub default: String,
    /// What it means.
    pub meaning: String,
}

impl fmt::Display for OptionDoc {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let default = match self.default.as_str() {
            "" => String::new(),
            d => format!("`{d}`"),
        };
        let Self { key, kind, .. } = self;
        write!(f, "| `{key}` | {kind} | {default} | {} |", self.meaning)
    }
}

/// A value as the text spells it; nothing for what can't stand after a key.
pub(crate) fn spell(value: &impl Serialize) -> String {
    match toml::Value::try_from(value) {
        Ok(toml::Value::Table(_)) | Err(_) => String::new(),
        Ok(v) => v.to_string(),
    }
}

/// Fields are written as `"key" field: Type = default;`, scalars before tables, as TOML wants them
/// printed. A key at its default is not printed.
macro_rules! table {
    (
        $(#[$meta:meta])*
        $name:ident in $table:literal {
            $($(#[doc = $doc:literal])+ $key:literal $field:ident: $kind:ty = $default:expr;)*
        }
    ) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq)]
        pub struct $name {
            $($(#[doc = $doc])+ pub $field: $kind,)*
        }

        impl Default for $name {
            fn default() -> Self {
                Self { $($field: $default,)* }
            }
        }

        impl $name {
            const KEYS: &'static [&'static str] = &[$($key,)*];

            /// Its keys, for documentation.
            pub fn fields() -> Vec<$crate::table::OptionDoc> {
                let d = Self::default();
                vec![$($crate::table::OptionDoc {
                    table: $table,
                    key: $key,
                    kind: <$kind as $crate::read::Read>::kind(),
                    default: $crate::table::spell(&d.$field),
                    meaning: concat!($($doc),+).trim().to_owned(),
                },)*]
            }
        }

        impl $crate::read::Read for $name {
            fn kind() -> String {
                "table".to_owned()
            }

            fn read(
                r: &mut $crate::read::Reader,
                path: &str,
                value: &toml::Spanned<toml::de::DeValue<'_>>,
            ) -> Option<Self> {
                let mut section = $crate::read::Section::open(r, path, value)?;
                let mut read = Self::default();
                $(if let Some(v) = section.get($key) {
                    read.$field = v;
                })*
                section.finish(Self::KEYS);
                Some(read)
            }
        }

        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                use serde::ser::SerializeMap;
                let d = Self::default();
                let mut map = s.serialize_map(None)?;
                $(if self.$field != d.$field {
                    map.serialize_entry($key, &self.$field)?;
                })*
                map.end()
            }
        }
    };
}

/// Enums whose variants are single words in the text.
macro_rules! words {
    (
        $(#[$meta:meta])*
        $name:ident { $($(#[$doc:meta])+ $variant:ident $word:literal,)* }
    ) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $name { $($(#[$doc])+ $variant,)* }

        impl $name {
            /// All of them, in order.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// The word in the text.
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$variant => $word,)* }
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(self.as_str())
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::fault::FaultKind;

            fn from_str(s: &str) -> Result<Self, Self::Err> {
                let known = Self::ALL.iter().map(|w| w.as_str());
                $crate::table::word(s, known)
                    .map(|i| Self::ALL[i])
            }
        }

        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.collect_str(self)
            }
        }

        $crate::read::read_text!($name: "word");
    };
}

pub(crate) use {table, words};

/// The position of a word among those allowed.
pub(crate) fn word(
    word: &str,
    known: impl Iterator<Item = &'static str> + Clone,
) -> Result<usize, crate::fault::FaultKind> {
    known.clone().position(|k| k == word).ok_or_else(|| {
        let quoted: Vec<_> = known.clone().map(|k| format!("`{k}`")).collect();
        crate::fault::FaultKind::UnknownWord {
            word: word.to_owned(),
            known: quoted.join(", "),
            hint: crate::read::nearest(word, known),
        }
    })
}
