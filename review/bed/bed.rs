//! Shared parts of the cases: stand-ins of the platform's store and of replicas, clients, and the
//! processes of the project. Uses the standard library only.

#![allow(dead_code)]

pub mod http;
pub mod json;
pub mod process;
pub mod record;
pub mod replica;
pub mod store;
