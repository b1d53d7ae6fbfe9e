//! The account as the tasks that serve connections share it.
//!
//! [`Callers`] is the handle of all, [`Connection`] that of one connection, and a [`Charge`] holds bytes for as
//! long as it exists. [`Connection::subscribe`] and [`Connection::evicted`] report that it has to be closed.

use std::net::IpAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use model::Micros;
use slotmap::SecondaryMap;
use thiserror::Error;
use tokio::sync::watch;

use crate::account::{Account, ConnKey, Decision, Kind, Phase, Timeouts, Usage};
use crate::config::Config;
use crate::meter;

/// There is no room for more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("too much is held for callers")]
pub struct Full;

/// Why a connection has to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Others need what it holds.
    Evicted,
    /// Its time has run out.
    Late,
    /// The process stops.
    Stopping,
}

/// The decision to close a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Close {
    /// Why.
    pub cause: Cause,
    /// Phase of the connection at the decision.
    pub phase: Phase,
}

impl Close {
    fn is_eviction(self) -> bool {
        self.cause != Cause::Stopping
    }
}

impl Cause {
    fn name(self) -> &'static str {
        match self {
            Self::Evicted => "evicted",
            Self::Late => "late",
            Self::Stopping => "stopping",
        }
    }
}

/// How many connections were closed or refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Closed {
    /// Closed for others.
    pub evicted: usize,
    /// Closed as their time had run out.
    pub late: usize,
    /// Closed as their caller had vanished.
    pub vanished: usize,
    /// Connections and requests that were refused.
    pub refused: usize,
}

#[derive(Debug)]
struct State {
    account: Account,
    closers: SecondaryMap<ConnKey, watch::Sender<Option<Close>>>,
    closed: Closed,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    started: Instant,
}

/// The connections of all callers.
#[derive(Clone, Debug)]
pub struct Callers(Arc<Shared>);

impl Callers {
    /// Creates an account without connections.
    pub fn new(config: Config) -> Self {
        Self(Arc::new(Shared {
            state: Mutex::new(State {
                account: Account::new(config),
                closers: SecondaryMap::new(),
                closed: Closed::default(),
            }),
            started: Instant::now(),
        }))
    }

    fn now(&self) -> Micros {
        self.0.started.elapsed().into()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Limits of the account.
    pub fn config(&self) -> Config {
        *self.lock().account.config()
    }

    /// Opens a connection, if need be in place of others.
    ///
    /// # Errors
    ///
    /// If there are too many, and none may be closed.
    pub fn open(&self, address: IpAddr) -> Result<Connection, Full> {
        let now = self.now();
        let mut state = self.lock();
        match state.account.open(now, address) {
            Decision::Granted(key, closed) => {
                state.close(&closed, Cause::Evicted);
                let close = watch::Sender::new(None);
                state.closers.insert(key, close.clone());
                drop(state);
                Ok(Connection(Arc::new(Open {
                    callers: self.clone(),
                    key,
                    close,
                    patience_ms: AtomicU64::new(0),
                    blocked: Mutex::default(),
                })))
            }
            Decision::Refused => {
                state.refuse();
                Err(Full)
            }
        }
    }

    /// Closes the connection that is first in order, if there is one, as the kernel has no descriptor left.
    pub fn close_worst(&self) {
        let now = self.now();
        let mut state = self.lock();
        let closed = state.account.close_worst(now, 1);
        state.close(&closed, Cause::Evicted);
    }

    /// Closes connections whose time has run out, and those beyond the kernel's limit of descriptors.
    pub fn check(&self, timeouts: Timeouts) {
        let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        let now = self.now();
        let mut state = self.lock();
        let late = state.account.overdue(now, timeouts);
        state.close(&late, Cause::Late);
        let excess = state.account.set_kernel_limit(now, limit);
        state.close(&excess, Cause::Evicted);
    }

    /// Closes all connections without a request, and the others after their answer. A connection that was
    /// opened less than `new_time` ago is given that for its first request.
    pub fn stop(&self, new_time: Duration) {
        let now = self.now();
        let mut state = self.lock();
        let open: Vec<_> = state.closers.keys().collect();
        for key in open {
            if state.account.may_stop(now, key, new_time.into()) {
                state.close(&[key], Cause::Stopping);
            }
        }
    }

    /// What is in use.
    pub fn usage(&self) -> Usage {
        self.lock().account.usage()
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.lock().closers.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// What was closed and refused since the last call.
    pub fn take_closed(&self) -> Closed {
        std::mem::take(&mut self.lock().closed)
    }
}

impl State {
    fn close(&mut self, keys: &[ConnKey], cause: Cause) {
        for key in keys {
            let (Some(close), Some(phase)) = (self.closers.get(*key), self.account.phase(*key))
            else {
                continue;
            };
            close.send_if_modified(|c| {
                let is_new = c.is_none_or(|c| c.cause == Cause::Stopping && cause != c.cause);
                if is_new {
                    *c = Some(Close { cause, phase });
                }
                is_new
            });
        }
        match cause {
            Cause::Evicted => self.closed.evicted += keys.len(),
            Cause::Late => self.closed.late += keys.len(),
            Cause::Stopping => return,
        }
        meter::count_closed(cause.name(), keys.len());
    }

    fn refuse(&mut self) {
        self.closed.refused += 1;
        meter::count_closed("refused", 1);
    }
}

#[derive(Debug)]
struct Open {
    callers: Callers,
    key: ConnKey,
    close: watch::Sender<Option<Close>>,
    /// How long the caller may leave its window closed, in milliseconds.
    patience_ms: AtomicU64,
    blocked: Mutex<Blocked>,
}

/// Times in which a caller has no room for what is sent.
#[derive(Clone, Copy, Debug, Default)]
struct Blocked {
    total: Micros,
    since: Option<Micros>,
}

impl Drop for Open {
    fn drop(&mut self) {
        let mut state = self.callers.lock();
        state.closers.remove(self.key);
        state.account.close(self.key);
    }
}

/// A caller's connection. It leaves the account when the last handle of it is dropped.
#[derive(Clone, Debug)]
pub struct Connection(Arc<Open>);

impl Connection {
    /// Follows whether the connection has to be closed.
    pub fn subscribe(&self) -> watch::Receiver<Option<Close>> {
        self.0.close.subscribe()
    }

    /// Waits until the connection is closed for others or because its time has run out.
    pub async fn evicted(&self) {
        let mut close = self.subscribe();
        // The sender lives as long as this handle.
        let _ = close.wait_for(|c| c.is_some_and(Close::is_eviction)).await;
    }

    /// Whether the connection is closed for others or because its time has run out.
    pub fn is_evicted(&self) -> bool {
        self.0.close.borrow().is_some_and(Close::is_eviction)
    }

    /// Whether so much is held for callers that the connection is to be closed after its answer.
    pub fn is_pressed(&self) -> bool {
        self.with(|a, _, _| a.is_pressed())
    }

    /// Takes back the decision to close the connection.
    pub fn keep(&self) {
        self.with(|a, _, key| a.keep(key));
        self.0.close.send_if_modified(|c| c.take().is_some());
    }

    /// Keeps the connection for as long as its caller waits, although its window may be closed, if the kernel
    /// doesn't tell whether the caller acknowledges.
    pub fn keep_for(&self, wait: Duration) {
        let Config {
            unacked, unread, ..
        } = self.0.callers.config();
        let patience = wait.saturating_add(unacked).min(unread);
        let ms = u64::try_from(patience.as_millis()).unwrap_or(u64::MAX);
        self.0.patience_ms.fetch_max(ms, Ordering::Relaxed);
    }

    /// For how long the caller has had no room for what was sent to it, since the connection was opened.
    pub fn blocked_time(&self) -> Micros {
        let blocked = *self.blocked();
        let current = blocked.since.map(|s| self.0.callers.now().since(s));
        blocked.total + current.unwrap_or_default()
    }

    /// Records whether the caller has room.
    pub(crate) fn set_blocked(&self, is_blocked: bool) {
        let now = self.0.callers.now();
        let mut blocked = self.blocked();
        match (blocked.since, is_blocked) {
            (None, true) => blocked.since = Some(now),
            (Some(since), false) => {
                blocked.total = blocked.total + now.since(since);
                blocked.since = None;
            }
            (None, false) | (Some(_), true) => {}
        }
    }

    fn blocked(&self) -> MutexGuard<'_, Blocked> {
        self.0
            .blocked
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn patience(&self) -> Duration {
        Duration::from_millis(self.0.patience_ms.load(Ordering::Relaxed))
    }

    fn with<T>(&self, f: impl FnOnce(&mut Account, Micros, ConnKey) -> T) -> T {
        let now = self.0.callers.now();
        f(&mut self.0.callers.lock().account, now, self.0.key)
    }

    /// Phase of the connection.
    pub fn phase(&self) -> Phase {
        self.with(|a, _, key| a.phase(key)).unwrap_or(Phase::Idle)
    }

    /// Whether a request is in progress whose answer hasn't ended.
    pub fn is_serving(&self) -> bool {
        self.with(|a, _, key| a.is_serving(key))
    }

    /// Begins a phase.
    pub fn set_phase(&self, phase: Phase) {
        self.with(|a, now, key| a.set_phase(now, key, phase));
    }

    /// Records that an answer has ended.
    pub fn set_answered(&self) {
        self.with(|a, now, key| a.set_answered(now, key));
    }

    /// Records the team of the request.
    pub fn set_team(&self, team: Option<&str>) {
        self.with(|a, _, key| a.set_team(key, team));
    }

    pub(crate) fn record_acked(&self, progress: bool, unsent: bool) {
        self.with(|a, now, key| a.record_acked(now, key, progress, unsent));
    }

    /// How long the far end may acknowledge nothing.
    pub fn unacked(&self) -> Duration {
        self.0.callers.config().unacked
    }

    /// Limits of the far end of the connection.
    pub(crate) fn liveness(&self) -> tcp::Config {
        tcp::Config {
            unacked: self.unacked(),
            ..tcp::Config::default()
        }
    }

    /// Records that the caller has vanished.
    pub(crate) fn record_vanished(&self) {
        self.0.callers.lock().closed.vanished += 1;
        meter::count_closed("vanished", 1);
    }

    pub(crate) fn record(&self, received: bool, bytes: usize) {
        self.with(|a, now, key| a.record(now, key, received, bytes));
    }

    pub(crate) fn record_blocked(&self) {
        self.with(|a, now, key| a.record_blocked(now, key));
    }

    /// Bytes for the state of a request.
    ///
    /// # Errors
    ///
    /// If there is no room for them.
    pub fn charge_request(&self) -> Result<Charge, Full> {
        let bytes = self.0.callers.config().request_bytes;
        let mut charge = self.charge(Kind::State);
        match charge.grow(bytes) {
            true => Ok(charge),
            false => Err(Full),
        }
    }

    /// Bytes for a body, none of them yet.
    pub fn charge_content(&self) -> Charge {
        self.charge(Kind::Content)
    }

    fn charge(&self, kind: Kind) -> Charge {
        Charge {
            conn: self.clone(),
            kind,
            bytes: 0,
        }
    }

    /// Counts what is read ahead of a caller that doesn't read.
    pub fn charge_unread(&self) -> Charge {
        let callers = &self.0.callers;
        let now = callers.now();
        let mut state = callers.lock();
        let bytes = state.account.config().unread_bytes;
        let closed = state.account.force(now, self.0.key, bytes);
        state.close(&closed, Cause::Evicted);
        drop(state);
        Charge {
            conn: self.clone(),
            kind: Kind::State,
            bytes,
        }
    }
}

/// Bytes held for a connection. Dropping the value returns them.
#[derive(Debug)]
pub struct Charge {
    conn: Connection,
    kind: Kind,
    bytes: usize,
}

impl Charge {
    /// Makes it this many bytes at least, if need be in place of others' connections; returns whether there is room.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        if more == 0 {
            return true;
        }
        let callers = &self.conn.0.callers;
        let now = callers.now();
        let mut state = callers.lock();
        match state.account.take(now, self.conn.0.key, self.kind, more) {
            Decision::Granted((), closed) => {
                state.close(&closed, Cause::Evicted);
                self.bytes = bytes;
                true
            }
            Decision::Refused => {
                state.refuse();
                false
            }
        }
    }

    /// Makes it this many bytes at most.
    pub fn shrink(&mut self, bytes: usize) {
        let less = self.bytes.saturating_sub(bytes);
        if less > 0 {
            self.conn
                .with(|a, _, key| a.give_back(key, self.kind, less));
            self.bytes = bytes;
        }
    }

    /// Keeps the charge for as long as the bytes of a body are in use.
    pub fn hold(self, bytes: Bytes) -> Bytes {
        match self.bytes {
            0 => bytes,
            _ => Bytes::from_owner(HeldBytes {
                bytes,
                _charge: self,
            }),
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.shrink(0);
    }
}

/// A body with its charge.
struct HeldBytes {
    bytes: Bytes,
    _charge: Charge,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
