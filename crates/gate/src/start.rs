//! From the settings file to a running process, and to its end.

use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use platform::settings::{parse_settings, SettingsError};
use site::{Role, Settings};
use thiserror::Error;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::LocalSet;
use tokio::time::Instant;

use crate::node::{Node, SharedNode};
use crate::{entry, follow, log, meter, peer, sidecar};

/// How often the settings file is looked at, since it may change without a signal.
const RELOOK: Duration = Duration::from_secs(2);

/// Why a process can't start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The settings file can't be read.
    #[error("the settings file `{0}` can't be read: {1}")]
    File(PathBuf, #[source] std::io::Error),
    /// The settings file is wrong.
    #[error("the settings file `{0}`: {1}")]
    Settings(PathBuf, #[source] SettingsError),
    /// Something of the operating system's isn't to be had.
    #[error("{0}")]
    System(#[from] std::io::Error),
}

/// Runs the process that a settings file describes until it is told to stop.
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
    let settings = read(&path)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = LocalSet::new();
    let ended = local.block_on(&runtime, main(path, settings));
    // What still waits, such as a long call to the store, has nobody left to answer to.
    runtime.shutdown_background();
    ended
}

fn read(path: &PathBuf) -> Result<Settings, StartError> {
    let text = std::fs::read_to_string(path).map_err(|e| StartError::File(path.clone(), e))?;
    parse_settings(&text).map_err(|e| StartError::Settings(path.clone(), e))
}

async fn main(path: PathBuf, settings: Settings) -> Result<(), StartError> {
    let term = signal(SignalKind::terminate())?;
    let int = signal(SignalKind::interrupt())?;
    let hup = signal(SignalKind::hangup())?;
    let role = settings.role;
    log::started(&settings);
    let (listener, socket) = wire::bind_both(settings.peer).await?;
    let settings = Settings {
        peer: listener.local_addr()?,
        ..settings
    };
    let node: SharedNode = Rc::new(Node::new(settings));
    meter::serve(&node).await?;
    tokio::task::spawn_local(reload(Rc::clone(&node), path, hup));
    tokio::task::spawn_local(follow::follow_operator_rows(Rc::clone(&node)));
    tokio::task::spawn_local(follow::follow_members(Rc::clone(&node)));
    tokio::task::spawn_local(peer::query_while_store_is_lost(Rc::clone(&node)));
    peer::serve(&node, listener);
    let stop = stopped(term, int);
    match role {
        Role::Entry => entry::run(node, socket, stop).await?,
        Role::Sidecar => sidecar::run(node, socket, stop).await?,
    }
    log::stopped();
    Ok(())
}

async fn stopped(mut term: Signal, mut int: Signal) -> Instant {
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    log::stopping();
    Instant::now()
}

/// Takes over changed settings; a file that can't be read leaves the ones in force.
async fn reload(node: SharedNode, path: PathBuf, mut hup: Signal) {
    loop {
        let asked = tokio::time::timeout(RELOOK, hup.recv()).await.is_ok();
        match read(&path) {
            Ok(new) => {
                // The addresses that are bound stay as they are until the process starts again.
                let mut settings = node.settings.borrow_mut();
                let changed = Settings {
                    peer: settings.peer,
                    ..new
                };
                if asked || changed != *settings {
                    log::reloaded(asked);
                }
                *settings = changed;
            }
            Err(e) => log::not_reloaded(&e.to_string()),
        }
    }
}
