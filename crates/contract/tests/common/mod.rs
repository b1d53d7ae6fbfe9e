//! One row of a table whose answers can be lost and whose writes can come late.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses its own part"
)]

use bytes::Bytes;
use contract::{Reply, Request, Row};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// It is answered.
    Good,
    /// It is refused without effect.
    Down,
    /// It has no effect, but the caller can't know.
    LostBefore,
    /// It takes effect, but the answer is lost.
    LostAfter,
    /// The answer is lost, and it takes effect whenever the network delivers it.
    Late,
}

impl Loss {
    /// One of all, the good one as often as the others together.
    pub fn any() -> impl Strategy<Value = Self> {
        prop_oneof![
            4 => Just(Self::Good),
            1 => Just(Self::Down),
            1 => Just(Self::LostBefore),
            1 => Just(Self::LostAfter),
            1 => Just(Self::Late),
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
    /// Calls it.
    pub fn call(&mut self, request: Request, loss: Loss) -> Reply {
        match loss {
            Loss::Good => self.act(request),
            Loss::Down => Reply::Down,
            Loss::LostBefore => Reply::Lost,
            Loss::LostAfter => {
                self.act(request);
                Reply::Lost
            }
            Loss::Late => {
                self.late.push(request);
                Reply::Lost
            }
        }
    }

    /// Delivers a call that was on its way, if there is one.
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

    /// What the row holds.
    pub fn value(&self) -> Bytes {
        self.row
            .as_ref()
            .map(|r| r.value.clone())
            .unwrap_or_default()
    }
}

/// The same cases in every run.
pub fn seeded(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}
