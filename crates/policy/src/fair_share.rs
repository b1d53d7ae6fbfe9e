//! Division of a pool's capacity by rank, then by team.
//!
//! Load pattern: more work arrives than a pool can serve. If whoever comes first is served, a team
//! that sends many times its usual load takes the capacity of all others, and work that may wait
//! takes that of work that may not.
//!
//! A more urgent rank is served before a less urgent one, which gets only what the forecast need of
//! the more urgent ranks leaves. Within a rank, each team gets capacity in proportion to its weight.
//! What a team doesn't use is lent to the others (max-min fairness, water filling). So a rank is cut
//! only if it needs all that is left, and then all less urgent ranks get nothing.

/// Ranks that routes are distinguished by among requests of equal rank.
const ROUTE_RANKS: u8 = 16;

/// The rank by which room is divided: by the request's rank, which may be its team's, then by its
/// route's. Where teams have ranks of their own, short questions and work that may wait would otherwise
/// be cut alike.
pub fn combined_rank(rank: u8, route: u8) -> u8 {
    let rank = rank.saturating_mul(ROUTE_RANKS);
    rank.saturating_add(route.min(ROUTE_RANKS - 1))
}

/// Work of one team at one rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Weight of the team relative to others of the rank; above 0.
    pub weight: f64,
    /// Demand in the unit of the capacity.
    pub demand: f64,
}

/// Divides a capacity; returns what each claim gets, at most its demand. `forecast` returns the need
/// of a rank that is expected, given its demand.
pub fn divide(
    capacity: f64,
    claims: &[Claim],
    mut forecast: impl FnMut(u8, f64) -> f64,
) -> Vec<f64> {
    let mut order: Vec<usize> = (0..claims.len()).collect();
    // The claims of a rank in the order in which rising water would meet them.
    order.sort_by(|a, b| {
        let (a, b) = (&claims[*a], &claims[*b]);
        let level = |c: &Claim| c.demand / c.weight;
        a.rank.cmp(&b.rank).then(level(a).total_cmp(&level(b)))
    });
    let mut given = vec![0.0; claims.len()];
    let mut left = capacity.max(0.0);
    for rank in order.chunk_by(|a, b| claims[*a].rank == claims[*b].rank) {
        let mut rest = left;
        let mut weights: f64 = rank.iter().map(|i| claims[*i].weight).sum();
        for i in rank {
            let claim = claims[*i];
            given[*i] = claim.demand.min(rest * claim.weight / weights);
            rest = (rest - given[*i]).max(0.0);
            weights -= claim.weight;
        }
        let demand: f64 = rank.iter().map(|i| claims[*i].demand).sum();
        let number = rank.first().map_or(0, |i| claims[*i].rank);
        left = (left - forecast(number, demand).max(demand)).max(0.0);
    }
    given
}
