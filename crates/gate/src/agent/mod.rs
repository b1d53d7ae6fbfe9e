//! The agent of an engine: it follows the engine, orders its weights and reports on it.
//!
//! Usually the agent is the sidecar on the engine's host ([`crate::sidecar`]), which reads the
//! engine's report all the time. For an engine without one an entry is its delegate
//! (`entry::delegate`): reports of a remote engine cost it time, so a delegate reads one only where
//! an order depends on it.
//!
//! Orders of two agents never follow one another within a lease ([`policy::holder`]). Over
//! restarts, which leave an agent nothing, its fencing token rises because it is the time of the
//! store's steady clock.

mod report;
mod run;
mod weights;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use model::Micros;
use platform::replica::EngineError;
use policy::backlog::Backlog;
use policy::holder::Holder;
use policy::subscription::{self, Subscribers};
use site::{Boot, Report};
use tokio::net::UdpSocket;
use xxhash_rust::xxh3::xxh3_64;

use crate::cache::Cache;
use crate::node::SharedNode;
use crate::update::{HeldPart, PromptNote, Update};
use weights::Rollout;

pub(crate) use report::{all_entries, send_whole, summary};
pub(crate) use run::{follow_cache, run};
pub(crate) use weights::answer_slot_query;

/// How long the engine may take to answer its own calls.
pub(crate) const PATIENCE: Duration = Duration::from_millis(250);
/// Pause of a delegate before it reads the report of an engine again that may not be there.
const REREAD: Micros = Micros::from_millis(500);
/// Age up to which a report that a delegate has read is good enough for an order.
const AHEAD: Micros = Micros::from_millis(150);
/// How long after its start a sidecar reports to all entries; each that uses it subscribes within
/// that.
const STARTED: Micros = Micros(2 * subscription::RENEW_INTERVAL.0);

/// An agent, as other processes address it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct AgentId {
    /// Where its process is reached.
    pub(crate) addr: SocketAddr,
    /// Key of its engine if it is a delegate; 0 for a sidecar, which has only one.
    pub(crate) delegate: u64,
}

/// What an agent is to its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// The process on its host.
    Sidecar,
    /// An entry that acts for the sidecar.
    Delegate,
}

impl Kind {
    fn as_str(self) -> &'static str {
        match self {
            Self::Sidecar => "sidecar",
            Self::Delegate => "delegate",
        }
    }
}

/// An agent's state.
#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) kind: Kind,
    /// Where the engine is reached.
    pub(crate) addr: SocketAddr,
    pub(crate) report: Option<Report>,
    /// When the report was read, or couldn't be.
    read: Micros,
    pub(crate) alive: bool,
    /// Whether nothing listens at its address.
    ended: bool,
    /// Whether its events can't be read, so that its report has to tell whether it is there.
    doubtful: bool,
    /// Which incarnation it is, and which one was there before it.
    pub(crate) boot: Option<Boot>,
    former: Option<Boot>,
    /// Since when it answers.
    since: Micros,
    cache: Cache,
    fresh: Vec<HeldPart>,
    /// New weights and slots to load them.
    rollout: Rollout,
    /// What it has yet to read.
    pub(crate) backlog: Backlog,
    /// The entries that it reports to.
    pub(crate) subscribers: Subscribers,
}

pub(crate) type SharedAgent = Rc<RefCell<Agent>>;

impl Agent {
    /// The agent on an engine's host.
    pub(crate) fn sidecar(addr: SocketAddr, lease: Micros) -> Self {
        Self {
            kind: Kind::Sidecar,
            addr,
            report: None,
            read: Micros::ZERO,
            alive: false,
            ended: false,
            doubtful: false,
            boot: None,
            former: None,
            since: Micros::ZERO,
            cache: Cache::default(),
            fresh: Vec::new(),
            rollout: Rollout::new(Holder::new(lease)),
            backlog: Backlog::default(),
            subscribers: Subscribers::default(),
        }
    }

    /// An agent for an incarnation of an engine on another host.
    pub(crate) fn delegate(addr: SocketAddr, boot: Boot, lease: Micros) -> Self {
        Self {
            kind: Kind::Delegate,
            boot: Some(boot),
            ..Self::sidecar(addr, lease)
        }
    }

    /// Its id for other processes, without their way to it.
    pub(crate) fn id(&self) -> u64 {
        match self.kind {
            Kind::Sidecar => 0,
            Kind::Delegate => engine_key(self.addr),
        }
    }

    /// Takes over which incarnation the engine is. An entry that hasn't read the list since the
    /// former one ended still names that one.
    pub(crate) fn identify(&mut self, boot: Boot) {
        if self.former.as_ref() != Some(&boot) {
            self.boot = Some(boot);
        }
    }

    /// Whether its engine has to be asked which incarnation it is.
    pub(crate) fn needs_identity(&self) -> bool {
        let unnamed = |r: &Report| r.boot.is_none();
        self.alive && self.boot.is_none() && self.report.as_ref().is_some_and(unnamed)
    }

    /// Takes over that the whole system starts for the first time.
    pub(crate) fn record_first_start(&mut self) {
        self.rollout.holder().record_first_start();
    }

    /// Whether another process may have ordered the engine before this one started.
    pub(crate) fn has_unknown_orders(&mut self, now: Micros) -> bool {
        self.alive && self.rollout.holder().has_unknown_orders(now)
    }

    /// Takes over how long no delegate has acted for the engine.
    pub(crate) fn record_quiet(&mut self, now: Micros, quiet: Micros) {
        self.rollout.holder().record_quiet(now, quiet);
    }

    /// Takes over what an entry notes of a prompt.
    pub(crate) fn record_prompt(&mut self, now: Micros, note: PromptNote) {
        match note.tokens {
            Some(tokens) => self.backlog.add(now, note.request, tokens),
            None => self.backlog.remove(note.request),
        }
    }

    /// Takes over another agent's update.
    pub(crate) fn receive(&mut self, now: Micros, update: &Update, from: AgentId) {
        if update.engine == self.addr.to_string() {
            return self.rollout.receive_other_holder(now, update);
        }
        self.rollout.receive(now, update, from);
    }

    /// When it last ordered its engine, and with which fencing token.
    pub(crate) fn last_order(&self) -> Option<(Micros, u64)> {
        self.rollout.last_order()
    }

    /// Whether the engine's report is read now. A sidecar reads it all the time; a delegate, whose
    /// reads take the engine's time, to learn its weights and count of orders, before an order and
    /// at a load's end.
    fn needs_report(&self, now: Micros) -> bool {
        let age = now.since(self.read);
        match (self.kind, &self.report) {
            (Kind::Sidecar, _) => true,
            (_, None) => self.read == Micros::ZERO || age >= REREAD,
            _ if self.doubtful => age >= REREAD,
            _ => self.rollout.needs_report(now) && age >= AHEAD,
        }
    }

    /// Takes over a report, or that there was none.
    fn record_report(&mut self, now: Micros, report: Result<Report, EngineError>) {
        if report.is_ok() && !self.alive {
            self.since = now;
        }
        self.read = now;
        self.alive = report.is_ok();
        self.ended = report
            .as_ref()
            .is_err_and(EngineError::is_connection_refused);
        if self.ended {
            // Another will be there; nothing that is known of this one holds for it.
            self.report = None;
            self.former = self.boot.take().or(self.former.take());
        }
        if let Ok(report) = report {
            self.rollout.update_order_count(now, report.seq);
            self.report = Some(report);
        }
    }
}

/// Key of an engine's address.
pub(crate) fn engine_key(addr: SocketAddr) -> u64 {
    xxh3_64(addr.to_string().as_bytes())
}

/// What an agent needs of its process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Env<'a> {
    pub(crate) node: &'a SharedNode,
    pub(crate) agent: &'a SharedAgent,
    pub(crate) socket: &'a UdpSocket,
}
