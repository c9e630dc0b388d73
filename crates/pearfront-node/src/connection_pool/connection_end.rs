//! How the connection of an attempt ended, and what that says of the attempt.

use crate::counters::Counters;
use pearfront::interface::AttemptOutcome;

/// Every way in which an attempt's connection can end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// A whole answer, and the connection stands.
    Served,
    /// The server answered with an error.
    Error,
    /// The server says that it never ran the request.
    TurnedAway,
    /// The server says that nobody could use the request: no fault of its own, and the next one would say the same.
    TurnedDown,
    /// An answer that is none, or longer than allowed.
    Malformed,
    /// No connection came up: refused or silent.
    NeverUp,
    /// It broke before the request's last byte was written.
    BrokenBefore,
    /// It broke, or ended without a whole answer, after that.
    BrokenAfter,
    /// The node stopped waiting, before the last byte was written or after.
    TooLateBefore,
    TooLateAfter,
    /// The module called it off, before the last byte was written or after.
    CalledOffBefore,
    CalledOffAfter,
    /// Before anything was written the request was over, or its server drained or gone.
    NotSent,
    /// The first byte was to be written, and the request's client had gone; the connection goes with it.
    CallerGone,
    /// The same, and the guard refused it by then.
    Withheld,
}

impl ConnectionEnd {
    /// The one place where the module's word for it is found.
    pub fn ending(self) -> AttemptOutcome {
        match self {
            Self::Served => AttemptOutcome::Served,
            Self::Error | Self::Malformed => AttemptOutcome::Error,
            Self::TurnedAway => AttemptOutcome::Full,
            Self::NeverUp | Self::BrokenBefore | Self::TooLateBefore => AttemptOutcome::ConnectFailed,
            Self::BrokenAfter => AttemptOutcome::ConnectionLost,
            Self::TooLateAfter => AttemptOutcome::TimedOut,
            // Over without anything learned of the server.
            Self::CalledOffAfter | Self::TurnedDown => AttemptOutcome::Cancelled,
            Self::CalledOffBefore | Self::NotSent | Self::CallerGone | Self::Withheld => {
                AttemptOutcome::NeverSent
            }
        }
    }

    /// Is it proof that the request never ran?
    pub fn never_ran(self) -> bool {
        matches!(
            self.ending(),
            AttemptOutcome::Full | AttemptOutcome::ConnectFailed | AttemptOutcome::NeverSent
        )
    }

    /// Counted as what the module is told, but for what on-call staff look for by itself.
    pub fn count(self, book: &Counters) {
        let count = match self.ending() {
            AttemptOutcome::Error if self == Self::Malformed => &book.attempt_malformed,
            AttemptOutcome::Cancelled if self == Self::TurnedDown => &book.attempt_turned_down,
            AttemptOutcome::Served => &book.attempt_served,
            AttemptOutcome::Error => &book.attempt_error,
            AttemptOutcome::Full => &book.attempt_full,
            AttemptOutcome::ConnectFailed => &book.attempt_unconnected,
            AttemptOutcome::ConnectionLost => &book.attempt_broken,
            AttemptOutcome::TimedOut => &book.attempt_timed_out,
            AttemptOutcome::Cancelled => &book.attempt_called_off,
            AttemptOutcome::NeverSent => &book.attempt_never_sent,
        };
        count.add();
    }
}
