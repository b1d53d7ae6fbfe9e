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
    pub period: Micros,
    /// How long to wait for a direct answer before others are asked to ping. Ten times the
    /// round trip within a region and five times that between regions.
    pub ack_wait: Micros,
    /// How many members are asked to ping one that didn't answer. With 1% loss a live one is
    /// missed by all three ways about once in a million pings.
    pub relays: usize,
    /// Shortest suspicion, in periods times the decimal logarithm of the live members: time for
    /// the accusation to reach the accused and for its answer to spread.
    pub suspicion: f64,
    /// Longest suspicion, as a multiple of the shortest; holds until others confirm it.
    pub suspicion_max: f64,
    /// Confirmations by other members that bring the longest down to the shortest.
    pub confirmations: u32,
    /// Highest value of the local health score, which stretches period and waits.
    pub health_max: u32,
    /// Time between two rounds of spare datagrams while there is something to tell.
    pub gossip_every: Micros,
    /// Members told in each such round.
    pub fanout: usize,
    /// Members told at once when a configuration was adopted.
    pub burst: usize,
    /// How often an update is passed on, times the decimal logarithm of the live members.
    pub retransmit: f64,
    /// Time between two comparisons of the whole view with some member, before scaling with
    /// the size.
    pub sync_every: Micros,
    /// Time between two tries to reach a dead member or an unknown seed; heals splits.
    pub heal_every: Micros,
    /// How long a dead or departed member is remembered; more than the longest split of regions.
    pub forget_after: Micros,
    /// Readers of the table at any time.
    pub readers: usize,
    /// Time between two reads of a reader.
    pub read_every: Micros,
    /// Longest time between reads while the table is away.
    pub read_max: Micros,
    /// How long a pull may take. Nothing else is pulled meanwhile, so a lost answer to a whole list
    /// holds up a change for that long; an answer that comes later is still taken.
    pub pull_wait: Micros,
    /// How long a process that joins waits for the whole list before it asks another member; the
    /// list of 1,180 members has 118 KB and takes a few round trips.
    pub join_wait: Micros,
    /// How long a pull of the text alone may take at first; doubles with each failure. Kilobytes
    /// take two round trips, so this is ten times what they need within a region.
    pub text_wait: Micros,
    /// First wait after a failed pull; doubles.
    pub pull_retry: Micros,
    /// Longest wait after failed pulls.
    pub pull_max: Micros,
    /// First wait for an answer from seeds; doubles up to [`Self::heal_every`].
    pub join_retry: Micros,
}

impl Settings {
    /// The defaults with the fleet's keys.
    pub fn new(keys: Keyring) -> Self {
        Self {
            keys,
            epoch: Micros::ZERO,
            period: Micros::from_millis(500),
            ack_wait: Micros::from_millis(150),
            relays: 3,
            suspicion: 4.0,
            suspicion_max: 6.0,
            confirmations: 3,
            health_max: 8,
            gossip_every: Micros::from_millis(200),
            fanout: 2,
            burst: 4,
            retransmit: 4.0,
            sync_every: Micros::from_secs(30),
            heal_every: Micros::from_secs(5),
            forget_after: Micros::from_secs(2 * 3_600),
            readers: 3,
            read_every: Micros::from_secs(1),
            read_max: Micros::from_secs(30),
            pull_wait: Micros::from_secs(1),
            join_wait: Micros::from_millis(500),
            text_wait: Micros::from_millis(250),
            pull_retry: Micros::from_millis(50),
            pull_max: Micros::from_secs(5),
            join_retry: Micros::from_millis(200),
        }
    }
}
