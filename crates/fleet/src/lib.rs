//! Membership and spread of configuration, without a coordinator and without input or output.
//!
//! Each process runs one [`Fleet`]. Its driver hands in time and [`Event`]s and performs the
//! [`Action`]s that come out; the same code runs in the daemon, in tests and in benches. Failure
//! detection follows SWIM (Das, Gupta, Motivala 2002) with the refinements of Lifeguard
//! (Dadgar, Phillips, Currey 2018): each period one member is pinged, first directly, then
//! through members in other failure domains; who doesn't answer is suspected, and is dead only
//! if it doesn't refute that with a higher incarnation in time. Updates ride on these messages,
//! so the cost per process doesn't grow with the fleet but for a logarithm.
//!
//! Every datagram names the sender's configuration version. A process that is behind pulls the
//! text from whoever is ahead and only ever adopts a higher version; the platform's table decides
//! between two texts of one version, and a few readers watch it for all.
//!
//! Order of reading: [`Fleet`], then `detect`, `merge`, `spread`, `table` and `join`, which each
//! add one job to it.

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
