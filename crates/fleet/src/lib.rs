//! Gossip membership and dissemination of the configuration, without a coordinator and free of
//! I/O.
//!
//! Each process runs one [`Fleet`]. Its driver passes in the time and [`Event`]s and performs the
//! resulting [`Action`]s; the same code runs in the daemon, in tests and in benchmarks. Failure
//! detection follows SWIM (Das, Gupta, Motivala 2002) with the refinements of Lifeguard (Dadgar,
//! Phillips, Currey 2018): each period one member is probed, first directly, then through members
//! in other failure domains. A member that does not answer is suspected, and is declared dead
//! unless it refutes the suspicion with a higher incarnation in time. Updates are piggybacked on
//! these messages, so the cost per process grows only with the logarithm of the fleet size.
//!
//! Every datagram carries the sender's configuration version. A process with an older version
//! pulls the text from a member with a newer one and only ever adopts higher versions. The
//! platform's table decides between two texts of one version; a few members read it for the whole
//! fleet.
//!
//! Suggested reading order: [`Fleet`], then `detect`, `merge`, `spread`, `table` and `join`, each
//! of which adds one task to it.

mod answer;
mod convict;
mod counters;
mod detect;
mod digest;
mod event;
mod fleet;
mod in_force;
mod join;
mod member;
mod merge;
mod packet;
mod rumor;
mod seal;
mod settings;
mod spread;
mod suspicion;
mod table;
mod view;

pub use answer::Answer;
pub use convict::Conviction;
pub use counters::Counters;
pub use digest::Digest;
pub use event::{Action, Event, HostEntry, PullScope, TableRead, TableRow, TableUnavailable};
pub use fleet::Fleet;
pub use in_force::{InForce, LaggingMember};
pub use member::{Member, MemberState, Role};
pub use packet::{Kind, Mark, Packet, PacketError, Update, DATAGRAM_MAX};
pub use seal::{Key, Keyring, SealError};
pub use settings::Settings;
