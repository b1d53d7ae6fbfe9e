//! Settings of membership and spread, with the grounds of their defaults.

use model::Micros;

use crate::Keyring;

/// All that a [`Fleet`](crate::Fleet) can be told before it starts.
///
/// All members should have the same values, but nothing breaks if they differ for a while.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Keys that seal and open datagrams.
    pub keys: Keyring,
    /// The wall clock (microseconds since 1970) at [`Micros::ZERO`] of the driver's clock. Only
    /// expiry times of convictions use it.
    pub epoch: Micros,
    /// Time between two pings of this process. A dead member is first missed by someone after
    /// about one period whatever the size, as all others ping.
    pub probe_period: Micros,
    /// How long to wait for a direct answer before others are asked to ping. Ten times the
    /// round trip within a region and five times that between regions.
    pub ack_timeout: Micros,
    /// How many members are asked to ping one that didn't answer. With 1% loss a live one is
    /// missed by all three ways about once in a million pings.
    pub indirect_probes: usize,
    /// Shortest suspicion, in periods times the decimal logarithm of the live members: time for
    /// the accusation to reach the accused and for its answer to spread.
    pub suspicion_mult: f64,
    /// Longest suspicion, as a multiple of the shortest; holds until others confirm it.
    pub suspicion_max_mult: f64,
    /// Confirmations by other members that bring the longest down to the shortest.
    pub confirmations: u32,
    /// Highest value of the local health score, which stretches period and waits.
    pub health_score_max: u32,
    /// Time between two rounds of spare datagrams while there is something to tell.
    pub gossip_interval: Micros,
    /// Members told in each such round.
    pub fanout: usize,
    /// Members told at once when a configuration was adopted.
    pub config_fanout: usize,
    /// How often an update is passed on, times the decimal logarithm of the live members.
    pub retransmit_mult: f64,
    /// Time between two comparisons of the whole view with some member, before scaling with
    /// the size.
    pub sync_interval: Micros,
    /// Time between two tries to reach a dead member or an unknown seed; heals splits.
    pub reconnect_interval: Micros,
    /// How long a dead or departed member is remembered; more than the longest split of regions.
    pub tombstone_ttl: Micros,
    /// Readers of the table at any time.
    pub table_readers: usize,
    /// Time between two reads of a reader.
    pub read_interval: Micros,
    /// Longest time between reads while the table is away.
    pub read_interval_max: Micros,
    /// How long a pull may take. Nothing else is pulled meanwhile, so a lost answer to a whole list
    /// holds up a change for that long; an answer that comes later is still taken.
    pub pull_timeout: Micros,
    /// How long a process that joins waits for the whole list before it asks another member; the
    /// list of 1,180 members has 118 KB and takes a few round trips.
    pub join_pull_timeout: Micros,
    /// How long a pull of the text alone may take at first; doubles with each failure. Kilobytes
    /// take two round trips, so this is ten times what they need within a region.
    pub config_pull_timeout: Micros,
    /// First wait after a failed pull; doubles.
    pub pull_backoff: Micros,
    /// Longest wait after failed pulls.
    pub pull_backoff_max: Micros,
    /// First wait for an answer from seeds; doubles up to [`Self::heal_every`].
    pub join_backoff: Micros,
}

impl Settings {
    /// The defaults with the fleet's keys.
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
