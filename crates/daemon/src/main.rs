//! The daemon: `clementinestepd entry` or `clementinestepd sidecar`.
//!
//! Where the platform's settings file is named in the environment, the process takes its role and
//! all else from it; otherwise from its own flags and environment.

use std::process::ExitCode;

fn main() -> ExitCode {
    match std::env::var_os(platform::SETTINGS_VARIABLE) {
        Some(path) => gate::run(path.into()),
        None => daemon::run(),
    }
}
