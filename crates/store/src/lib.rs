//! The platform's services: transactional table, object store and host list.
//!
//! [`Table`] is the seam: everything above it speaks in [`contract::Request`] and
//! [`contract::Reply`], so that another platform needs one adapter like [`Platform`] and nothing
//! else. The adapter's one duty beyond translation is honesty about losses: a call that may have
//! taken effect is [`contract::Reply::Lost`], never [`contract::Reply::Down`].

pub mod http;
pub mod platform;

use std::future::Future;

use contract::{Reply, Request};

pub use http::{Call, Client, HttpError};
pub use platform::{HostState, ListedHost, Platform};

/// A transactional table.
pub trait Table: Send + Sync + 'static {
    /// Performs one call; it ends in bounded time.
    fn call(&self, request: Request) -> impl Future<Output = Reply> + Send;
}
