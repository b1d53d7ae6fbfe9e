//! The agent of an engine: it follows the engine's state, orders it to load weights, and reports on
//! it to entries and other agents.
//!
//! Usually the agent is the sidecar on the engine's host ([`crate::sidecar`]), which reads the
//! engine's report continuously. An engine without a sidecar has an entry as its delegate
//! (`entry::delegate`). Reports cost a remote engine time, so a delegate reads one only if an order
//! depends on it.
//!
//! Orders of two agents never follow one another within a lease ([`policy::holder`]). An agent
//! keeps no state over a restart; its fencing token rises nevertheless, because it is derived from
//! the store's monotonic clock.

mod relay;
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
use crate::speed::AgentSpeed;
use crate::update::{HeldPart, PromptNote, Update};
use weights::Rollout;

pub(crate) use report::{all_entries, current_update, send_all_parts};
pub(crate) use run::{follow_cache, run};
pub(crate) use weights::answer_slot_query;

/// Timeout of an agent's calls to its engine.
pub(crate) const ENGINE_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval at which a delegate reads the report of an engine that may be gone.
const REREAD_INTERVAL: Micros = Micros::from_millis(500);
/// Age up to which a delegate uses a report for an order.
const MAX_REPORT_AGE: Micros = Micros::from_millis(150);
/// Time after its start during which a sidecar reports to all entries; each entry that needs its
/// updates subscribes within that time.
const STARTUP_PERIOD: Micros = Micros(2 * subscription::RENEW_INTERVAL.0);

/// Identifies an agent to other processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct AgentId {
    /// Address of the agent's process.
    pub(crate) addr: SocketAddr,
    /// Key of a delegate's engine; 0 for a sidecar, which has only one engine.
    pub(crate) delegate: u64,
}

/// Kind of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// The process on the engine's host.
    Sidecar,
    /// An entry that acts in place of a sidecar.
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
    /// Address of the engine.
    pub(crate) addr: SocketAddr,
    /// Last report of the engine; `None` once the engine has ended.
    pub(crate) report: Option<Report>,
    /// When the report was last requested, successfully or not.
    report_read_at: Micros,
    /// Whether the last request for the report succeeded.
    pub(crate) alive: bool,
    /// Whether the engine refused the last connection, which means that its process has ended.
    ended: bool,
    /// Whether the engine's cache events can't be read; its report then has to show whether it
    /// still runs.
    events_failed: bool,
    /// Incarnation of the engine, if known.
    pub(crate) boot: Option<Boot>,
    /// Previous incarnation of the engine, if known.
    previous: Option<Boot>,
    /// Incarnation that the engine has last denied to be.
    denied: Option<Boot>,
    /// When the engine last became reachable.
    alive_since: Micros,
    /// Parts in the engine's cache.
    cache: Cache,
    /// Changes of the cache that haven't been sent to the entries yet.
    part_changes: Vec<HeldPart>,
    /// State of weight loads.
    rollout: Rollout,
    /// Prompts that the engine hasn't read yet.
    pub(crate) backlog: Backlog,
    /// The speed of the engine's incarnation.
    speed: AgentSpeed,
    /// The entries that the agent reports to.
    pub(crate) subscribers: Subscribers,
}

/// An agent that the tasks of its process share.
pub(crate) type SharedAgent = Rc<RefCell<Agent>>;

impl Agent {
    /// Creates the agent on the engine's host.
    pub(crate) fn sidecar(addr: SocketAddr, lease: Micros) -> Self {
        Self {
            kind: Kind::Sidecar,
            addr,
            report: None,
            report_read_at: Micros::ZERO,
            alive: false,
            ended: false,
            events_failed: false,
            boot: None,
            previous: None,
            denied: None,
            alive_since: Micros::ZERO,
            cache: Cache::default(),
            part_changes: Vec::new(),
            rollout: Rollout::new(Holder::new(lease)),
            backlog: Backlog::default(),
            speed: AgentSpeed::default(),
            subscribers: Subscribers::default(),
        }
    }

    /// Creates the agent of one incarnation of an engine on another host.
    pub(crate) fn delegate(addr: SocketAddr, boot: Boot, lease: Micros) -> Self {
        Self {
            kind: Kind::Delegate,
            boot: Some(boot),
            ..Self::sidecar(addr, lease)
        }
    }

    /// The value of [`AgentId::delegate`] for this agent.
    pub(crate) fn id(&self) -> u64 {
        match self.kind {
            Kind::Sidecar => 0,
            Kind::Delegate => engine_key(self.addr),
        }
    }

    /// Records the engine's incarnation as an entry has read it from the list of targets. The entry's
    /// list may be out of date: an incarnation that has ended, or that the engine has denied to be, is
    /// ignored.
    pub(crate) fn identify(&mut self, boot: Boot) {
        let report = self.report.as_ref();
        let reported = report.and_then(|r| r.born).unwrap_or(boot.born);
        let outdated = boot.born != 0 && boot.born != reported;
        let ruled_out = [&self.previous, &self.denied].contains(&&Some(boot.clone()));
        if !outdated && !ruled_out {
            self.boot = Some(boot);
        }
    }

    /// Records that the engine isn't the incarnation that an order was sent to, and which id it states.
    fn record_misdirected(&mut self, id: Option<String>) {
        self.denied = self.boot.take().or(self.denied.take());
        let born = self.report.as_ref().and_then(|r| r.born).unwrap_or(0);
        // A delegate's engine is the listed one; another engine at its address has another delegate.
        self.boot = id
            .filter(|_| self.kind == Kind::Sidecar)
            .map(|id| Boot { id, born });
    }

    /// Whether entries have to be queried for the engine's incarnation.
    pub(crate) fn needs_identity(&self) -> bool {
        self.alive && self.boot.is_none() && self.report.is_some()
    }

    /// Records that the whole system starts for the first time.
    pub(crate) fn record_first_start(&mut self) {
        self.rollout.holder().record_first_start();
    }

    /// Whether another process may have ordered the engine before this one started.
    pub(crate) fn has_unknown_orders(&mut self, now: Micros) -> bool {
        self.alive && self.rollout.holder().has_unknown_orders(now)
    }

    /// Records for how long no delegate has acted for the engine.
    pub(crate) fn record_quiet(&mut self, now: Micros, quiet: Micros) {
        self.rollout.holder().record_quiet(now, quiet);
    }

    /// Records an entry's note on a prompt that it has sent to the engine.
    pub(crate) fn record_prompt(&mut self, now: Micros, note: PromptNote) {
        if let Some(speed) = &note.speed {
            let alone = self.backlog.was_alone(note.request);
            self.speed.record(now, speed, alone);
        }
        match note.tokens {
            Some(tokens) => self.backlog.add(now, note.request, tokens),
            None => self.backlog.remove(note.request),
        }
    }

    /// Records another agent's update.
    pub(crate) fn receive(&mut self, now: Micros, update: &Update, from: AgentId) {
        if update.engine == self.addr.to_string() {
            return self.rollout.receive_other_holder(now, update);
        }
        self.rollout.receive(now, update, from);
    }

    /// When the agent last ordered its engine, and its fencing token.
    pub(crate) fn last_order(&self) -> Option<(Micros, u64)> {
        self.rollout.last_order()
    }

    /// Whether to read the engine's report now. A sidecar reads it continuously. A delegate's reads
    /// cost the engine time, so a delegate reads the report only to get the weights and the number
    /// of orders at first, before an order, at the end of a load, and while the engine may be gone.
    fn needs_report(&self, now: Micros) -> bool {
        let age = now.since(self.report_read_at);
        match (self.kind, &self.report) {
            (Kind::Sidecar, _) => true,
            (_, None) => self.report_read_at == Micros::ZERO || age >= REREAD_INTERVAL,
            _ if self.events_failed => age >= REREAD_INTERVAL,
            _ => self.rollout.needs_report(now) && age >= MAX_REPORT_AGE,
        }
    }

    /// Updates the engine's incarnation from its report. An engine may restart under its id, and may
    /// state its start but not its id.
    fn record_incarnation(&mut self, report: &Report) {
        let started = |b: &Boot| report.born.is_none_or(|at| b.born == 0 || b.born == at);
        if self.boot.as_ref().is_some_and(|b| !started(b)) {
            self.previous = self.boot.take();
            self.speed = AgentSpeed::default();
        }
        if let (Some(id), Some(born)) = (&report.id, report.born) {
            self.boot = Some(Boot {
                id: id.clone(),
                born,
            });
        }
    }

    /// Records the engine's report, or the failure to read it.
    fn record_report(&mut self, now: Micros, report: Result<Report, EngineError>) {
        if report.is_ok() && !self.alive {
            self.alive_since = now;
        }
        self.report_read_at = now;
        self.alive = report.is_ok();
        self.ended = report
            .as_ref()
            .is_err_and(EngineError::is_connection_refused);
        if self.ended {
            // The next incarnation shares no state with this one.
            self.report = None;
            self.speed = AgentSpeed::default();
            self.previous = self.boot.take().or(self.previous.take());
        }
        if let Ok(report) = report {
            self.record_incarnation(&report);
            self.rollout.update_order_count(now, report.seq);
            self.report = Some(report);
        }
    }
}

/// Hash of an engine's address, which identifies the engine to other processes.
pub(crate) fn engine_key(addr: SocketAddr) -> u64 {
    xxh3_64(addr.to_string().as_bytes())
}

/// References that the functions of an agent need.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Env<'a> {
    pub(crate) node: &'a SharedNode,
    pub(crate) agent: &'a SharedAgent,
    pub(crate) socket: &'a UdpSocket,
}
