//! The registry's era, which rises when the registry returns from a copy. No I/O.
//!
//! Invariant: the newest era never falls. An answer that states no era counts as one of the
//! newest era.

/// What an answer says about the registry's era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// Nothing new, or nothing that was not reported before.
    Nothing,
    /// The first era that was seen.
    First,
    /// The registry has returned from a copy.
    Risen {
        /// The newest era before.
        before: u64,
    },
    /// The answer is from an earlier era.
    Earlier,
    /// The answer states no era, though others did.
    Absent,
}

/// The newest era that was seen.
#[derive(Debug, Default)]
pub struct Tracker {
    newest: Option<u64>,
    has_reported_earlier: bool,
    has_reported_absent: bool,
}

impl Tracker {
    /// The newest era; zero before any was seen.
    pub fn newest(&self) -> u64 {
        self.newest.unwrap_or_default()
    }

    /// Takes note of the era that an answer states; returns the era that the answer counts as.
    pub fn date(&mut self, stated: Option<u64>) -> (u64, Notice) {
        let Some(era) = stated else {
            let is_new = self.newest.is_some() && !self.has_reported_absent;
            self.has_reported_absent |= is_new;
            return (self.newest(), if is_new { Notice::Absent } else { Notice::Nothing });
        };
        let notice = match self.newest {
            None => Notice::First,
            Some(before) if era > before => Notice::Risen { before },
            Some(newest) if era < newest && !self.has_reported_earlier => {
                self.has_reported_earlier = true;
                Notice::Earlier
            }
            Some(_) => Notice::Nothing,
        };
        if matches!(notice, Notice::First | Notice::Risen { .. }) {
            *self = Self { newest: Some(era), ..Self::default() };
        }
        (era, notice)
    }
}
