//! Targets that have asked this entry for rest: drives [`policy::rest`] with answers.

use model::Micros;
use platform::replica::AnswerHead;
use site::Boot;

use super::fleet::BootKey;
use super::Ctx;
use crate::log::{self, Event};

/// How long a target still rests, if it does.
pub(super) fn left(ctx: &Ctx, now: Micros, boot: &Boot) -> Option<Micros> {
    let rests = ctx.rests.borrow();
    if rests.is_empty() {
        return None;
    }
    rests.left(now, BootKey::new(boot))
}

/// Reads the head of an answer that a target itself has given; returns whether it asks for rest.
pub(super) fn observe(ctx: &Ctx, boot: &Boot, head: &AnswerHead) -> bool {
    let asked: Micros = match &head.rest {
        Ok(Some(rest)) => (*rest).into(),
        Ok(None) => return false,
        Err(e) => {
            log::event(&Event::BadRest {
                target: &boot.id,
                error: &e.to_string(),
            });
            return false;
        }
    };
    let rest = {
        let mut rests = ctx.rests.borrow_mut();
        rests.record(ctx.now(), BootKey::new(boot), asked)
    };
    log::event(&Event::Rest {
        target: &boot.id,
        rest_ms: rest.as_millis(),
        asked_ms: asked.as_millis(),
    });
    rest > Micros::ZERO
}
