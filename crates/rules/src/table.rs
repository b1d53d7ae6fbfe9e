//! Macros that declare the tables and enums of a configuration.
//!
//! One list of keys generates the struct, its defaults, its reader, its serializer and its rows in
//! the documentation, so that these can't drift apart.

use std::fmt;

use serde::Serialize;

/// Documentation of one key. `Display` gives its row in a table of options.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OptionDoc {
    /// Name of the table that has the key.
    pub table: &'static str,
    /// Name of the key.
    pub key: &'static str,
    /// Type of the value.
    pub kind: String,
    /// Default value in TOML; empty if there is none or it can't be written on one line.
    pub default: String,
    /// Description of the key.
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

/// The value in TOML; empty for tables and absent values, which can't be written as `key = value`.
pub(crate) fn inline_toml(value: &impl Serialize) -> String {
    match toml::Value::try_from(value) {
        Ok(toml::Value::Table(_)) | Err(_) => String::new(),
        Ok(v) => v.to_string(),
    }
}

/// Declares a table. Each field is written as `"key" field: Type = default;`, and its doc comment
/// becomes the description of the option. Scalars come before tables, as TOML requires in output.
/// Keys at their defaults are not serialized.
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

            /// Documentation of the table's keys.
            pub fn option_docs() -> Vec<$crate::table::OptionDoc> {
                let d = Self::default();
                vec![$($crate::table::OptionDoc {
                    table: $table,
                    key: $key,
                    kind: <$kind as $crate::read::Read>::kind(),
                    default: $crate::table::inline_toml(&d.$field),
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
                let mut table = $crate::read::TableReader::open(r, path, value)?;
                let mut values = Self::default();
                $(if let Some(v) = table.get($key) {
                    values.$field = v;
                })*
                table.finish(Self::KEYS);
                Some(values)
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

/// Declares an enum whose variants are written as single words in the configuration.
macro_rules! word_enum {
    (
        $(#[$meta:meta])*
        $name:ident { $($(#[$doc:meta])+ $variant:ident $word:literal,)* }
    ) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $name { $($(#[$doc])+ $variant,)* }

        impl $name {
            /// All variants, in order of declaration.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// The variant's word in the configuration.
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
                $crate::table::find_word(s, known)
                    .map(|i| Self::ALL[i])
            }
        }

        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.collect_str(self)
            }
        }

        $crate::read::read_from_str!($name: "word");
    };
}

pub(crate) use {table, word_enum};

/// Position of a word among the known ones, or a fault that lists them.
pub(crate) fn find_word(
    word: &str,
    known: impl Iterator<Item = &'static str> + Clone,
) -> Result<usize, crate::fault::FaultKind> {
    known.clone().position(|k| k == word).ok_or_else(|| {
        let quoted: Vec<_> = known.clone().map(|k| format!("`{k}`")).collect();
        crate::fault::FaultKind::UnknownWord {
            word: word.to_owned(),
            known: quoted.join(", "),
            hint: crate::read::suggestion(word, known),
        }
    })
}
