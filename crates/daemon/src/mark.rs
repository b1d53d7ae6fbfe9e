//! Fingerprints of requests under suspicion, as the fleet passes them on.
//!
//! The fleet spreads one kind of mark. A request under which one target died is a suspect, one
//! under which two died is convicted; the bit above the fingerprint tells which.

const CONVICTED: u128 = 1 << 64;

/// The mark of a fingerprint.
pub fn encode(print: u64, convicted: bool) -> u128 {
    u128::from(print) | if convicted { CONVICTED } else { 0 }
}

/// The fingerprint of a mark, and whether it is convicted.
pub fn decode(mark: u128) -> (u64, bool) {
    (mark as u64, mark & CONVICTED != 0)
}
