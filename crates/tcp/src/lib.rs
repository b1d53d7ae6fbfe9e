//! TCP connections whose far end may vanish without a reset, or read slowly.
//!
//! A far end that has vanished acknowledges nothing. One that reads slowly keeps its window closed, but acknowledges
//! each probe of the kernel. `TCP_USER_TIMEOUT` ends both, after a time that kernels count differently, so that
//! it isn't used where the kernel says how old the last acknowledgement is: [`info`] reads that,
//! [`liveness`] decides, and [`watch`] applies the decision to a stream. [`options`] are those of all connections.

pub mod info;
pub mod liveness;
pub mod meter;
pub mod options;
pub mod watch;

pub use info::Acks;
pub use liveness::{Config, Liveness, Verdict};
pub use watch::Watch;
