//! Domain model of the router: hosts and their failure domains, teams, pools, targets, requests.
//!
//! All other crates share these types. Nothing here does I/O, reads a clock or uses random
//! numbers. Objects live in the arenas of [`World`] and refer to one another by small `Copy`
//! keys, so that a snapshot is cheap to share between threads.

pub mod code;
pub mod ids;
pub mod position;
pub mod request;
pub mod time;
pub mod world;

pub use code::{Code, Outcome};
pub use ids::{Attempt, BlockHash, Incarnation, MemberId, RequestId, Version};
pub use position::Position;
pub use request::{Class, UnknownClass};
pub use time::Micros;
pub use world::{
    Domain, DomainKey, Host, HostKey, Kind, Link, Pool, PoolKey, Region, RegionKey, Target,
    TargetKey, Team, TeamKey, World,
};
