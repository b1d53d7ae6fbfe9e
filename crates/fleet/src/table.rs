//! Which members read the platform's table, and when.
//!
//! The table handles about two thousand reads a second for all clients. If each of 1,180 members
//! read it once a second, that would use more than half, and a mass restart with synchronized
//! reads would use all of it. So only the few members with the highest rendezvous scores read it
//! for the fleet. Views that differ for a while yield a few readers more or fewer, which does no
//! harm.

use model::{MemberId, Micros};

use crate::view::mix;
use crate::{Action, Fleet, MemberState, TableRead, TableRow};

/// Base delay of the first read while other members may still be found; with jitter, a cold start
/// of 1,180 members spreads its reads between half and one and a half times this delay.
const JOIN_READ_WAIT: Micros = Micros::from_secs(3);
/// Base delay of the first read of a process that was given no seeds.
const NO_SEEDS_READ_WAIT: Micros = Micros::from_millis(100);
/// Factor on the read interval of a process without live members in its view. If all 1,180 members
/// were cut off from each other but not from the table, they would together read it 236 times a
/// second.
const ISOLATED_FACTOR: u64 = 5;
/// Random delay per member of the fleet before a contested version is looked up in the table;
/// limits these reads to a hundred a second.
const CONTEST_WAIT_PER_MEMBER: Micros = Micros::from_millis(10);
/// How long to wait for the answer to a read.
const READ_TIMEOUT: Micros = Micros::from_secs(10);

/// State of table reads.
pub(crate) struct TableReader {
    read_at: Micros,
    /// Read next time even if this process is not one of the readers.
    forced: bool,
    /// Whether a read has no answer yet.
    in_flight: bool,
    /// Consecutive failed reads.
    failures: u32,
}

impl Default for TableReader {
    fn default() -> Self {
        Self {
            read_at: Micros::MAX,
            forced: false,
            in_flight: false,
            failures: 0,
        }
    }
}

impl TableReader {
    /// When the next read is due.
    pub(crate) fn due(&self) -> Micros {
        self.read_at
    }
}

impl Fleet {
    /// Schedules the first read.
    pub(crate) fn start_reads(&mut self) {
        let wait = self.jitter(NO_SEEDS_READ_WAIT);
        self.reader.read_at = self.now + wait;
    }

    /// Postpones the first read while other members may still be found.
    pub(crate) fn delay_reads(&mut self) {
        if self.counters.table_reads == 0 {
            let wait = self.jitter(JOIN_READ_WAIT);
            self.reader.read_at = self.now + wait;
        }
    }

    /// Reads the table if a read is due and this process is a reader or a read is forced. A read
    /// without an answer counts as failed.
    pub(crate) fn run_reads(&mut self, out: &mut Vec<Action>) {
        if self.reader.read_at > self.now {
            return;
        }
        if self.reader.in_flight {
            self.reader.failures += 1;
            self.reader.in_flight = false;
        }
        if self.reader.forced || self.is_reader() {
            self.reader.forced = false;
            self.reader.in_flight = true;
            self.counters.table_reads += 1;
            self.reader.read_at = self.now + READ_TIMEOUT;
            out.push(Action::ReadTable);
        } else {
            self.schedule_read();
        }
    }

    /// Handles the result of a read. The table decides between two texts of one version.
    pub(crate) fn table_read(&mut self, read: TableRead, out: &mut Vec<Action>) {
        self.reader.in_flight = false;
        match read {
            Ok(row) => {
                self.reader.failures = 0;
                self.schedule_read();
                row.into_iter().for_each(|r| self.evaluate_row(r, out));
            }
            Err(_) => {
                self.counters.table_read_failures += 1;
                self.reader.failures += 1;
                self.reader.forced = self.spread.contested;
                self.schedule_read();
            }
        }
    }

    /// Records that the table holds the digest in force here.
    pub(crate) fn mark_proven(&mut self) {
        self.spread.proven = true;
        if self.spread.contested {
            self.spread.contested = false;
            self.reader.forced = false;
        }
    }

    /// Forces a read within the given time, whether or not this process is a reader.
    pub(crate) fn read_soon(&mut self, wait: Micros) {
        if self.reader.in_flight || self.reader.forced {
            return;
        }
        self.reader.forced = true;
        self.reader.read_at = self.reader.read_at.min(self.now + wait);
    }

    /// Schedules a read to find out which of two texts the table holds; the reads of all members
    /// are spread over time.
    pub(crate) fn resolve_by_table(&mut self) {
        if !self.spread.contested {
            self.spread.contested = true;
            let step = CONTEST_WAIT_PER_MEMBER.0 * self.size() as u64;
            let wait = self.within(Micros(step));
            self.read_soon(wait);
        }
    }

    /// Compares the row of the table with the configuration in force here.
    fn evaluate_row(&mut self, row: TableRow, out: &mut Vec<Action>) {
        let mine = &self.spread.row;
        let same = row.version == mine.version;
        if crate::Digest::of(&row.text) != row.digest {
            self.counters.table_read_failures += 1;
        } else if row.version < mine.version {
            self.counters.table_behind += 1;
        } else if same && row.digest == mine.digest {
            self.mark_proven();
        } else {
            self.adopt(row, true, out);
            self.announce_config(MemberId(0), out);
        }
    }

    /// Schedules the next regular read, with backoff after failures.
    fn schedule_read(&mut self) {
        let every = match self.view.live() {
            0 => self.settings.read_interval.0 * ISOLATED_FACTOR,
            _ => self.settings.read_interval.0,
        };
        let wait =
            Micros(every << self.reader.failures.min(8)).min(self.settings.read_interval_max);
        let wait = self.jitter(wait.max(Micros(every)));
        self.reader.read_at = self.now + wait;
    }

    /// Whether this process has one of the highest scores among the live members.
    fn is_reader(&self) -> bool {
        let score = |id: MemberId| mix(id.0, 0x7461_626c);
        let mine = score(self.me.id);
        let live = self.members().filter(|m| m.state == MemberState::Alive);
        let above = live.filter(|m| score(m.id) > mine);
        above.take(self.settings.table_readers).count() < self.settings.table_readers
    }
}
