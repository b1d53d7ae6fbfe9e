//! A conviction in force, and the trials of its part.

use model::Micros;

use super::PartKey;
/// Number of requests with a convicted part that are let through, by all entries together.
pub const TRIALS: u32 = 3;
/// How long a claimed trial waits for a request.
const TRIAL_LEASE: Micros = Micros::from_secs(10);
/// Time by which each further entry leaves a trial to the entry before it.
const TRIAL_STAGGER: Micros = Micros::from_millis(500);
/// Time from the conviction of an ambiguous part to its first trial, and from each trial to the next.
const AMBIGUOUS_TRIALS: [Micros; TRIALS as usize] =
    [Micros::ZERO, Micros::from_secs(2), Micros::from_secs(15)];

/// A trial that an entry wants to claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The part.
    pub part: PartKey,
    /// Number of trials before this one.
    pub trials: u32,
}

/// Outcome of claiming a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The trial belongs to this entry.
    Claimed,
    /// This number of trials had been claimed already.
    Outdated(u32),
    /// The store did not answer; the trial may have been claimed.
    Unknown,
}

/// A conviction in force.
#[derive(Debug)]
pub(super) struct Conviction {
    /// First crash that counts.
    pub(super) first: Micros,
    pub(super) trials: u32,
    pub(super) next_trial: Micros,
    /// Whether the trial is being claimed.
    claiming: bool,
    /// Until when the claimed trial waits for a request.
    pub(super) granted: Option<Micros>,
    /// Whether another part was convicted at the same moment, so that either may be harmless. Such
    /// a part is soon tried with a request that has none of the others.
    pub(super) ambiguous: bool,
    /// When the last trial was claimed, or the part was convicted.
    tried: Micros,
}

impl Conviction {
    /// A conviction for crashes from `first` on, of a part with this number of trials.
    pub(super) fn new(now: Micros, first: Micros, trials: u32, delays: &[Micros]) -> Self {
        let mut conviction = Self {
            first,
            trials: 0,
            next_trial: now,
            claiming: false,
            granted: None,
            ambiguous: false,
            tried: now,
        };
        conviction.set_trials(now, trials, delays);
        conviction
    }

    /// Records the number of trials claimed by all entries.
    pub(super) fn set_trials(&mut self, now: Micros, trials: u32, delays: &[Micros]) {
        self.trials = trials;
        self.tried = now;
        let delay = delays.get(trials as usize).copied().unwrap_or_default();
        self.next_trial = now + delay;
    }

    /// Whether a claimed trial waits for a request.
    pub(super) fn is_granted(&self, now: Micros) -> bool {
        self.granted.is_some_and(|until| now < until)
    }

    /// Whether an entry may claim a trial now, or has one. `turn` is the entry's place in the order in
    /// which they do, and `discerns` says that the request lacks another convicted part.
    pub(super) fn may_claim(&self, now: Micros, discerns: bool, turn: usize) -> bool {
        let soon = AMBIGUOUS_TRIALS.get(self.trials as usize);
        let due = match soon {
            Some(delay) if self.ambiguous && discerns => self.tried + *delay,
            _ => self.next_trial,
        };
        let is_due = now >= due + Micros(TRIAL_STAGGER.0 * turn as u64);
        self.is_granted(now) || (!self.claiming && self.trials < TRIALS && is_due)
    }

    /// The trial that an entry claims now, unless it has one.
    pub(super) fn claim(&mut self, now: Micros, part: PartKey) -> Option<Claim> {
        if self.is_granted(now) {
            return None;
        }
        self.claiming = true;
        Some(Claim {
            part,
            trials: self.trials,
        })
    }

    /// Lets a trial wait for another request, as its own was sent to no target.
    pub(super) fn return_trial(&mut self, now: Micros) {
        self.granted = Some(now + TRIAL_LEASE);
    }

    /// Records the outcome of a claim.
    pub(super) fn record_claim(
        &mut self,
        now: Micros,
        claim: Claim,
        outcome: ClaimOutcome,
        delays: &[Micros; TRIALS as usize],
    ) {
        self.claiming = false;
        match outcome {
            ClaimOutcome::Claimed => {
                self.granted = Some(now + TRIAL_LEASE);
                self.set_trials(now, claim.trials + 1, delays);
            }
            ClaimOutcome::Outdated(trials) => self.set_trials(now, trials, delays),
            ClaimOutcome::Unknown => self.next_trial = now + delays[0],
        }
    }
}
