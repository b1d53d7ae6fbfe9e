//! Types that describe a deployment: its configuration, prompts, process settings and targets.
//!
//! The types are plain values without I/O and independent of any platform's formats. The `platform`
//! adapter decodes the platform's messages into them; `policy` and `gate` use them to route
//! requests.

pub mod plan;
pub mod prompt;
pub mod settings;
pub mod target;

pub use plan::{
    Engine, KvStore, Limits, Mode, Plan, PlanDraft, Pool, Route, Share, TeamLimit, Tenancy, Unit,
};
pub use prompt::{Part, PartId, Prompt, Scope};
pub use settings::{Bounds, Role, Settings};
pub use target::{AnnouncedWeights, Boot, Report, State, Swap, Target, Weights};
