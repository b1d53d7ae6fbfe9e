//! Exchanges on the peer port: entries open, resume and join them here.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use exchange::{Exchange, IncarnationMatch, Lookup, NotRun, Registry, ReplayError, Token};
use model::{Code, Micros};
use tokio::time::{interval, timeout};
use wire::{Accepted, Beat, Body, Fail, Open, Resume, Rx, Tx, WireError};

use crate::clock;
use crate::peer::ExchangeHandler;
use crate::sidecar::active_exchange::{refuse, ActiveExchange, Cursor};
use crate::sidecar::control_channel::ControlMessage;
use crate::sidecar::run::{self, Context};

/// Interval between the beats of an exchange without data; entries wait four times as long.
pub const BEAT_INTERVAL: Duration = Duration::from_millis(500);
/// How long an ended exchange is kept for an entry that lost its connection, or for a second
/// attempt with the same idempotency key.
const KEEP_ENDED: Duration = Duration::from_secs(30);
/// How long an idempotent exchange continues without a connection.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(10);

/// All exchanges of this process.
#[derive(Debug, Default)]
pub struct Exchanges(Mutex<Registry<Arc<ActiveExchange>>>);

impl Exchanges {
    /// Locks the registry.
    pub fn lock(&self) -> MutexGuard<'_, Registry<Arc<ActiveExchange>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ExchangeHandler for Context {
    async fn exchange(
        self: &Arc<Self>,
        body: Body,
        tx: &mut Tx,
        rx: &mut Rx,
    ) -> Result<(), WireError> {
        match body {
            Body::Open(o) => open_exchange(self, o, tx, rx).await,
            Body::Resume(r) => resume(self, r, tx, rx).await,
            _ => Err(WireError::Unexpected),
        }
    }
}

async fn open_exchange(
    cx: &Arc<Context>,
    open: Open,
    tx: &mut Tx,
    rx: &mut Rx,
) -> Result<(), WireError> {
    let matched = IncarnationMatch::compare(open.incarnation, cx.incarnation);
    let token = Token(open.token.clone());
    let active = ActiveExchange::new(!open.key.is_empty());
    let make = || Arc::clone(&active);
    let found = cx.exchanges.lock().open(matched, token.clone(), make);
    let active = match found {
        Lookup::New => {
            tokio::spawn(lifetime(Arc::clone(cx), open, Arc::clone(&active)));
            active
        }
        Lookup::Active(active) => active,
        Lookup::Voided => return send_refusal(tx, Code::Cancelled).await,
        // This incarnation has never received the request.
        Lookup::OtherIncarnation => return send_refusal(tx, Code::NoTarget).await,
        Lookup::Ended => return send_lost(tx).await,
    };
    send_frames(cx, &token, &active, 0, tx, rx).await
}

async fn resume(cx: &Arc<Context>, r: Resume, tx: &mut Tx, rx: &mut Rx) -> Result<(), WireError> {
    let matched = IncarnationMatch::compare(r.incarnation, cx.incarnation);
    let token = Token(r.token);
    let now = clock::now();
    let found = cx.exchanges.lock().resume(now, matched, token.clone());
    match found {
        Lookup::Active(active) => {
            // Confirmations sent on the broken connection may be lost, and the answer may be
            // waiting for them.
            active.confirm(r.next);
            send_frames(cx, &token, &active, r.next, tx, rx).await
        }
        Lookup::Voided | Lookup::New => send_refusal(tx, Code::NoTarget).await,
        Lookup::Ended | Lookup::OtherIncarnation => send_lost(tx).await,
    }
}

/// Sends the available frames and those that follow, until the last frame or an error.
async fn send_frames(
    cx: &Context,
    token: &Token,
    active: &Arc<ActiveExchange>,
    next_seq: u64,
    tx: &mut Tx,
    rx: &mut Rx,
) -> Result<(), WireError> {
    let _attachment = active.attach();
    let mut changed = active.subscribe();
    let mut beat_timer = interval(BEAT_INTERVAL);
    let mut cursor = Cursor {
        head_sent: false,
        next_seq,
    };
    tx.send(Accepted {
        incarnation: cx.incarnation,
        token: token.0.clone(),
    })
    .await?;
    loop {
        loop {
            let (body, end) = match active.next_frame(&mut cursor) {
                Ok(Some(next)) => next,
                Ok(None) => break,
                // Another connection confirmed the chunk and it was dropped. If this connection
                // were only closed, the entry would request the chunk again and again.
                Err(ReplayError::Gone(_)) => return send_lost(tx).await,
                Err(ReplayError::Ahead(_)) => return Err(WireError::Unexpected),
            };
            tx.feed(body).await?;
            if end {
                tx.flush().await?;
                active.mark_delivered();
                return Ok(());
            }
        }
        tx.flush().await?;
        tokio::select! {
            _ = changed.changed() => {}
            _ = beat_timer.tick() => tx.send(Beat {}).await?,
            body = rx.next() => match body? {
                Body::Ack(a) => active.confirm(a.next),
                Body::Cancel(_) => active.cancel.cancel(),
                _ => return Err(WireError::Unexpected),
            },
        }
    }
}

/// Runs an exchange and keeps it for a while after its end.
async fn lifetime(cx: Arc<Context>, open: Open, active: Arc<ActiveExchange>) {
    cx.control.send(ControlMessage::ExchangeStarted);
    let token = Token(open.token.clone());
    let idempotent = open.idempotent;
    let running = run::run(&cx, open, &active);
    tokio::pin!(running);
    let mut check = interval(ORPHAN_TIMEOUT / 4);
    let mut orphaned_since = Micros::MAX;
    loop {
        tokio::select! {
            () = &mut running => break,
            _ = check.tick() => {}
        }
        // An entry that has crashed can't cancel. Without this check its requests would hold the
        // target's slots until answers are computed that no caller receives.
        match active.is_orphaned() {
            false => orphaned_since = Micros::MAX,
            true if orphaned_since == Micros::MAX => orphaned_since = clock::now(),
            true if clock::now().since(orphaned_since) <= Micros::from(ORPHAN_TIMEOUT) => {}
            true if idempotent => active.cancel.cancel(),
            // A request that isn't idempotent isn't cancelled. No entry confirms the rest of a
            // large answer any more, so without this its slot would never be freed.
            true => active.confirm(u64::MAX),
        }
    }
    // At a planned stop the process waits until the entry has received the answer.
    let _ = timeout(ORPHAN_TIMEOUT, active.until_delivered()).await;
    cx.control.send(ControlMessage::ExchangeEnded);
    let ran = active.ran().unwrap_or(true);
    if ran {
        tokio::time::sleep(KEEP_ENDED).await;
    }
    let mut registry = cx.exchanges.lock();
    registry.close(clock::now(), &token, ran);
    registry.expire(clock::now());
}

async fn send_refusal(tx: &mut Tx, code: Code) -> Result<(), WireError> {
    let n: NotRun = Exchange::new().refuse(code, None);
    tx.send(refuse(&n, None)).await
}

async fn send_lost(tx: &mut Tx) -> Result<(), WireError> {
    tx.send(Fail {
        code: Code::TargetLost.number(),
        known: false,
        crashed: false,
        crash: 0,
    })
    .await
}
