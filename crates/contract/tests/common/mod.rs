//! A table with one row, whose answers can be lost and whose writes can take effect late.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses its own part"
)]

use bytes::Bytes;
use contract::{Reply, Request, Row};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// What happens to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call takes effect and is answered.
    None,
    /// The call is rejected without effect.
    Rejected,
    /// The call is lost and takes no effect.
    LostBefore,
    /// The call takes effect, but its answer is lost.
    LostAfter,
    /// The answer is lost, and the call takes effect when it is delivered later.
    AppliedLate,
}

impl Fault {
    /// Any of them; half of all calls have no fault.
    pub fn any() -> impl Strategy<Value = Self> {
        prop_oneof![
            4 => Just(Self::None),
            1 => Just(Self::Rejected),
            1 => Just(Self::LostBefore),
            1 => Just(Self::LostAfter),
            1 => Just(Self::AppliedLate),
        ]
    }
}

/// A table with one row.
#[derive(Clone, Debug, Default)]
pub struct Table {
    pub row: Option<Row>,
    pub late: Vec<Request>,
}

impl Table {
    /// Performs a call with a fault.
    pub fn call(&mut self, request: Request, fault: Fault) -> Reply {
        match fault {
            Fault::None => self.act(request),
            Fault::Rejected => Reply::Down,
            Fault::LostBefore => Reply::Lost,
            Fault::LostAfter => {
                self.act(request);
                Reply::Lost
            }
            Fault::AppliedLate => {
                self.late.push(request);
                Reply::Lost
            }
        }
    }

    /// Delivers one of the late calls, if there are any.
    pub fn deliver(&mut self, which: usize) {
        if !self.late.is_empty() {
            let request = self.late.swap_remove(which % self.late.len());
            self.act(request);
        }
    }

    fn act(&mut self, request: Request) -> Reply {
        match request {
            Request::Read { .. } => Reply::Row(self.row.clone()),
            Request::Write { version, value, .. } => {
                if self.row.as_ref().map_or(0, |r| r.version) != version {
                    return Reply::Conflict;
                }
                let version = version + 1;
                self.row = Some(Row { version, value });
                Reply::Written(version)
            }
        }
    }

    /// Content of the row; empty if it doesn't exist.
    pub fn value(&self) -> Bytes {
        self.row
            .as_ref()
            .map(|r| r.value.clone())
            .unwrap_or_default()
    }
}

/// Test configuration with a fixed seed, so that every run has the same cases.
pub fn seeded(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}
