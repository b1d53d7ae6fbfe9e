//! The connections between entries and sidecars, and how they break.

use super::{Conn, Down, Fate, Late, Up, World};

impl World {
    pub(super) fn dial(&mut self, side: usize) -> usize {
        let cut = self.cuts.pop_front().flatten();
        self.conns.push(Conn {
            side,
            cut,
            ..Conn::default()
        });
        self.conns.len() - 1
    }

    /// Counts a frame; true if it gets through.
    fn passes(&mut self, conn: usize, up: bool) -> bool {
        let c = &mut self.conns[conn];
        let n = c.sent[usize::from(up)];
        c.sent[usize::from(up)] += 1;
        let struck = c.cut.is_some_and(|k| k.up == up && k.at == n) && !c.broken;
        if !struck {
            return !c.broken;
        }
        c.broken = true;
        let (side, half) = (c.side, c.cut.is_some_and(|k| k.late != Late::Never));
        if !half {
            c.carry = None;
        }
        match std::mem::replace(&mut self.fate, Fate::Same) {
            Fate::Same => {}
            Fate::Restarted => self.restart(side),
            Fate::Nobody => {
                self.restart(side);
                self.sides[side].gone = true;
            }
        }
        false
    }

    pub(super) fn send(&mut self, conn: usize, frame: Up) {
        let passes = self.passes(conn, true);
        let c = &mut self.conns[conn];
        match (passes, c.cut) {
            (true, _) => c.up.push_back(frame),
            (false, Some(k)) if k.late != Late::Never => c.late.push_back(frame),
            _ => {}
        }
    }

    pub(super) fn answer(&mut self, conn: usize, frame: Down) {
        if self.passes(conn, false) {
            self.conns[conn].down.push_back(frame);
        }
    }

    /// Lets arrive what comes late, after a frame was served on another connection.
    pub(super) fn ripen(&mut self, served: usize) {
        for i in (0..self.conns.len()).filter(|&i| i != served) {
            if self.conns[i].cut.is_some_and(|c| c.late == Late::Next) {
                self.arrive(i);
            }
        }
    }

    pub(super) fn arrive(&mut self, conn: usize) {
        for f in std::mem::take(&mut self.conns[conn].late) {
            self.serve(conn, f);
        }
    }
}
