//! Where a prompt of named parts runs when the entry chooses by itself.
//!
//! Load pattern: a hundred subjects share long openings, each asked for by all entries; engines
//! differ in speed, and their memory holds only a part of all openings. Sending each subject to one
//! engine queues the hot ones; spreading by load alone reads every opening on every engine, which
//! costs more than all other work. New weights empty engines one after the other.
//!
//! An opening that one engine is about to read is soon held there. An engine that is sent another
//! prompt with it meanwhile is told to ask the first one: by the time the prompt's turn comes the
//! opening may be there, and asking in vain costs a millisecond. Measured on two fleets of nine
//! engines that take new weights six times in 35 s: 102,000 to 131,000 shared tokens read again in
//! four runs, 152,000 in one run of each fleet without it.
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
//! from a store some 50 ms, so that the holder is worth waiting for only that long. Of those who hold
//! an opening only the best few of each failure domain are weighed: the rest would take as long.

/// How much longer a move between failure domains takes.
const CROSS_DOMAIN_FACTOR: f64 = 2.0;
/// Holders weighed in each failure domain: the best one, and another should that be the candidate.
const PER_DOMAIN: usize = 2;

/// What one engine would take.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<K, A> {
    /// The engine.
    pub key: K,
    /// Where it is.
    pub addr: A,
    /// Its failure domain.
    pub domain: u64,
    /// Milliseconds until it begins to read, for what runs and waits there.
    pub wait: f64,
    /// Milliseconds to read a token.
    pub prefill_per_token: f64,
    /// Tokens of the prompt that it holds.
    pub held: u32,
    /// Milliseconds for each token that it doesn't hold yet, for what has to yield there.
    pub eviction_cost: f64,
    /// Milliseconds that the way takes.
    pub network_delay: f64,
    /// Milliseconds that count against it, though nobody waits for them: its place in the prompt's own
    /// order of engines.
    pub penalty: f64,
    /// Factor for engines that have failed of late, or whose answers are worth less.
    pub cost_factor: f64,
}

/// Who holds a part of the prompt.
#[derive(Clone, Copy, Debug)]
pub struct Source<A> {
    /// Where.
    pub addr: A,
    /// Its failure domain.
    pub domain: u64,
    /// Tokens of the prompt that it holds.
    pub held: u32,
    /// Tokens that it will hold once it has done what it has to do already.
    pub held_soon: u32,
    /// Milliseconds to move a token within a failure domain.
    pub fetch_per_token: f64,
    /// Milliseconds before the first one moves.
    pub fetch_setup: f64,
}

/// The sources that are worth weighing.
#[derive(Clone, Debug)]
pub struct Sources<A> {
    held: Vec<Source<A>>,
    soon: Vec<Source<A>>,
}

impl<A: Copy> Sources<A> {
    /// Picks the best of all sources; of equals the first, so that callers who turn the order spread
    /// the moves over the holders.
    pub fn new(all: impl IntoIterator<Item = Source<A>>) -> Self {
        let mut sources = Self {
            held: Vec::new(),
            soon: Vec::new(),
        };
        for s in all {
            keep(&mut sources.held, s, |s| s.held);
            keep(&mut sources.soon, s, |s| s.held_soon);
        }
        sources
    }

    /// How many sources each candidate is weighed against.
    pub fn count(&self) -> usize {
        self.held.len() + self.soon.len()
    }
}

/// Keeps a source if it is among the best of its domain.
fn keep<A: Copy>(kept: &mut Vec<Source<A>>, new: Source<A>, tokens: impl Fn(&Source<A>) -> u32) {
    if tokens(&new) == 0 {
        return;
    }
    let same = kept.iter().filter(|s| s.domain == new.domain).count();
    let worst = kept.iter_mut().filter(|s| s.domain == new.domain).rev();
    let worst = worst.min_by_key(|s| tokens(s));
    match worst {
        Some(w) if same >= PER_DOMAIN && tokens(w) < tokens(&new) => *w = new,
        Some(_) if same >= PER_DOMAIN => {}
        _ => kept.push(new),
    }
}

/// Where a prompt goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice<K, A> {
    /// The engine.
    pub key: K,
    /// Who it fetches from.
    pub fetch: Option<A>,
    /// What it was chosen by: the time until the first token and all that counts against the engine.
    pub cost: f64,
    /// Milliseconds until the first token, as far as known.
    pub ttft: f64,
    /// Milliseconds of that until it begins to read.
    pub wait: f64,
    /// Tokens that it reads.
    pub prefill_tokens: u32,
}

/// The least cost for a prompt of some tokens; of equals the first, so that callers who turn the
/// order spread them.
pub fn choose<'a, K: Copy, A: Copy + PartialEq + 'a>(
    tokens: u32,
    candidates: impl IntoIterator<Item = (Candidate<K, A>, &'a Sources<A>)>,
) -> Option<Choice<K, A>> {
    let choices = candidates.into_iter().map(|(c, s)| evaluate(tokens, c, s));
    choices.min_by(|a, b| a.cost.total_cmp(&b.cost))
}

fn evaluate<K: Copy, A: Copy + PartialEq>(
    tokens: u32,
    c: Candidate<K, A>,
    sources: &Sources<A>,
) -> Choice<K, A> {
    let missing = tokens.saturating_sub(c.held);
    let mut best = Choice {
        key: c.key,
        fetch: None,
        cost: f64::from(missing) * c.prefill_per_token,
        ttft: 0.0,
        wait: c.wait,
        prefill_tokens: missing,
    };
    for s in sources.held.iter().filter(|s| s.addr != c.addr) {
        let moved = s.held.saturating_sub(c.held);
        let prefill_tokens = missing - moved.min(missing);
        let far = if s.domain == c.domain {
            1.0
        } else {
            CROSS_DOMAIN_FACTOR
        };
        let cost = s.fetch_setup
            + f64::from(moved) * s.fetch_per_token * far
            + f64::from(prefill_tokens) * c.prefill_per_token;
        if moved > 0 && cost < best.cost {
            best = Choice {
                fetch: Some(s.addr),
                cost,
                prefill_tokens,
                ..best
            };
        }
    }
    let ttft = best.cost + c.wait + c.network_delay;
    let eviction = f64::from(missing) * c.eviction_cost;
    Choice {
        fetch: best.fetch.or_else(|| likely_source(&c, sources)),
        cost: (ttft + eviction + c.penalty) * c.cost_factor,
        ttft,
        ..best
    }
}

/// Who may hold more than a candidate by the time that its turn to read comes.
fn likely_source<K: Copy, A: Copy + PartialEq>(
    c: &Candidate<K, A>,
    sources: &Sources<A>,
) -> Option<A> {
    let others = sources.soon.iter().filter(|s| s.addr != c.addr);
    let more = others.filter(|s| s.held_soon > c.held);
    let best = more.max_by_key(|s| (s.held_soon, s.domain == c.domain))?;
    Some(best.addr)
}
