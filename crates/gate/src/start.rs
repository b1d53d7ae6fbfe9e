//! Start and stop of a process: settings, signals and the tasks common to all roles.

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use platform::settings::{parse_settings, SettingsError};
use site::{Role, Settings};
use thiserror::Error;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::{JoinError, LocalSet};
use tokio::time::{timeout, Instant};

use crate::node::{Node, SharedNode};
use crate::{entry, follow, log, meter, peer, sidecar};

/// Interval at which the settings file is read again, since it may change without a signal.
const REREAD_INTERVAL: Duration = Duration::from_secs(2);

/// Duration of a read of the settings file after which the read is logged as failed. A local file
/// is read in microseconds.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Flag that states the cost of bytes between failure domains; it wins over the environment variable.
const DOMAIN_COST_FLAG: &str = "--domain-cost";
/// Environment variable that states the cost of bytes between failure domains.
const DOMAIN_COST_VARIABLE: &str = "CLEMENTINESTEP_DOMAIN_COST";

/// Flags and environment variables that state the memory held for callers in MiB, their connections, and how long they
/// may acknowledge or take nothing, in milliseconds; the flag wins.
const CALLER_MEMORY: (&str, &str) = ("--caller-memory-mb", "CLEMENTINESTEP_CALLER_MEMORY_MB");
const CALLER_CONNECTIONS: (&str, &str) =
    ("--caller-connections", "CLEMENTINESTEP_CALLER_CONNECTIONS");
const CALLER_UNACKED: (&str, &str) = ("--caller-unacked-ms", "CLEMENTINESTEP_CALLER_UNACKED_MS");
const CALLER_UNREAD: (&str, &str) = ("--caller-unread-ms", "CLEMENTINESTEP_CALLER_UNREAD_MS");

/// Error that prevents a process from starting.
#[derive(Debug, Error)]
pub enum StartError {
    /// The settings file can't be read.
    #[error("the settings file `{0}` can't be read: {1}")]
    File(PathBuf, #[source] std::io::Error),
    /// The settings file is invalid.
    #[error("the settings file `{0}`: {1}")]
    Settings(PathBuf, #[source] SettingsError),
    /// The cost of bytes between failure domains is invalid.
    #[error("the cost of bytes between domains, `{0}`, isn't a number of milliseconds per megabyte from 0 on")]
    DomainCost(String),
    /// A limit of what is held for callers is invalid.
    #[error("`{0}` is `{1}`, which isn't a number above 0")]
    CallerLimit(&'static str, String),
    /// The operating system has denied a resource.
    #[error("{0}")]
    System(#[from] std::io::Error),
}

/// Error that prevents changed settings from coming into force.
#[derive(Debug, Error)]
enum ReloadError {
    /// The read of the settings file has not ended in time.
    #[error("the settings file isn't read in time")]
    Slow,
    /// The thread that reads the settings file has failed.
    #[error("the reader of the settings file has failed: {0}")]
    Reader(#[from] JoinError),
    /// The settings file can't be read or is invalid.
    #[error("{0}")]
    Settings(#[from] StartError),
}

/// Runs the process that a settings file describes until it receives a signal to stop.
pub fn run(path: PathBuf) -> ExitCode {
    match start(path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::failed(&e.to_string());
            ExitCode::FAILURE
        }
    }
}

fn start(path: PathBuf) -> Result<(), StartError> {
    let settings = read_settings(&path)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = LocalSet::new();
    let result = local.block_on(&runtime, run_process(path, settings));
    // The remaining tasks, such as a held call to the store, are no longer needed.
    runtime.shutdown_background();
    result
}

/// Reads the settings on a thread of their own, because the file's volume may hang and all requests
/// of the process are served by one thread. A read that takes long is logged and waited for.
async fn read_settings_again(path: &Path) -> Result<Settings, ReloadError> {
    let path = path.to_owned();
    let mut read = tokio::task::spawn_blocking(move || read_settings(&path));
    let result = match timeout(READ_TIMEOUT, &mut read).await {
        Ok(result) => result,
        Err(_) => {
            log::not_reloaded(&ReloadError::Slow.to_string());
            read.await
        }
    };
    Ok(result??)
}

fn read_settings(path: &Path) -> Result<Settings, StartError> {
    let text = std::fs::read_to_string(path).map_err(|e| StartError::File(path.to_owned(), e))?;
    let settings = parse_settings(&text).map_err(|e| StartError::Settings(path.to_owned(), e))?;
    let variable = std::env::var_os(DOMAIN_COST_VARIABLE);
    let limit = |(flag, variable): (&'static str, &str)| {
        caller_limit(flag, std::env::args_os(), std::env::var_os(variable))
    };
    let mib = |n: usize| n.saturating_mul(1 << 20);
    let ms = |n: usize| Duration::from_millis(n as u64);
    Ok(Settings {
        domain_cost: domain_cost(std::env::args_os(), variable)?,
        caller_bytes: limit(CALLER_MEMORY)?.map(mib),
        caller_connections: limit(CALLER_CONNECTIONS)?,
        caller_unacked: limit(CALLER_UNACKED)?.map(ms),
        caller_unread: limit(CALLER_UNREAD)?.map(ms),
        ..settings
    })
}

/// Cost of a megabyte between failure domains in milliseconds, from the command line or an environment variable; `None`
/// if neither states it.
pub fn domain_cost(
    args: impl IntoIterator<Item = OsString>,
    variable: Option<OsString>,
) -> Result<Option<f64>, StartError> {
    let Some(text) = option(DOMAIN_COST_FLAG, args, variable) else {
        return Ok(None);
    };
    let cost = text.trim().parse::<f64>().ok();
    match cost.filter(|c| c.is_finite() && *c >= 0.0) {
        Some(cost) => Ok(Some(cost)),
        None => Err(StartError::DomainCost(text)),
    }
}

/// A limit of what is held for callers, from the command line or an environment variable; `None` if neither states it.
pub fn caller_limit(
    flag: &'static str,
    args: impl IntoIterator<Item = OsString>,
    variable: Option<OsString>,
) -> Result<Option<usize>, StartError> {
    let Some(text) = option(flag, args, variable) else {
        return Ok(None);
    };
    match text.trim().parse().ok().filter(|n: &usize| *n > 0) {
        Some(n) => Ok(Some(n)),
        None => Err(StartError::CallerLimit(flag, text)),
    }
}

/// Text of a flag, or of an environment variable that isn't empty.
fn option(
    flag: &str,
    args: impl IntoIterator<Item = OsString>,
    variable: Option<OsString>,
) -> Option<String> {
    // The platform's own arguments may be other than Unicode.
    let text = |s: OsString| s.to_string_lossy().into_owned();
    let variable = variable.map(text);
    let mut args = args.into_iter().map(text);
    let mut given = None;
    while let Some(arg) = args.next() {
        // The platform's own arguments are ignored.
        match arg.strip_prefix(flag) {
            Some("") => given = Some(args.next().unwrap_or_default()),
            Some(rest) if rest.starts_with('=') => given = Some(rest[1..].to_owned()),
            _ => {}
        }
    }
    given.or(variable.filter(|v| !v.trim().is_empty()))
}

async fn run_process(path: PathBuf, settings: Settings) -> Result<(), StartError> {
    let term = signal(SignalKind::terminate())?;
    let int = signal(SignalKind::interrupt())?;
    let hup = signal(SignalKind::hangup())?;
    let role = settings.role;
    log::started(&settings);
    let (listener, socket) = wire::bind_both(settings.peer).await?;
    let socket = Rc::new(socket);
    let settings = Settings {
        peer: listener.local_addr()?,
        ..settings
    };
    let node: SharedNode = Rc::new(Node::new(settings));
    meter::serve(&node).await?;
    tokio::task::spawn_local(reload(Rc::clone(&node), path, hup));
    tokio::task::spawn_local(follow::follow_operator_rows(
        Rc::clone(&node),
        Rc::clone(&socket),
    ));
    tokio::task::spawn_local(follow::follow_members(Rc::clone(&node), Rc::clone(&socket)));
    tokio::task::spawn_local(peer::query_while_store_is_lost(Rc::clone(&node)));
    peer::serve(&node, listener);
    let stop = wait_for_stop(term, int);
    match role {
        Role::Entry => entry::run(node, socket, stop).await?,
        Role::Sidecar => sidecar::run(node, socket, stop).await?,
    }
    log::stopped();
    Ok(())
}

async fn wait_for_stop(mut term: Signal, mut int: Signal) -> Instant {
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    log::stopping();
    Instant::now()
}

/// Applies changed settings; if the file can't be read, the previous settings stay in force.
async fn reload(node: SharedNode, path: PathBuf, mut hup: Signal) {
    loop {
        let signaled = timeout(REREAD_INTERVAL, hup.recv()).await.is_ok();
        match read_settings_again(&path).await {
            Ok(new) => {
                // The bound addresses stay in use until the process restarts.
                let (changed, is_new) = {
                    let settings = node.settings.borrow();
                    let changed = Settings {
                        peer: settings.peer,
                        ..new
                    };
                    let is_new = changed != *settings;
                    (changed, is_new)
                };
                if signaled || is_new {
                    log::reloaded(signaled);
                }
                node.set_settings(changed);
            }
            Err(e) => log::not_reloaded(&e.to_string()),
        }
    }
}
