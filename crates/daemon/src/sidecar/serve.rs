//! Exchanges on the peer port: entries open, resume and join them here.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use exchange::{Exchange, IncarnationMatch, Lookup, NotRun, Registry, ReplayError, Token};
use model::{Code, Micros};
use tokio::time::{interval, timeout};
use wire::{Accepted, Beat, Body, Fail, Open, Resume, Rx, Tx, WireError};

use crate::clock;
use crate::peer::ExchangeHandler;
use crate::sidecar::ask::Ask;
use crate::sidecar::live::{refuse, Cursor, Live};
use crate::sidecar::run::{self, Context};

/// How often a silent exchange says that it lives; entries wait four times as long.
pub const BEAT: Duration = Duration::from_millis(500);
/// How long an ended exchange is kept for an entry that lost its connection, or for a second
/// attempt with the same idempotency key.
const KEEP: Duration = Duration::from_secs(30);
/// How long an idempotent exchange runs on without a connection.
const ORPHAN: Duration = Duration::from_secs(10);

/// All exchanges of this process.
#[derive(Debug, Default)]
pub struct Exchanges(Mutex<Registry<Arc<Live>>>);

impl Exchanges {
    /// The registry, locked.
    pub fn lock(&self) -> MutexGuard<'_, Registry<Arc<Live>>> {
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
            Body::Open(o) => open(self, o, tx, rx).await,
            Body::Resume(r) => resume(self, r, tx, rx).await,
            _ => Err(WireError::Unexpected),
        }
    }
}

async fn open(cx: &Arc<Context>, o: Open, tx: &mut Tx, rx: &mut Rx) -> Result<(), WireError> {
    let meant = IncarnationMatch::compare(o.incarnation, cx.life);
    let token = Token(o.token.clone());
    let live = Live::new(!o.key.is_empty());
    let fresh = || Arc::clone(&live);
    let seen = cx.exchanges.lock().open(meant, token.clone(), fresh);
    let live = match seen {
        Lookup::New => {
            tokio::spawn(lifetime(Arc::clone(cx), o, Arc::clone(&live)));
            live
        }
        Lookup::Active(l) => l,
        Lookup::Voided => return refused(tx, Code::Cancelled).await,
        // This life has never seen it.
        Lookup::OtherIncarnation => return refused(tx, Code::NoTarget).await,
        Lookup::Ended => return lost(tx).await,
    };
    carry(cx, &token, &live, 0, tx, rx).await
}

async fn resume(cx: &Arc<Context>, r: Resume, tx: &mut Tx, rx: &mut Rx) -> Result<(), WireError> {
    let meant = IncarnationMatch::compare(r.incarnation, cx.life);
    let token = Token(r.token);
    let now = clock::now();
    let seen = cx.exchanges.lock().resume(now, meant, token.clone());
    match seen {
        Lookup::Active(l) => {
            // The broken connection may have held the confirmations that the source waits for.
            l.confirm(r.next);
            carry(cx, &token, &l, r.next, tx, rx).await
        }
        Lookup::Voided | Lookup::New => refused(tx, Code::NoTarget).await,
        Lookup::Ended | Lookup::OtherIncarnation => lost(tx).await,
    }
}

/// Sends what there is and what comes, until the last frame or a fault.
async fn carry(
    cx: &Context,
    token: &Token,
    live: &Arc<Live>,
    seq: u64,
    tx: &mut Tx,
    rx: &mut Rx,
) -> Result<(), WireError> {
    let _carrier = live.carry();
    let mut changed = live.watch();
    let mut beat = interval(BEAT);
    let mut at = Cursor { head: false, seq };
    tx.send(Accepted {
        incarnation: cx.life,
        token: token.0.clone(),
    })
    .await?;
    loop {
        loop {
            let (body, end) = match live.next(&mut at) {
                Ok(Some(next)) => next,
                Ok(None) => break,
                // Another reader had it and it was dropped. Were the connection just closed, the
                // entry would ask for it again and again.
                Err(ReplayError::Gone(_)) => return lost(tx).await,
                Err(ReplayError::Ahead(_)) => return Err(WireError::Unexpected),
            };
            tx.feed(body).await?;
            if end {
                tx.flush().await?;
                live.delivered();
                return Ok(());
            }
        }
        tx.flush().await?;
        tokio::select! {
            _ = changed.changed() => {}
            _ = beat.tick() => tx.send(Beat {}).await?,
            body = rx.next() => match body? {
                Body::Ack(a) => live.confirm(a.next),
                Body::Cancel(_) => live.cancel.cancel(),
                _ => return Err(WireError::Unexpected),
            },
        }
    }
}

/// Runs an exchange and keeps it for a while after its end.
async fn lifetime(cx: Arc<Context>, o: Open, live: Arc<Live>) {
    cx.control.send(Ask::Taken);
    let token = Token(o.token.clone());
    let idempotent = o.idempotent;
    let running = run::run(&cx, o, &live);
    tokio::pin!(running);
    let mut check = interval(ORPHAN / 4);
    let mut alone = Micros::MAX;
    loop {
        tokio::select! {
            () = &mut running => break,
            _ = check.tick() => {}
        }
        // An entry that died can't cancel; without this check its requests would hold the
        // target's slots until they are computed for nobody.
        match live.orphaned() {
            false => alone = Micros::MAX,
            true if alone == Micros::MAX => alone = clock::now(),
            true if clock::now().since(alone) <= Micros::from(ORPHAN) => {}
            true if idempotent => live.cancel.cancel(),
            // It isn't cut short, but nobody makes room for the rest of a large answer any more,
            // and its slot would never be free again.
            true => live.confirm(u64::MAX),
        }
    }
    // At a planned stop the process waits for the entry to have the answer.
    let _ = timeout(ORPHAN, live.until_delivered()).await;
    cx.control.send(Ask::Ended);
    let ran = live.ended().unwrap_or(true);
    if ran {
        tokio::time::sleep(KEEP).await;
    }
    let mut all = cx.exchanges.lock();
    all.close(clock::now(), &token, ran);
    all.expire(clock::now());
}

async fn refused(tx: &mut Tx, code: Code) -> Result<(), WireError> {
    let n: NotRun = Exchange::new().refuse(code, None);
    tx.send(refuse(&n, None)).await
}

async fn lost(tx: &mut Tx) -> Result<(), WireError> {
    tx.send(Fail {
        code: Code::TargetLost.number(),
        known: false,
        crashed: false,
        crash: 0,
    })
    .await
}
