//! Admission to engine pools that are short: drives [`policy::room`] with requests, first events and
//! datagrams.
//!
//! Each entry sends its report on a pool to all entries while the pool has demand. A report isn't
//! repeated; the next one replaces it.

use std::cell::RefCell;
use std::collections::HashMap;

use model::Micros;
use policy::room::{Config, Decision, FlowKey, FlowUse, Report, Room};
use site::Plan;
use xxhash_rust::xxh3::xxh3_64;

use crate::log::{self, Event};
use crate::meter;
use crate::update::{RoomFlow, RoomUse, Update};

/// Interval at which the shares are computed.
pub const UPDATE_INTERVAL: Micros = Micros::from_millis(250);

/// Number of hundredths of a request that a report counts.
const HUNDREDTHS: f64 = 100.0;

/// A request to an engine pool.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Name of the pool.
    pub pool: &'a str,
    /// Name of the team; empty for an anonymous caller.
    pub team: &'a str,
    /// Rank of the request.
    pub rank: u8,
    /// Prompt tokens and most output tokens.
    pub tokens: u64,
}

impl Request<'_> {
    fn key(&self) -> FlowKey {
        FlowKey {
            team: xxh3_64(self.team.as_bytes()),
            rank: self.rank,
        }
    }
}

/// Room in all engine pools, by the hash of the pool's name.
#[derive(Debug, Default)]
pub struct Rooms {
    rooms: RefCell<HashMap<u64, Room>>,
    /// Weights of teams, and the version of the configuration that they are from.
    weights: RefCell<(u64, Vec<(u64, f64)>)>,
}

impl Rooms {
    /// Decides on a request that has not run. `draw` is a random number from 0 to 1.
    pub fn offer(&self, now: Micros, r: &Request<'_>, time_left: Micros, draw: f64) -> Decision {
        let decide = |room: &mut Room| room.offer(now, r.key(), r.tokens, time_left, draw);
        let Some(decision) = self.with(r.pool, decide) else {
            return Decision::Admit;
        };
        let outcome = match decision {
            Decision::Admit => "admitted",
            Decision::Refuse { .. } => "refused",
        };
        meter::add(meter::ROOM_TOKENS, "outcome", outcome, r.tokens);
        decision
    }

    /// Counts a request that has run before and is admitted in any case.
    pub fn record_rerun(&self, now: Micros, r: &Request<'_>) {
        self.with(r.pool, |room| room.record_rerun(now, r.key(), r.tokens));
    }

    /// Records that an engine was looked for, whether all of them had a wait, and whether the request
    /// was refused for that.
    pub fn record_pick(&self, now: Micros, r: &Request<'_>, waited: bool, refused: bool) {
        self.with(r.pool, |room| {
            room.record_pick(now, waited);
            if refused {
                room.withdraw(now, r.key(), r.tokens);
            }
        });
    }

    /// Records the first event of an answer.
    pub fn record_first_event(&self, now: Micros, r: &Request<'_>) {
        self.with(r.pool, |room| room.record_first_event(now, r.tokens));
    }

    /// Forgets all pools, while the settings don't ask for room. Otherwise old fractions would refuse
    /// requests once they do again.
    pub fn clear(&self) {
        self.rooms.borrow_mut().clear();
    }

    fn with<T>(&self, pool: &str, f: impl FnOnce(&mut Room) -> T) -> Option<T> {
        self.rooms.borrow_mut().get_mut(&pool_key(pool)).map(f)
    }

    /// Computes the shares of all pools; returns the reports that are due. `engines` has the number of
    /// usable engines by pool, `others` is the number of other entries.
    pub fn update(
        &self,
        now: Micros,
        plan: &Plan,
        engines: &HashMap<&str, usize>,
        others: usize,
    ) -> Vec<Update> {
        let changed = self.update_weights(plan);
        let mut rooms = self.rooms.borrow_mut();
        rooms.retain(|key, _| engines.keys().any(|pool| pool_key(pool) == *key));
        let mut reports = Vec::new();
        for (pool, engines) in engines {
            let key = pool_key(pool);
            let is_new = !rooms.contains_key(&key);
            let room = rooms
                .entry(key)
                .or_insert_with(|| Room::new(now, Config::default(), rand::random()));
            if changed || is_new {
                room.set_weights(self.weights.borrow().1.iter().copied().collect());
            }
            room.set_entries(others);
            if room.update(now, *engines) {
                log_status(pool, room);
            }
            let capacity = room.status().capacity.unwrap_or_default();
            metrics::gauge!(meter::ROOM_CAPACITY, "pool" => pool.to_string()).set(capacity);
            reports.extend(room.poll(now).map(|report| encode(key, &report)));
        }
        reports
    }

    /// Applies the weights of a configuration; returns whether they are new.
    fn update_weights(&self, plan: &Plan) -> bool {
        let mut weights = self.weights.borrow_mut();
        if weights.0 == plan.version() {
            return false;
        }
        let limits = plan.team_limits();
        let limits = limits.map(|(team, l)| (xxh3_64(team.as_bytes()), l.rate));
        *weights = (plan.version(), limits.collect());
        true
    }

    /// Receives another entry's report.
    pub fn receive(&self, now: Micros, received: &RoomUse) {
        if let Some(room) = self.rooms.borrow_mut().get_mut(&received.pool) {
            room.receive(now, decode(received));
        }
    }
}

fn pool_key(pool: &str) -> u64 {
    xxh3_64(pool.as_bytes())
}

fn log_status(pool: &str, room: &Room) {
    let status = room.status();
    log::event(&Event::Room {
        pool,
        short: status.short,
        offered: status.offered as u64,
        admitted: status.admitted as u64,
        capacity: status.capacity.map(|c| c as u64),
        entries: status.reporters,
    });
}

/// Encodes a report on a pool.
pub fn encode(pool: u64, report: &Report) -> Update {
    let flows = report.flows.iter().map(|f| RoomFlow {
        team: f.key.team,
        rank: f.key.rank.into(),
        offered: u32::try_from(f.offered).unwrap_or(u32::MAX),
        admitted: u32::try_from(f.admitted).unwrap_or(u32::MAX),
    });
    Update {
        entry: true,
        room: Some(RoomUse {
            process: report.process,
            sent_us: report.sent.0,
            pool,
            served: report.served as u32,
            picked: (report.picked * HUNDREDTHS) as u32,
            waited: (report.waited * HUNDREDTHS) as u32,
            capacity: report.capacity.map(|c| c as u32),
            flows: flows.collect(),
        }),
        ..Update::default()
    }
}

fn decode(received: &RoomUse) -> Report {
    let flow = |f: &RoomFlow| {
        Some(FlowUse {
            key: FlowKey {
                team: f.team,
                rank: f.rank.try_into().ok()?,
            },
            offered: f.offered.into(),
            admitted: f.admitted.into(),
        })
    };
    Report {
        process: received.process,
        sent: Micros(received.sent_us),
        served: received.served.into(),
        picked: f64::from(received.picked) / HUNDREDTHS,
        waited: f64::from(received.waited) / HUNDREDTHS,
        capacity: received.capacity.map(f64::from),
        flows: received.flows.iter().filter_map(flow).collect(),
    }
}
