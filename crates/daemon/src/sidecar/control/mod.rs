//! The control thread of a sidecar: scheduling, probes, membership and the planned stop.
//!
//! One loop waits for the first of several events (a message from the traffic threads, a probe, an
//! event of the membership, a timer) and then does all work that is due. The loop never waits for
//! the target or for a caller, because that would delay probes and heartbeats.

mod fleet;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use model::{Code, MemberId, Micros, Version};
use policy::drain::{self, Drain};
use policy::liveness::{Check, Liveness, State};
use policy::pool_peers::PoolPeers;
use prefix::Need;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};
use wire::{Keys, PACKET_MAX};

use crate::clock;
use crate::log;
use crate::membership::{self, LocalMember, Membership};
use crate::meter;
use crate::settings::{Settings, Sidecar};
use crate::sidecar::control_channel::{
    ControlEndpoint, ControlMessage, Grant, Health, TargetReport,
};
use crate::sidecar::crash_report_updates::CrashReportUpdates;
use crate::sidecar::scheduler::{EngineState, Refusal, Scheduler};
use crate::view::{self, SharedView, View};

/// Longest sleep of the control thread.
const MAX_SLEEP: Duration = Duration::from_millis(250);

/// Arguments of the control thread.
#[derive(Debug)]
pub struct Start {
    /// Settings of the process.
    pub settings: Settings,
    /// Settings of the role.
    pub role: Sidecar,
    /// This process as it joins the fleet.
    pub me: LocalMember,
    /// Socket for probes.
    pub probe_socket: std::net::UdpSocket,
    /// Socket for membership.
    pub gossip_socket: std::net::UdpSocket,
    /// Receives messages from the traffic threads.
    pub endpoint: ControlEndpoint,
    /// Where the view of the fleet is published.
    pub view: SharedView,
    /// Receives requests to the membership from other threads.
    pub member_requests: mpsc::UnboundedReceiver<membership::Command>,
    /// Sends requests to the membership.
    pub member_sender: membership::CommandSender,
}

/// Starts the control thread.
pub fn spawn(start: Start) -> io::Result<JoinHandle<io::Result<()>>> {
    let name = "control".to_owned();
    std::thread::Builder::new().name(name).spawn(move || {
        let run = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        run.block_on(control(start))
    })
}

async fn control(start: Start) -> io::Result<()> {
    let s = start;
    let udp = UdpSocket::from_std(s.probe_socket)?;
    let gossip = UdpSocket::from_std(s.gossip_socket)?;
    let incarnation = s.me.incarnation;
    let rank = view::rank(&s.role.pool, s.me.peer);
    let notice = s.settings.notice.into();
    let shared = Arc::clone(&s.view);
    let membership = Membership::new(&s.settings, s.me, gossip, shared, s.member_requests)?;
    let state = Control {
        keys: s.settings.keys.clone(),
        incarnation,
        scheduler: Scheduler::new(s.role.kind, s.role.slots, MemberId(incarnation)),
        liveness: Liveness::default(),
        drain: Drain::new(drain::Config { notice }, drain::Role::Sidecar),
        membership,
        endpoint: s.endpoint,
        crash_report_updates: CrashReportUpdates::new(s.member_sender.clone()),
        member_sender: s.member_sender,
        rng: SmallRng::from_os_rng(),
        pool: s.role.pool,
        quiesced: None,
        view: s.view,
        version: Version(0),
        rank,
        peers: PoolPeers::default(),
        last_view: Arc::default(),
    };
    state.run(udp).await;
    Ok(())
}

struct Control {
    keys: Keys,
    incarnation: u64,
    scheduler: Scheduler<Grant>,
    liveness: Liveness,
    drain: Drain,
    membership: Membership,
    member_sender: membership::CommandSender,
    endpoint: ControlEndpoint,
    /// Reports of requests that crashed the target, to be sent to the fleet.
    crash_report_updates: CrashReportUpdates,
    rng: SmallRng,
    pool: String,
    /// Notified once nothing runs at the target.
    quiesced: Option<oneshot::Sender<()>>,
    view: SharedView,
    /// Version of the configuration that the scheduler uses.
    version: Version,
    /// Rank of this target, which identifies it in the pool.
    rank: u64,
    /// Probe addresses of the pool's other sidecars by the rank of their targets; those in this
    /// process's own list as of `last_view`.
    peers: PoolPeers<u64, SocketAddr>,
    last_view: Arc<View>,
}

impl Control {
    async fn run(mut self, udp: UdpSocket) {
        let mut buf = vec![0; PACKET_MAX + 1];
        loop {
            let wake = [self.scheduler.wake(), self.drain.wake()];
            let wake = wake.into_iter().flatten().min();
            let wait = wake.map(|w| Duration::from(w.since(clock::now())));
            tokio::select! {
                message = self.endpoint.messages.recv() => match message {
                    Some(m) => self.handle(m),
                    None => return,
                },
                got = udp.recv_from(&mut buf) => if let Ok((n, from)) = got {
                    let bytes = Bytes::copy_from_slice(&buf[..n]);
                    if let Some(answer) = self.handle_packet(&bytes) {
                        let _ = udp.send_to(&answer, from).await;
                    }
                },
                on = self.membership.run_once() => if !on {
                    return;
                },
                () = tokio::time::sleep(wait.unwrap_or(MAX_SLEEP).min(MAX_SLEEP)) => {}
            }
            self.receive_crash_reports();
            self.apply_configuration();
            self.update_peers();
            self.crash_report_updates.send_due(clock::now());
            self.dispatch();
            if let Some((inquiry, to)) = self.next_inquiry() {
                for peer in to {
                    // A datagram that can't be sent counts as lost; the next inquiry repeats its
                    // content.
                    let _ = udp.send_to(&inquiry, peer).await;
                }
            }
            self.step_drain(drain::Event::Tick);
        }
    }

    fn handle(&mut self, message: ControlMessage) {
        let now = clock::now();
        match message {
            ControlMessage::Enqueue {
                request,
                peers,
                grant,
            } => {
                self.add_reported_peers(now, &peers);
                let result = self.scheduler.enqueue(now, request, grant, &mut self.rng);
                if let Err((grant, r)) = result {
                    metrics::counter!(meter::REFUSED, "code" => r.code.as_str()).increment(1);
                    let _ = grant.send(Err(r));
                }
            }
            ControlMessage::FirstByte(run) => self.scheduler.first_byte(now, run),
            ControlMessage::TargetCrashed(run) => self.record_crash(now, run),
            ControlMessage::Succeeded(run) => self.scheduler.record_success(now, run),
            ControlMessage::Progress(run, events) => self.scheduler.progress(now, run, events),
            ControlMessage::Finished(run, events) => self.scheduler.finished(now, run, events),
            ControlMessage::ExchangeStarted => self.step_drain(drain::Event::Taken),
            ControlMessage::ExchangeEnded => self.step_drain(drain::Event::Ended),
            ControlMessage::Report(report) => self.handle_report(report),
            ControlMessage::ReportMissed(check) => self.handle_missed_report(now, check),
            ControlMessage::CacheEvents(events) => {
                for e in events {
                    let need = self.scheduler.apply_event(now, e);
                    self.request_snapshot(need);
                }
            }
            ControlMessage::BlockList(incarnation, seq, blocks) => {
                let need = self.scheduler.set_block_list(now, incarnation, seq, blocks);
                self.request_snapshot(need);
            }
            ControlMessage::Quiesce(done) => {
                let removed = self.scheduler.set_quiesced(true);
                refuse(removed, Code::Draining, None);
                self.quiesced = Some(done);
            }
            ControlMessage::Unquiesce => {
                self.scheduler.set_quiesced(false);
                self.quiesced = None;
            }
            ControlMessage::Stop => self.step_drain(drain::Event::Stop),
        }
    }

    /// Refuses the requests that can't be served in time and dispatches those that may run now.
    fn dispatch(&mut self) {
        let now = clock::now();
        for (grant, r) in self.scheduler.expire(now, &mut self.rng) {
            refuse(vec![grant], r.code, r.retry);
        }
        while let Some(g) = self.scheduler.dispatch_next(now) {
            // The exchange may have ended while its request waited.
            if g.grant.send(Ok(g.run)).is_err() {
                self.scheduler.finished(now, g.run, 0);
            }
        }
        refuse(self.scheduler.take_rejected(), Code::Quarantined, None);
        if self.scheduler.running() == 0 {
            if let Some(done) = self.quiesced.take() {
                let _ = done.send(());
            }
        }
        let need = self.scheduler.expire_gaps(now);
        self.request_snapshot(need);
        metrics::gauge!(meter::BLOCKS).set(self.scheduler.cached_blocks() as f64);
        metrics::gauge!(meter::QUEUE).set(self.scheduler.waiting() as f64);
        metrics::gauge!(meter::RUNNING).set(self.scheduler.running() as f64);
    }

    /// Advances the planned stop.
    fn step_drain(&mut self, event: drain::Event) {
        let mut out = Vec::new();
        self.drain.step(clock::now(), event, &mut out);
        for action in out {
            match action {
                drain::Action::Announce => {
                    spdlog::info!(logger: log::sidecar(), "leaving, new requests are refused");
                    let _ = self.member_sender.send(membership::Command::Leave);
                }
                drain::Action::GiveBack => {
                    let removed = self.scheduler.leave();
                    refuse(removed, Code::Draining, None);
                }
                drain::Action::Close => {}
                drain::Action::Exit => {
                    self.endpoint.may_exit.send_replace(true);
                }
            }
        }
    }

    /// Handles a report from the target.
    fn handle_report(&mut self, report: TargetReport) {
        self.liveness.checked(clock::now(), Check::Answered);
        self.publish_health(Health {
            state: State::Alive,
            incarnation: report.incarnation,
        });
        let engine = EngineState {
            incarnation: report.incarnation,
            model: &report.model,
            weights: &report.weights,
            loading: report.loading,
        };
        if self.scheduler.update_engine(clock::now(), &engine) {
            self.membership.set_tags(report.weights);
            self.request_snapshot(Need::Snapshot);
        }
    }

    /// Handles a report of the target that is late or failed.
    fn handle_missed_report(&mut self, now: Micros, check: Check) {
        self.liveness.checked(now, check);
        self.liveness.received(self.endpoint.last_byte_at());
        let state = self.liveness.state(now);
        if state == State::Alive {
            return;
        }
        let incarnation = self.scheduler.incarnation();
        self.publish_health(Health { state, incarnation });
        let removed = self.scheduler.target_down();
        refuse(removed, Code::NoTarget, Some(Micros::from_secs(1)));
    }

    /// Publishes the target's health if it has changed.
    fn publish_health(&self, health: Health) {
        let changes = |h: &mut Health| std::mem::replace(h, health) != health;
        if !self.endpoint.health.send_if_modified(changes) {
            return;
        }
        match health.state {
            State::Alive => {
                spdlog::info!(logger: log::sidecar(), "target is in incarnation {}", health.incarnation);
            }
            State::Unresponsive => spdlog::warn!(
                logger: log::sidecar(),
                "target answers no checks and sends no data; its requests continue, new ones are refused"
            ),
            State::Hung => spdlog::warn!(
                logger: log::sidecar(),
                "target has been silent for too long; repeatable requests move to other targets"
            ),
            State::Exited => spdlog::warn!(
                logger: log::sidecar(),
                "target refuses connections; its requests are lost"
            ),
        }
    }

    /// Requests the engine's list of blocks if it is needed.
    fn request_snapshot(&mut self, need: Need) {
        if need == Need::Snapshot {
            self.endpoint.snapshot_requests.send_modify(|n| *n += 1);
        }
    }
}

fn refuse(grants: Vec<Grant>, code: Code, retry: Option<Micros>) {
    for g in grants {
        metrics::counter!(meter::REFUSED, "code" => code.as_str()).increment(1);
        let _ = g.send(Err(Refusal { code, retry }));
    }
}
