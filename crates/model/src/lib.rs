//! The world the router works in: places, teams, pools, targets and requests.
//!
//! Every other package speaks in these types. Nothing here does input or output, reads a clock
//! or draws a random number. Objects live in the arenas of [`World`] and refer to one another by
//! small `Copy` keys, so that a snapshot of the world is cheap to share between threads.

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
