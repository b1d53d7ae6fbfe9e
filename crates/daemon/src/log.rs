//! Logs: short sentences, each part with its own fixed prefix.

use std::sync::{Arc, OnceLock};

use spdlog::formatter::{pattern, JsonFormatter, PatternFormatter};
use spdlog::sink::{Sink, SinkPropAccess as _, StdStreamSink};
use spdlog::{LevelFilter, Logger};

use crate::settings::{LogFormat, Settings};

struct Parts {
    main: Logger,
    entry: Logger,
    sidecar: Logger,
    fleet: Logger,
}

static PARTS: OnceLock<Parts> = OnceLock::new();

/// Sets format and level; later calls have no effect.
pub fn init(settings: &Settings) {
    PARTS.get_or_init(|| parts(settings.log_format, settings.log_level));
}

/// Start and stop of the process.
pub fn main() -> &'static Logger {
    &get().main
}

/// Callers' requests and operators' calls.
pub fn entry() -> &'static Logger {
    &get().entry
}

/// Exchanges and the target.
pub fn sidecar() -> &'static Logger {
    &get().sidecar
}

/// Membership and configuration.
pub fn fleet() -> &'static Logger {
    &get().fleet
}

fn get() -> &'static Parts {
    PARTS.get_or_init(|| parts(LogFormat::Text, LevelFilter::All))
}

fn parts(format: LogFormat, level: LevelFilter) -> Parts {
    let sink = StdStreamSink::builder()
        .std_stream(spdlog::sink::StdStream::Stderr)
        .build_arc();
    let sink: Arc<StdStreamSink> = sink.expect("a sink on stderr needs nothing that can fail");
    match format {
        LogFormat::Json => sink.set_formatter(Box::new(JsonFormatter::new())),
        LogFormat::Text => sink.set_formatter(Box::new(PatternFormatter::new(pattern!(
            "{datetime}.{millisecond} {level} {logger}: {payload}{eol}"
        )))),
    }
    let part = |name: &str| {
        Logger::builder()
            .name(name)
            .level_filter(level)
            .sink(Arc::clone(&sink) as Arc<dyn Sink>)
            .build()
            .expect("part names are constants without forbidden characters")
    };
    Parts {
        main: part("main"),
        entry: part("entry"),
        sidecar: part("sidecar"),
        fleet: part("fleet"),
    }
}
