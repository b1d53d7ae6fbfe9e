//! Choosing an engine by the estimated time to the first token (TTFT), without probes.
//!
//! Load pattern: a hundred subjects have long shared openings, and all entries send requests for each of
//! them. Engines differ in speed, and their memory holds only a part of all openings. Sending each subject to
//! one engine builds a queue at the engines of hot subjects. Spreading by load alone prefills every opening
//! on every engine, which costs more than all other work. New weights empty the engines' caches one after the
//! other.
//!
//! An opening that an engine is about to prefill will soon be cached there. Another engine that meanwhile
//! gets a prompt with the same opening is given the first engine's address to fetch from: the opening may be
//! there when the prompt leaves the queue, and a fetch in vain costs a millisecond. On two fleets of nine
//! engines that take new weights six times in 35 s, 102,000 to 131,000 shared tokens were prefilled again in
//! four runs with this, and 152,000 in one run of each fleet without it.
//!
//! All costs are in one unit, milliseconds until the first token: the wait before the prompt, prefill of the
//! tokens that the engine doesn't hold, fetching tokens that others hold, and network delay. A fetch is
//! chosen where it is faster than prefill, so load can be spread without prefilling twice.
//!
//! Tokens that an engine takes in evict other tokens, which are then prefilled again for other requests. Each
//! token that the engine doesn't hold yet therefore costs a little more than the time to bring it there.
//! Without this cost, more copies are made the more exactly loads are known: on 56 engines at full load the
//! shared tokens prefilled again rose from 4.9 to 9.0 million in 34 s when loads became exact.
//!
//! Prefill of 6,300 tokens takes 120 to 140 ms, fetching them takes 4 to 30 ms from an engine and some 50 ms
//! from a store; waiting for an engine that holds them is worth no more than that. Only the few best holders
//! of each failure domain are compared, as the others would take as long.

/// Factor for the time of a fetch between failure domains.
const CROSS_DOMAIN_FACTOR: f64 = 2.0;
/// Sources compared in each failure domain: the best one, and a second in case the best is the candidate itself.
const PER_DOMAIN: usize = 2;

/// An engine that may run the prompt, and its costs.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<K, A> {
    /// The engine.
    pub key: K,
    /// Its address.
    pub addr: A,
    /// Its failure domain.
    pub domain: u64,
    /// Milliseconds until prefill begins, given the requests that run and wait there.
    pub wait: f64,
    /// Milliseconds to prefill a token.
    pub prefill_per_token: f64,
    /// Tokens of the prompt that it holds.
    pub held: u32,
    /// Milliseconds charged for each token that it doesn't hold yet, for the tokens evicted there.
    pub eviction_cost: f64,
    /// Network delay in milliseconds.
    pub network_delay: f64,
    /// Milliseconds that count against it without being waited for, such as by its place in the subject's own order
    /// of engines.
    pub penalty: f64,
    /// Milliseconds by which it is cheaper, whatever its cost factor, since it should get a copy of the opening.
    pub discount: f64,
    /// Factor on the cost; above 1 for engines that failed recently or whose answers are worth less.
    pub cost_factor: f64,
}

/// An engine or store that holds a part of the prompt.
#[derive(Clone, Copy, Debug)]
pub struct Source<A> {
    /// Its address.
    pub addr: A,
    /// Its failure domain.
    pub domain: u64,
    /// Tokens of the prompt that it holds.
    pub held: u32,
    /// Tokens of the prompt that it will hold once its pending work is done.
    pub held_soon: u32,
    /// Milliseconds to fetch a token within a failure domain.
    pub fetch_per_token: f64,
    /// Milliseconds before the first token is transferred.
    pub fetch_setup: f64,
}

/// The sources worth comparing.
#[derive(Clone, Debug)]
pub struct Sources<A> {
    held: Vec<Source<A>>,
    soon: Vec<Source<A>>,
    /// Cost of moving a token between domains, in milliseconds that aren't waited for.
    cross_domain_cost: f64,
}

impl<A: Copy> Sources<A> {
    /// Selects the best sources. The first of equals is kept, so callers that rotate the order spread the fetches over
    /// the sources.
    pub fn new(all: impl IntoIterator<Item = Source<A>>) -> Self {
        let mut sources = Self {
            held: Vec::new(),
            soon: Vec::new(),
            cross_domain_cost: 0.0,
        };
        for s in all {
            keep(&mut sources.held, s, |s| s.held);
            keep(&mut sources.soon, s, |s| s.held_soon);
        }
        sources
    }

    /// Sets the cost of moving a token between failure domains, in milliseconds that aren't waited for.
    pub fn set_cross_domain_cost(&mut self, cost: f64) {
        self.cross_domain_cost = cost;
    }

    /// Number of sources that each candidate is compared with.
    pub fn count(&self) -> usize {
        self.held.len() + self.soon.len()
    }
}

/// Keeps a source if it is among the best of its failure domain.
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

/// The engine chosen for a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice<K, A> {
    /// The engine.
    pub key: K,
    /// Address of the source that the engine fetches from.
    pub fetch: Option<A>,
    /// The value that was minimized: the time until the first token with all penalties of the engine.
    pub cost: f64,
    /// Estimated milliseconds until the first token.
    pub ttft: f64,
    /// Milliseconds of these until prefill begins.
    pub wait: f64,
    /// Tokens that it prefills.
    pub prefill_tokens: u32,
}

/// Chooses the engine with the least cost for a prompt of `tokens` tokens. The first of equals wins, so callers that
/// rotate the order spread the prompts.
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
    let mut bytes = 0.0;
    for s in sources.held.iter().filter(|s| s.addr != c.addr) {
        let moved = s.held.saturating_sub(c.held);
        let prefill_tokens = missing - moved.min(missing);
        let (far, charge) = if s.domain == c.domain {
            (1.0, 0.0)
        } else {
            (CROSS_DOMAIN_FACTOR, sources.cross_domain_cost)
        };
        let charge = f64::from(moved) * charge;
        let cost = s.fetch_setup
            + f64::from(moved) * s.fetch_per_token * far
            + f64::from(prefill_tokens) * c.prefill_per_token;
        if moved > 0 && cost + charge < best.cost + bytes {
            bytes = charge;
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
        // The discount isn't multiplied: a sum below zero would make a failing engine the cheapest.
        cost: (ttft + bytes + eviction + c.penalty) * c.cost_factor - c.discount,
        ttft,
        ..best
    }
}

/// Address of a source that may hold more than the candidate by the time the candidate's prefill begins.
fn likely_source<K: Copy, A: Copy + PartialEq>(
    c: &Candidate<K, A>,
    sources: &Sources<A>,
) -> Option<A> {
    let others = sources.soon.iter().filter(|s| s.addr != c.addr);
    // Bytes that cost more than the prefill that they save aren't moved.
    let is_worth =
        |s: &&Source<A>| s.domain == c.domain || sources.cross_domain_cost < c.prefill_per_token;
    let more = others.filter(|s| s.held_soon > c.held).filter(is_worth);
    let best = more.max_by_key(|s| (s.held_soon, s.domain == c.domain))?;
    Some(best.addr)
}
