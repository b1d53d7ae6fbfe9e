//! Coordination between processes through rows of the platform's transactional table: claims on
//! requests, leases and changes of the configuration.
//!
//! The modules are state machines without a clock or a network: a driver performs each [`Request`]
//! and passes the [`Reply`] back. The table may be unavailable, and its answer may be lost after a
//! write took effect. After a lost answer a state machine reads the row back and looks for its own
//! token, number or operation id before it writes again.

pub mod apply;
pub mod claim;
pub mod lease;
pub mod table;

pub use apply::{Apply, ApplyStep, Head, Stale};
pub use claim::{Claim, ClaimStep, Holder};
pub use lease::{Lease, LeaseStep};
pub use table::{Reply, Request, Row};
