//! Connections between entries and sidecars, with the cuts that break them.

use super::{AfterCut, Conn, LateDelivery, Simulation, ToEntry, ToSidecar};

impl Simulation {
    pub(super) fn dial(&mut self, sidecar: usize) -> usize {
        let cut = self.cuts.pop_front().flatten();
        self.conns.push(Conn {
            sidecar,
            cut,
            ..Conn::default()
        });
        self.conns.len() - 1
    }

    /// Counts a sent frame and applies the connection's cut; true if the frame is delivered.
    fn passes(&mut self, conn: usize, up: bool) -> bool {
        let c = &mut self.conns[conn];
        let n = c.sent[usize::from(up)];
        c.sent[usize::from(up)] += 1;
        let struck = c.cut.is_some_and(|k| k.up == up && k.at == n) && !c.broken;
        if !struck {
            return !c.broken;
        }
        c.broken = true;
        let (sidecar, half) = (
            c.sidecar,
            c.cut.is_some_and(|k| k.late != LateDelivery::Never),
        );
        if !half {
            c.sender = None;
        }
        match std::mem::replace(&mut self.after_cut, AfterCut::Same) {
            AfterCut::Same => {}
            AfterCut::Restarted => self.restart(sidecar),
            AfterCut::Gone => {
                self.restart(sidecar);
                self.sidecars[sidecar].gone = true;
            }
        }
        false
    }

    pub(super) fn send(&mut self, conn: usize, frame: ToSidecar) {
        let passes = self.passes(conn, true);
        let c = &mut self.conns[conn];
        match (passes, c.cut) {
            (true, _) => c.up.push_back(frame),
            (false, Some(k)) if k.late != LateDelivery::Never => c.late.push_back(frame),
            _ => {}
        }
    }

    pub(super) fn answer(&mut self, conn: usize, frame: ToEntry) {
        if self.passes(conn, false) {
            self.conns[conn].down.push_back(frame);
        }
    }

    /// Delivers late frames of other connections after a frame was handled on `served`.
    pub(super) fn deliver_late(&mut self, served: usize) {
        for i in (0..self.conns.len()).filter(|&i| i != served) {
            if self.conns[i]
                .cut
                .is_some_and(|c| c.late == LateDelivery::Next)
            {
                self.deliver(i);
            }
        }
    }

    pub(super) fn deliver(&mut self, conn: usize) {
        for f in std::mem::take(&mut self.conns[conn].late) {
            self.serve(conn, f);
        }
    }
}
