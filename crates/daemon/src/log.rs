//! Loggers for each part of the process, each with its name as a prefix.

use std::sync::{Arc, OnceLock};

use spdlog::formatter::{pattern, JsonFormatter, PatternFormatter};
use spdlog::sink::{Sink, SinkPropAccess as _, StdStreamSink};
use spdlog::{LevelFilter, Logger};

use crate::settings::{LogFormat, Settings};

struct Loggers {
    main: Logger,
    entry: Logger,
    sidecar: Logger,
    fleet: Logger,
}

static LOGGERS: OnceLock<Loggers> = OnceLock::new();

/// Creates the loggers; later calls have no effect.
pub fn init(settings: &Settings) {
    LOGGERS.get_or_init(|| loggers(settings.log_format, settings.log_level));
}

/// Logger for the start and stop of the process.
pub fn main() -> &'static Logger {
    &get().main
}

/// Logger for requests of callers and calls of operators.
pub fn entry() -> &'static Logger {
    &get().entry
}

/// Logger for exchanges and the target.
pub fn sidecar() -> &'static Logger {
    &get().sidecar
}

/// Logger for membership and configuration.
pub fn fleet() -> &'static Logger {
    &get().fleet
}

fn get() -> &'static Loggers {
    LOGGERS.get_or_init(|| loggers(LogFormat::Text, LevelFilter::All))
}

fn loggers(format: LogFormat, level: LevelFilter) -> Loggers {
    let sink = StdStreamSink::builder()
        .std_stream(spdlog::sink::StdStream::Stderr)
        .build_arc();
    let sink: Arc<StdStreamSink> = sink.expect("a sink on stderr can always be created");
    match format {
        LogFormat::Json => sink.set_formatter(Box::new(JsonFormatter::new())),
        LogFormat::Text => sink.set_formatter(Box::new(PatternFormatter::new(pattern!(
            "{datetime}.{millisecond} {level} {logger}: {payload}{eol}"
        )))),
    }
    let logger = |name: &str| {
        Logger::builder()
            .name(name)
            .level_filter(level)
            .sink(Arc::clone(&sink) as Arc<dyn Sink>)
            .build()
            .expect("logger names are constants without forbidden characters")
    };
    Loggers {
        main: logger("main"),
        entry: logger("entry"),
        sidecar: logger("sidecar"),
        fleet: logger("fleet"),
    }
}
