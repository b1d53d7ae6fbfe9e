//! Selected points of a chain that represent the whole chain.
//!
//! A prompt of 16,000 tokens has a chain of 1,000 hashes, which is 8 KB. With four probes for each
//! request, this would exceed a node's budget for all control traffic, so a probe has at most
//! [`MAX_MARKS`] points, about 200 bytes. Half of them are spaced exponentially from the end, since
//! most prompts differ from an earlier one only in a short last part. The depths of the others are
//! powers of two, down to the beginning, for the outer levels of nested prefixes.

use model::BlockHash;

/// Maximum number of points in a probe.
pub const MAX_MARKS: usize = 16;
/// Number of points spaced from the end: the end itself and 1, 2, 4, … 128 blocks before it.
const TAIL_MARKS: u32 = 9;
/// Number of significant bits of the depths on the grid: four depths between two powers of two.
const GRID_BITS: u32 = 3;

/// One point of a chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark {
    /// Depth of the point: number of blocks up to and including it.
    pub blocks: u32,
    /// Hash of the chain at this depth.
    pub hash: BlockHash,
}

/// Selected points of one chain, the deepest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Marks(Vec<Mark>);

impl Marks {
    /// Selects the points of a chain.
    pub fn new(chain: &[BlockHash]) -> Self {
        Self::with(chain, None)
    }

    /// Selects the points of a chain, including one at a depth known to be shared with others.
    pub fn with(chain: &[BlockHash], known: Option<u32>) -> Self {
        let n = chain.len() as u32;
        let tail = (0..TAIL_MARKS).map(|i| match i {
            0 => n,
            i => n.saturating_sub(1 << (i - 1)),
        });
        let mut depths: Vec<u32> = known.into_iter().chain(tail).collect();
        depths.retain(|d| (1..=n).contains(d));
        depths.sort_unstable();
        depths.dedup();
        let first = depths.first().copied().unwrap_or(0);
        let remaining = MAX_MARKS - depths.len();
        depths.extend(powers_below(first).take(remaining));
        depths.sort_unstable_by_key(|d| std::cmp::Reverse(*d));
        Self(depths.into_iter().map(|d| mark(chain, d)).collect())
    }

    /// Creates marks from the points in a message; points beyond [`MAX_MARKS`] are ignored.
    pub fn from_points(points: impl IntoIterator<Item = Mark>) -> Self {
        let mut points: Vec<Mark> = points.into_iter().take(MAX_MARKS).collect();
        points.sort_unstable_by_key(|m| std::cmp::Reverse(m.blocks));
        Self(points)
    }

    /// The points, the deepest first.
    pub fn points(&self) -> &[Mark] {
        &self.0
    }

    /// Number of blocks in the whole chain.
    pub fn blocks(&self) -> u32 {
        self.0.first().map_or(0, |m| m.blocks)
    }
}

/// The depths up to `n` blocks that are the same for all prompts, the deepest first.
///
/// Prompts with a common prefix but different lengths have points in common at these depths:
/// 1, 2, 3, 4, 5, 6, 7, 8, 10, 12, 14, 16, 20, …
pub fn grid(n: u32) -> impl Iterator<Item = u32> {
    std::iter::successors(round_to_grid(n), |d| round_to_grid(d - 1))
}

/// The points by which prompts are grouped, the deepest first: at most three.
///
/// Placement uses the deepest point; grouping by the others spreads copies of a prefix over too
/// many replicas (docs/DECISIONS.md). The deepest point excludes the last eighth of the prompt,
/// which is mostly the caller's own question: a hash that covers it would never occur again.
pub fn levels(chain: &[BlockHash]) -> impl Iterator<Item = Mark> + '_ {
    let n = chain.len() as u32;
    let mut depths = [n - n / 8, n / 3, n / 12].map(|d| round_to_grid(d).unwrap_or(0));
    // A short prompt has fewer than three levels.
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
fn powers_below(n: u32) -> impl Iterator<Item = u32> {
    (0..u32::BITS).rev().map(|i| 1 << i).filter(move |d| *d < n)
}

/// `n` rounded down to the grid.
fn round_to_grid(n: u32) -> Option<u32> {
    match n.checked_ilog2()? {
        top if top < GRID_BITS => Some(n),
        top => Some(n >> (top + 1 - GRID_BITS) << (top + 1 - GRID_BITS)),
    }
}
