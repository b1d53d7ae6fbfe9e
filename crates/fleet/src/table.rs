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
const JOIN_WAIT: Micros = Micros::from_secs(3);
/// Wait before the first read of a process that was given no seeds.
const ALONE_WAIT: Micros = Micros::from_millis(100);
/// How much longer a process waits between reads that knows nobody: if each of 1,180 were cut
/// off from all others but not from the table, they would read 236 times a second together.
const LONELY: u64 = 5;
/// Share of the fleet's reads that settles a contested version, as a time for each member: a
/// hundred reads a second.
const CONTEST_STEP: Micros = Micros::from_millis(10);
/// How long an answer is awaited.
const ANSWER_MAX: Micros = Micros::from_secs(10);

/// State of the reads.
pub(crate) struct Reader {
    read_at: Micros,
    /// Read even if others are the readers.
    wanted: bool,
    open: bool,
    fails: u32,
}

impl Default for Reader {
    fn default() -> Self {
        Self {
            read_at: Micros::MAX,
            wanted: false,
            open: false,
            fails: 0,
        }
    }
}

impl Reader {
    pub(crate) fn due(&self) -> Micros {
        self.read_at
    }
}

impl Fleet {
    pub(crate) fn start_reads(&mut self) {
        let wait = self.jitter(ALONE_WAIT);
        self.reader.read_at = self.now + wait;
    }

    /// Puts the first read off while others may be found.
    pub(crate) fn delay_reads(&mut self) {
        if self.counters.table_reads == 0 {
            let wait = self.jitter(JOIN_WAIT);
            self.reader.read_at = self.now + wait;
        }
    }

    pub(crate) fn run_reads(&mut self, out: &mut Vec<Action>) {
        if self.reader.read_at > self.now {
            return;
        }
        if self.reader.open {
            self.reader.fails += 1;
            self.reader.open = false;
        }
        if self.reader.wanted || self.is_reader() {
            self.reader.wanted = false;
            self.reader.open = true;
            self.counters.table_reads += 1;
            self.reader.read_at = self.now + ANSWER_MAX;
            out.push(Action::ReadTable);
        } else {
            self.schedule_read();
        }
    }

    /// Takes in what the table says; it decides between two texts of one version.
    pub(crate) fn table_read(&mut self, read: TableRead, out: &mut Vec<Action>) {
        self.reader.open = false;
        match read {
            Ok(row) => {
                self.reader.fails = 0;
                self.schedule_read();
                row.into_iter().for_each(|r| self.weigh_row(r, out));
            }
            Err(_) => {
                self.counters.table_read_failures += 1;
                self.reader.fails += 1;
                self.reader.wanted = self.spread.contested;
                self.schedule_read();
            }
        }
    }

    /// The digest here is known to be the table's.
    pub(crate) fn settle(&mut self) {
        self.spread.proven = true;
        if self.spread.contested {
            self.spread.contested = false;
            self.reader.wanted = false;
        }
    }

    /// Reads within a time, reader or not.
    pub(crate) fn read_soon(&mut self, wait: Micros) {
        if self.reader.open || self.reader.wanted {
            return;
        }
        self.reader.wanted = true;
        self.reader.read_at = self.reader.read_at.min(self.now + wait);
    }

    /// Asks the table which of two texts holds, spread over the fleet.
    pub(crate) fn contest(&mut self) {
        if !self.spread.contested {
            self.spread.contested = true;
            let step = CONTEST_STEP.0 * self.size() as u64;
            let wait = self.within(Micros(step));
            self.read_soon(wait);
        }
    }

    fn weigh_row(&mut self, row: TableRow, out: &mut Vec<Action>) {
        let mine = &self.spread.row;
        let same = row.version == mine.version;
        if crate::Digest::of(&row.text) != row.digest {
            self.counters.table_read_failures += 1;
        } else if row.version < mine.version {
            self.counters.table_behind += 1;
        } else if same && row.digest == mine.digest {
            self.settle();
        } else {
            self.adopt(row, true, out);
            self.announce_config(MemberId(0), out);
        }
    }

    fn schedule_read(&mut self) {
        let every = match self.view.live() {
            0 => self.set.read_every.0 * LONELY,
            _ => self.set.read_every.0,
        };
        let wait = Micros(every << self.reader.fails.min(8)).min(self.set.read_max);
        let wait = self.jitter(wait.max(Micros(every)));
        self.reader.read_at = self.now + wait;
    }

    /// Whether this process is among the highest scores of the live view.
    fn is_reader(&self) -> bool {
        let score = |id: MemberId| mix(id.0, 0x7461_626c);
        let mine = score(self.me.id);
        let live = self.members().filter(|m| m.state == MemberState::Alive);
        let above = live.filter(|m| score(m.id) > mine);
        above.take(self.set.readers).count() < self.set.readers
    }
}
