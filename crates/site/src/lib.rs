//! What a process knows of a deployment whose platform names the routes, teams and targets.
//!
//! Plain values without I/O: the adapter fills them in from the platform's formats, the decisions
//! in `policy` and the programs in `gate` read them. Nothing here knows how the platform spells
//! any of it.

pub mod plan;
pub mod prompt;
pub mod settings;
pub mod target;

pub use plan::{Engine, KvStore, Limits, Mode, Plan, PlanDraft, Pool, Route, Share, Tenancy};
pub use prompt::{Part, PartId, Prompt, Scope};
pub use settings::{Bounds, Role, Settings};
pub use target::{AnnouncedWeights, Boot, Report, State, Swap, Target, Weights};
