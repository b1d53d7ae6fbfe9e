//! Traces: a span for each hop of a request, joined by the W3C trace context.
//!
//! Spans are written to a file as they end, one JSON object a line, by `tracing-subscriber`; no
//! collector is needed. Without `--trace-file` spans cost a branch each.

use std::fmt;
use std::fs::File;
use std::io;
use std::sync::Mutex;

use tracing_subscriber::fmt::format::FmtSpan;

use crate::settings::Settings;

/// Name of the header that carries the context.
pub const HEADER: &str = "traceparent";

/// Where in a trace a request is: the trace, and the span that is the parent of what follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Context {
    /// The whole request's trace.
    pub trace: u128,
    /// The last span.
    pub span: u64,
}

impl Context {
    /// A new trace.
    pub fn random() -> Self {
        Self {
            trace: rand::random::<u128>() | 1,
            span: rand::random::<u64>() | 1,
        }
    }

    /// The context in a header; none if it isn't well formed.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('-');
        let (version, trace) = (parts.next()?, parts.next()?);
        let (span, flags) = (parts.next()?, parts.next()?);
        let hex = |s: &str, n| s.len() == n && s.bytes().all(|b| b.is_ascii_hexdigit());
        let good = hex(version, 2) && version != "ff" && hex(trace, 32) && hex(span, 16);
        let found = Self {
            trace: u128::from_str_radix(trace, 16).ok()?,
            span: u64::from_str_radix(span, 16).ok()?,
        };
        (good && hex(flags, 2) && found.trace != 0 && found.span != 0).then_some(found)
    }

    /// The context for a span below this one.
    pub fn child(self) -> Self {
        Self {
            span: Self::random().span,
            ..self
        }
    }
}

impl fmt::Display for Context {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "00-{:032x}-{:016x}-01", self.trace, self.span)
    }
}

/// A span named `$name` whose context is `$cx` and whose parent is `$parent`.
#[macro_export]
macro_rules! hop {
    ($name:literal, $parent:expr, $cx:expr $(, $key:ident = $value:expr)*) => {
        tracing::info_span!(
            $name,
            trace = %format_args!("{:032x}", $cx.trace),
            span = %format_args!("{:016x}", $cx.span),
            parent = %format_args!("{:016x}", $parent.span)
            $(, $key = %$value)*
        )
    };
}

/// Writes spans to the file that the settings name, if any.
pub fn init(settings: &Settings) -> io::Result<()> {
    let Some(path) = &settings.trace_file else {
        return Ok(());
    };
    let file = File::options().create(true).append(true).open(path)?;
    let subscriber = tracing_subscriber::fmt()
        .json()
        .with_span_events(FmtSpan::CLOSE)
        .with_current_span(true)
        .with_span_list(false)
        .with_max_level(tracing::Level::INFO)
        .with_writer(Mutex::new(file))
        .finish();
    tracing::subscriber::set_global_default(subscriber).map_err(io::Error::other)
}
