//! Tracing: a span for each hop of a request, linked by the W3C trace context.
//!
//! `tracing-subscriber` writes each span to a file when it ends, as one JSON object per line, so
//! no collector is needed. Without `--trace-file`, a span costs one branch.

use std::fmt;
use std::fs::File;
use std::io;
use std::sync::Mutex;

use tracing_subscriber::fmt::format::FmtSpan;

use crate::settings::Settings;

/// Header that carries the context.
pub const HEADER: &str = "traceparent";

/// Position in a trace: the trace, and the span that is the parent of the next spans.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Context {
    /// Id of the trace.
    pub trace: u128,
    /// Id of the span.
    pub span: u64,
}

impl Context {
    /// Context of a new trace.
    pub fn random() -> Self {
        Self {
            trace: rand::random::<u128>() | 1,
            span: rand::random::<u64>() | 1,
        }
    }

    /// Parses a header; none if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('-');
        let (version, trace) = (parts.next()?, parts.next()?);
        let (span, flags) = (parts.next()?, parts.next()?);
        let hex = |s: &str, n| s.len() == n && s.bytes().all(|b| b.is_ascii_hexdigit());
        let valid = hex(version, 2) && version != "ff" && hex(trace, 32) && hex(span, 16);
        let context = Self {
            trace: u128::from_str_radix(trace, 16).ok()?,
            span: u64::from_str_radix(span, 16).ok()?,
        };
        (valid && hex(flags, 2) && context.trace != 0 && context.span != 0).then_some(context)
    }

    /// Context of a new child span.
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

/// Creates a span named `$name` with the context `$cx` and the parent `$parent`.
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

/// Starts writing spans to the trace file, if the settings name one.
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
