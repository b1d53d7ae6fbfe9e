//! Where a prompt of named parts runs when the entry chooses by itself.
//!
//! Load pattern: a hundred subjects share long openings, each asked for by all entries; engines
//! differ in speed, and their memory holds only a part of all openings. Sending each subject to one
//! engine queues the hot ones; spreading by load alone reads every opening on every engine, which
//! costs more than all other work. New weights empty engines one after the other.
//!
//! Everything is weighed in one unit, milliseconds until the first token: what waits before it,
//! reading what the engine doesn't hold, fetching what others hold, and the way there. Fetching is
//! chosen over reading where it is faster, so that load can be spread without reading twice.
//!
//! What an engine takes in pushes out something else, which is then read again for somebody. So each
//! token that it doesn't hold yet costs a little more than the time to bring it there. Without that,
//! the better the loads are known, the more copies are made: on 56 engines at full load shared tokens
//! read again rose from 4.9 to 9.0 million in 34 s when loads became exact.
//!
//! Grounds: reading 6,300 tokens takes 120 to 140 ms, fetching them from an engine 4 to 30 ms and
//! from a store some 50 ms, so that the holder is worth waiting for only that long.

/// What one engine would take.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<K> {
    /// The engine.
    pub key: K,
    /// Milliseconds until it begins to read, for what runs and waits there.
    pub wait: f64,
    /// Milliseconds to read a token.
    pub read: f64,
    /// Tokens of the prompt that it holds.
    pub held: u32,
    /// Milliseconds for each token that it doesn't hold yet, for what has to yield there.
    pub room: f64,
    /// Milliseconds that the way costs.
    pub way: f64,
    /// Factor for engines that have failed of late, or whose answers are worth less.
    pub doubt: f64,
}

/// Who holds a part of the prompt elsewhere.
#[derive(Clone, Copy, Debug)]
pub struct Source<A> {
    /// Where.
    pub addr: A,
    /// Tokens of the prompt that it holds.
    pub held: u32,
    /// Milliseconds to move a token.
    pub rate: f64,
    /// Milliseconds before the first one moves.
    pub setup: f64,
}

/// Where a prompt goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice<K, A> {
    /// The engine.
    pub key: K,
    /// Who it fetches from.
    pub fetch: Option<A>,
    /// Milliseconds until the first token.
    pub cost: f64,
    /// Milliseconds of that until it begins to read.
    pub wait: f64,
    /// Tokens that it reads.
    pub read: u32,
}

/// The least cost for a prompt of some tokens; of equals the first, so that callers who turn the
/// order spread them.
pub fn choose<K: Copy, A: Copy + PartialEq>(
    tokens: u32,
    candidates: impl IntoIterator<Item = Candidate<K>>,
    sources: impl Fn(K) -> Vec<Source<A>>,
) -> Option<Choice<K, A>> {
    let choices = candidates
        .into_iter()
        .map(|c| at(tokens, c, sources(c.key)));
    choices.min_by(|a, b| a.cost.total_cmp(&b.cost))
}

fn at<K: Copy, A: Copy>(tokens: u32, c: Candidate<K>, sources: Vec<Source<A>>) -> Choice<K, A> {
    let missing = tokens.saturating_sub(c.held);
    let mut best = Choice {
        key: c.key,
        fetch: None,
        cost: f64::from(missing) * c.read,
        wait: c.wait,
        read: missing,
    };
    for s in sources {
        let moved = s.held.saturating_sub(c.held);
        let read = missing - moved.min(missing);
        let cost = s.setup + f64::from(moved) * s.rate + f64::from(read) * c.read;
        if moved > 0 && cost < best.cost {
            best = Choice {
                fetch: Some(s.addr),
                cost,
                read,
                ..best
            };
        }
    }
    Choice {
        cost: (best.cost + f64::from(missing) * c.room + c.wait + c.way) * c.doubt,
        ..best
    }
}
