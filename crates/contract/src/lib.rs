//! Agreements that outlive a process: they are rows of the platform's transactional table.
//!
//! The modules are state machines without a clock or a network: a driver performs the
//! [`Request`]s they ask for and feeds back each [`Reply`]. The table may be away, and an answer
//! of it may be lost after the write took effect; every machine here resolves such a loss by
//! reading the row back and looking for its own mark, never by writing again blindly.

pub mod apply;
pub mod claim;
pub mod lease;
pub mod table;

pub use apply::{Apply, ApplyStep, Head, Stale};
pub use claim::{Claim, ClaimStep, Holder};
pub use lease::{Lease, LeaseStep};
pub use table::{Reply, Request, Row};
