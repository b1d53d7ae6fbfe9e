//! The daemon: its two roles and the code that they share.
//!
//! A process has one control thread, which owns the control state, and a pool of traffic threads.
//! The control thread publishes immutable snapshots ([`view::View`]), which the traffic threads
//! read; they send it messages. [`entry`] serves callers and operators, [`sidecar`] serves one
//! target.

pub mod admin;
pub mod clock;
pub mod connection_pool;
pub mod crash_report;
pub mod entry;
pub mod listener;
pub mod log;
pub mod membership;
pub mod meter;
pub mod peer;
pub mod policy_configs;
pub mod process;
pub mod settings;
pub mod sidecar;
pub mod trace;
pub mod view;

use std::process::ExitCode;

use settings::{Parsed, Role};

/// Reads the settings and runs the role until the process is signalled to stop.
pub fn run() -> ExitCode {
    let settings = match settings::from_process() {
        Ok(Parsed::Run(s)) => s,
        Ok(Parsed::Print(text)) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(2);
        }
    };
    log::init(&settings);
    let result = trace::init(&settings).and_then(|()| match &settings.role {
        Role::Entry(e) => entry::run(&settings, e),
        Role::Sidecar(s) => sidecar::run(&settings, s),
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            spdlog::error!(logger: log::main(), "start failed: {e}");
            ExitCode::FAILURE
        }
    }
}
