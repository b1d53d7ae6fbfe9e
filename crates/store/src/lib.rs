//! Client for the platform's transactional table and host list.
//!
//! [`Table`] is the interface to the platform: other crates only use [`contract::Request`] and
//! [`contract::Reply`], so supporting another platform takes one adapter like [`Platform`] and
//! nothing else. An adapter must report [`contract::Reply::Lost`] for each call that may have taken
//! effect, never [`contract::Reply::Down`].

pub mod http;
pub mod platform;

use std::future::Future;

use contract::{Reply, Request};

pub use http::{Call, Client, HttpError};
pub use platform::{HostState, ListedHost, Platform};

/// A transactional table.
pub trait Table: Send + Sync + 'static {
    /// Performs one call and returns in bounded time.
    fn call(&self, request: Request) -> impl Future<Output = Reply> + Send;
}
