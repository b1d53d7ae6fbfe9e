//! Points of a chain that stand for the whole of it.
//!
//! A prompt of 16,000 tokens has a chain of 1,000 hashes, 8 KB. At four probes a request that
//! would be more than a node may spend on all control, so that a probe carries at most [`MAX_MARKS`]
//! points of it, some 200 bytes. Half of them lie ever closer to the end, since most prompts
//! differ from an earlier one only in a short last part; the others halve the depth towards the
//! beginning, for the outer levels of a nested prefix.

use model::BlockHash;

/// Most points in a probe.
pub const MAX_MARKS: usize = 16;
/// Points that are spaced from the end: the end itself and 1, 2, 4, … 128 blocks before it.
const TAIL: u32 = 9;
/// Significant bits of the depths on the grid; four depths an octave.
const BITS: u32 = 3;

/// One point of a chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark {
    /// Blocks up to and with this one.
    pub blocks: u32,
    /// The hash at this depth.
    pub hash: BlockHash,
}

/// Points of one chain, the deepest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Marks(Vec<Mark>);

impl Marks {
    /// Takes the points of a chain.
    pub fn new(chain: &[BlockHash]) -> Self {
        Self::with(chain, None)
    }

    /// Takes the points of a chain, with one at a depth that is known to be shared.
    pub fn with(chain: &[BlockHash], known: Option<u32>) -> Self {
        let n = chain.len() as u32;
        let tail = (0..TAIL).map(|i| match i {
            0 => n,
            i => n.saturating_sub(1 << (i - 1)),
        });
        let mut depths: Vec<u32> = known.into_iter().chain(tail).collect();
        depths.retain(|d| (1..=n).contains(d));
        depths.sort_unstable();
        depths.dedup();
        let first = depths.first().copied().unwrap_or(0);
        let room = MAX_MARKS - depths.len();
        depths.extend(halves(first).take(room));
        depths.sort_unstable_by_key(|d| std::cmp::Reverse(*d));
        Self(depths.into_iter().map(|d| mark(chain, d)).collect())
    }

    /// Takes points that came in a message; those beyond [`MAX_MARKS`] are ignored.
    pub fn from_points(points: impl IntoIterator<Item = Mark>) -> Self {
        let mut points: Vec<Mark> = points.into_iter().take(MAX_MARKS).collect();
        points.sort_unstable_by_key(|m| std::cmp::Reverse(m.blocks));
        Self(points)
    }

    /// The points, the deepest first.
    pub fn points(&self) -> &[Mark] {
        &self.0
    }

    /// Blocks of the whole chain.
    pub fn blocks(&self) -> u32 {
        self.0.first().map_or(0, |m| m.blocks)
    }
}

/// The depths of at most `n` blocks that all prompts have points at, the deepest first.
///
/// Prompts with a common beginning but of different lengths find each other at these depths:
/// 1, 2, 3, 4, 5, 6, 7, 8, 10, 12, 14, 16, 20, …
pub fn grid(n: u32) -> impl Iterator<Item = u32> {
    std::iter::successors(floor(n), |d| floor(d - 1))
}

/// The points by which prompts are grouped: deep, middle and shallow.
///
/// Placement uses the deep one; grouped by the others, copies spread too far (docs/DECISIONS.md).
/// The deep one leaves out the last eighth, which is mostly the caller's own question: its hash
/// would be seen once and never again.
pub fn levels(chain: &[BlockHash]) -> impl Iterator<Item = Mark> + '_ {
    let n = chain.len() as u32;
    let mut depths = [n - n / 8, n / 3, n / 12].map(|d| floor(d).unwrap_or(0));
    // A short prompt has fewer levels than three.
    if depths[1] == depths[0] {
        depths[1] = 0;
    }
    if depths[2] == depths[1] {
        depths[2] = 0;
    }
    depths
        .into_iter()
        .filter(|d| *d > 0)
        .map(|d| mark(chain, d))
}

fn mark(chain: &[BlockHash], blocks: u32) -> Mark {
    Mark {
        blocks,
        hash: chain[blocks as usize - 1],
    }
}

/// Powers of two below `n`, the highest first.
fn halves(n: u32) -> impl Iterator<Item = u32> {
    (0..u32::BITS).rev().map(|i| 1 << i).filter(move |d| *d < n)
}

/// `n` rounded down to the grid.
fn floor(n: u32) -> Option<u32> {
    match n.checked_ilog2()? {
        top if top < BITS => Some(n),
        top => Some(n >> (top + 1 - BITS) << (top + 1 - BITS)),
    }
}
