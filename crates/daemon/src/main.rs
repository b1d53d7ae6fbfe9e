//! The daemon: `clementinestepd entry` or `clementinestepd sidecar`.
//!
//! If the environment names the platform's settings file, the role and all settings come from this
//! file; otherwise they come from flags and environment variables.

use std::process::ExitCode;

fn main() -> ExitCode {
    match std::env::var_os(platform::SETTINGS_VARIABLE) {
        Some(path) => gate::run(path.into()),
        None => daemon::run(),
    }
}
