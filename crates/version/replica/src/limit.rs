//! What the replies of a server in need say about a limit on its requests. No I/O.

use base::time::Time;
use share::limit::Limit;

/// What a server's reply says about a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Stated {
    /// It names none.
    #[default]
    Absent,
    /// It names one that is not a number from zero upwards.
    Unreadable,
    /// The requests per second that it takes from all nodes together.
    PerSecond(f64),
}

/// How a reply changed what is known of a server's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// Nothing, or only the figure.
    Same,
    /// It names a limit from now on.
    Named,
    /// It no longer names one.
    Ended,
    /// From now on it names one that can't be read; what was known before still holds.
    Unreadable,
}

/// Applies what the reply to a request that was sent at `sent` states to what is known.
pub(crate) fn apply(limit: &mut Option<Limit>, now: Time, sent: Time, stated: Stated) -> Change {
    match (stated, limit.as_mut()) {
        (Stated::PerSecond(per_second), Some(known)) => {
            known.restate(now, per_second);
            Change::Same
        }
        (Stated::PerSecond(per_second), None) => {
            *limit = Some(Limit::new(now, now, per_second));
            Change::Named
        }
        // Replies may overtake each other: one to an earlier request says nothing newer.
        (Stated::Absent, Some(known)) if sent >= known.heard_at() => {
            *limit = None;
            Change::Ended
        }
        (Stated::Absent, _) => Change::Same,
        (Stated::Unreadable, _) => Change::Unreadable,
    }
}
