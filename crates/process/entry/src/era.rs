//! The registry's era, which rises when the registry returns from a copy. No I/O.
//!
//! Invariant: the newest era never falls.

/// What an answer of the registry says about its era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// Nothing new.
    Nothing,
    /// The registry has returned from a copy: the newest era was `before`.
    Risen {
        /// The era before; `None` if this is the first one seen.
        before: Option<u64>,
    },
    /// The answer is from an earlier era than the newest one.
    Earlier,
    /// The answer doesn't state an era, though answers before it did.
    Absent,
}

/// The newest era that was seen.
#[derive(Debug, Default)]
pub struct Tracker {
    newest: Option<u64>,
}

impl Tracker {
    /// The newest era; zero before any was seen.
    pub fn newest(&self) -> u64 {
        self.newest.unwrap_or_default()
    }

    /// Takes note of the era that an answer states, if it states one.
    pub fn observe(&mut self, era: Option<u64>) -> Notice {
        match (era, self.newest) {
            (None, Some(_)) => Notice::Absent,
            (Some(era), Some(newest)) if era < newest => Notice::Earlier,
            (Some(era), newest) if newest != Some(era) => {
                self.newest = Some(era);
                Notice::Risen { before: newest }
            }
            _ => Notice::Nothing,
        }
    }
}
