//! Settings of membership and dissemination, with the reasons for their defaults.

use model::Micros;

use crate::Keyring;

/// Settings of a [`Fleet`](crate::Fleet).
///
/// All members should use the same values, but temporary differences do no harm.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Keys that seal and open datagrams.
    pub keys: Keyring,
    /// Wall-clock time (microseconds since 1970) at [`Micros::ZERO`] of the driver's clock. Used
    /// only for the expiry of convictions.
    pub epoch: Micros,
    /// Time between two probes by this process. Since every member probes, a dead member is first
    /// noticed after about one period, whatever the fleet size.
    pub probe_period: Micros,
    /// How long to wait for a direct ack before requesting indirect probes. Ten times the round
    /// trip within a region and five times that between regions.
    pub ack_timeout: Micros,
    /// Number of indirect probes for a member that sent no ack. With 1% loss, a live member is
    /// missed on all paths about once in a million probes.
    pub indirect_probes: usize,
    /// Shortest suspicion timeout, in periods times the decimal logarithm of the number of live
    /// members: time for the suspicion to reach the suspected member and for the refutation to
    /// spread.
    pub suspicion_mult: f64,
    /// Longest suspicion timeout, as a multiple of the shortest; applies until other members
    /// confirm the suspicion.
    pub suspicion_max_mult: f64,
    /// Number of confirmations that reduce the suspicion timeout to the shortest.
    pub confirmations: u32,
    /// Highest local health score; the score lengthens the probe period and timeouts.
    pub health_score_max: u32,
    /// Time between two rounds of gossip datagrams while updates are queued.
    pub gossip_interval: Micros,
    /// Number of members that receive each such round.
    pub fanout: usize,
    /// Number of members notified at once when a configuration is adopted.
    pub config_fanout: usize,
    /// Transmissions of an update, per decimal logarithm of the number of live members.
    pub retransmit_mult: f64,
    /// Time between two comparisons of the whole view with another member (anti-entropy); grows
    /// with the fleet size.
    pub sync_interval: Micros,
    /// Time between two attempts to reach a dead member or an unknown seed, which reunites a split
    /// fleet.
    pub reconnect_interval: Micros,
    /// How long a dead or departed member is kept as a tombstone; longer than the longest split of
    /// regions.
    pub tombstone_ttl: Micros,
    /// Number of members that read the table.
    pub table_readers: usize,
    /// Time between two reads by a reader.
    pub read_interval: Micros,
    /// Longest time between reads while the table is unavailable.
    pub read_interval_max: Micros,
    /// Timeout of a pull. No other pull runs meanwhile, so a lost answer to a pull of a complete
    /// list delays a change by that long; an answer that arrives later is still used.
    pub pull_timeout: Micros,
    /// How long a joining process waits for the complete list before it asks another member; the
    /// list of 1,180 members has 118 KB and takes a few round trips.
    pub join_pull_timeout: Micros,
    /// Initial timeout of a pull of the text alone; doubles with each failure. A few kilobytes
    /// take two round trips, so this is ten times what they need within a region.
    pub config_pull_timeout: Micros,
    /// First backoff after a failed pull; doubles.
    pub pull_backoff: Micros,
    /// Longest backoff after failed pulls.
    pub pull_backoff_max: Micros,
    /// First wait for an answer from seeds; doubles up to [`Self::reconnect_interval`].
    pub join_backoff: Micros,
}

impl Settings {
    /// The default settings with the given keys.
    pub fn new(keys: Keyring) -> Self {
        Self {
            keys,
            epoch: Micros::ZERO,
            probe_period: Micros::from_millis(500),
            ack_timeout: Micros::from_millis(150),
            indirect_probes: 3,
            suspicion_mult: 4.0,
            suspicion_max_mult: 6.0,
            confirmations: 3,
            health_score_max: 8,
            gossip_interval: Micros::from_millis(200),
            fanout: 2,
            config_fanout: 4,
            retransmit_mult: 4.0,
            sync_interval: Micros::from_secs(30),
            reconnect_interval: Micros::from_secs(5),
            tombstone_ttl: Micros::from_secs(2 * 3_600),
            table_readers: 3,
            read_interval: Micros::from_secs(1),
            read_interval_max: Micros::from_secs(30),
            pull_timeout: Micros::from_secs(1),
            join_pull_timeout: Micros::from_millis(500),
            config_pull_timeout: Micros::from_millis(250),
            pull_backoff: Micros::from_millis(50),
            pull_backoff_max: Micros::from_secs(5),
            join_backoff: Micros::from_millis(200),
        }
    }
}
