//! The daemon: `clementinestepd entry` or `clementinestepd sidecar`.

use std::process::ExitCode;

fn main() -> ExitCode {
    daemon::run()
}
