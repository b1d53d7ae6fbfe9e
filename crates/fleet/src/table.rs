//! Who reads the platform's table, and when.
//!
//! The table takes about two thousand reads a second for everyone. If each of 1,180 members
//! read it once a second, more than half of that would be gone, and a herd of restarts in step
//! would take all. So the few members with the highest rendezvous score read for the fleet; views
//! that differ for a while give a few readers more or fewer, which does no harm.

use model::{MemberId, Micros};

use crate::view::mix;
use crate::{Action, Fleet, MemberState, TableRead, TableRow};

/// Wait before the first read while others may still be found; spreads a cold start of 1,180
/// over this and half as much again.
const JOIN_READ_WAIT: Micros = Micros::from_secs(3);
/// Wait before the first read of a process that was given no seeds.
const NO_SEEDS_READ_WAIT: Micros = Micros::from_millis(100);
/// How much longer a process waits between reads that knows nobody: if each of 1,180 were cut
/// off from all others but not from the table, they would read 236 times a second together.
const ISOLATED_FACTOR: u64 = 5;
/// Share of the fleet's reads that settles a contested version, as a time for each member: a
/// hundred reads a second.
const CONTEST_WAIT_PER_MEMBER: Micros = Micros::from_millis(10);
/// How long an answer is awaited.
const READ_TIMEOUT: Micros = Micros::from_secs(10);

/// State of the reads.
pub(crate) struct TableReader {
    read_at: Micros,
    /// Read even if others are the readers.
    forced: bool,
    in_flight: bool,
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
    pub(crate) fn due(&self) -> Micros {
        self.read_at
    }
}

impl Fleet {
    pub(crate) fn start_reads(&mut self) {
        let wait = self.jitter(NO_SEEDS_READ_WAIT);
        self.reader.read_at = self.now + wait;
    }

    /// Puts the first read off while others may be found.
    pub(crate) fn delay_reads(&mut self) {
        if self.counters.table_reads == 0 {
            let wait = self.jitter(JOIN_READ_WAIT);
            self.reader.read_at = self.now + wait;
        }
    }

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

    /// Takes in what the table says; it decides between two texts of one version.
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

    /// The digest here is known to be the table's.
    pub(crate) fn mark_proven(&mut self) {
        self.spread.proven = true;
        if self.spread.contested {
            self.spread.contested = false;
            self.reader.forced = false;
        }
    }

    /// Reads within a time, reader or not.
    pub(crate) fn read_soon(&mut self, wait: Micros) {
        if self.reader.in_flight || self.reader.forced {
            return;
        }
        self.reader.forced = true;
        self.reader.read_at = self.reader.read_at.min(self.now + wait);
    }

    /// Asks the table which of two texts holds, spread over the fleet.
    pub(crate) fn resolve_by_table(&mut self) {
        if !self.spread.contested {
            self.spread.contested = true;
            let step = CONTEST_WAIT_PER_MEMBER.0 * self.size() as u64;
            let wait = self.within(Micros(step));
            self.read_soon(wait);
        }
    }

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

    /// Whether this process is among the highest scores of the live view.
    fn is_reader(&self) -> bool {
        let score = |id: MemberId| mix(id.0, 0x7461_626c);
        let mine = score(self.me.id);
        let live = self.members().filter(|m| m.state == MemberState::Alive);
        let above = live.filter(|m| score(m.id) > mine);
        above.take(self.settings.table_readers).count() < self.settings.table_readers
    }
}
