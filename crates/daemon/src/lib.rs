//! The daemon's two roles and what they share.
//!
//! A process has one control thread, which alone changes control state, and a pool of traffic
//! threads. Control publishes immutable [`view::View`]s; traffic reads them and sends messages.
//! [`entry`] faces callers and operators, [`sidecar`] faces one target.

pub mod admin;
pub mod clock;
pub mod connection_pool;
pub mod crash_report;
pub mod entry;
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

/// Reads settings, starts the role and runs until it is told to stop.
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
    let done = trace::init(&settings).and_then(|()| match &settings.role {
        Role::Entry(e) => entry::run(&settings, e),
        Role::Sidecar(s) => sidecar::run(&settings, s),
    });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            spdlog::error!(logger: log::main(), "start failed: {e}");
            ExitCode::FAILURE
        }
    }
}
