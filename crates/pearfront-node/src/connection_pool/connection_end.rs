//! How the connection of an attempt ended, and what that means for the attempt. Used by `dispatcher`, and by the
//! decoder of answers.

use crate::counters::Counters;
use pearfront::interface::AttemptOutcome;

/// All the ways in which an attempt's connection can end. The names are printed in log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// A complete answer, and the connection is still open.
    Served,
    /// The server answered with an error.
    Error,
    /// The server reports that it never ran the request.
    TurnedAway,
    /// The server rejected the request as invalid: no fault of the server, and any other would answer the
    /// same.
    TurnedDown,
    /// An invalid answer, or one that is longer than allowed.
    Malformed,
    /// No connection was established: refused, or no response.
    NeverUp,
    /// The connection broke before the request's last byte was written.
    BrokenBefore,
    /// The connection broke, or ended without a complete answer, after the request's last byte was written.
    BrokenAfter,
    /// The node stopped waiting, before the last byte was written or after.
    TooLateBefore,
    TooLateAfter,
    /// The decision module called the attempt off, before the last byte was written or after.
    CalledOffBefore,
    CalledOffAfter,
    /// Nothing was written: the request had ended, or its server was draining or gone.
    NotSent,
    /// When the first byte was about to be written, the request's client had left. The connection is closed.
    CallerGone,
    /// When the first byte was about to be written, the guard refused it. The connection is closed.
    Withheld,
    /// When the first byte was about to be written, the server had closed the reused connection or sent
    /// unsolicited data on it. The connection is closed.
    Stale,
}

impl ConnectionEnd {
    /// The ending that is reported to the decision module.
    pub fn ending(self) -> AttemptOutcome {
        match self {
            Self::Served => AttemptOutcome::Served,
            Self::Error | Self::Malformed => AttemptOutcome::Error,
            Self::TurnedAway => AttemptOutcome::Full,
            Self::NeverUp | Self::BrokenBefore | Self::TooLateBefore => AttemptOutcome::ConnectFailed,
            Self::BrokenAfter => AttemptOutcome::ConnectionLost,
            Self::TooLateAfter => AttemptOutcome::TimedOut,
            // Ended without showing anything about the server.
            Self::CalledOffAfter | Self::TurnedDown => AttemptOutcome::Cancelled,
            Self::CalledOffBefore | Self::NotSent | Self::CallerGone | Self::Withheld | Self::Stale => {
                AttemptOutcome::NeverSent
            }
        }
    }

    /// Does this end prove that the request never ran?
    pub fn never_ran(self) -> bool {
        matches!(
            self.ending(),
            AttemptOutcome::Full | AttemptOutcome::ConnectFailed | AttemptOutcome::NeverSent
        )
    }

    /// Counts the end as reported to the decision module, with separate counters for two kinds that on-call
    /// staff look for.
    pub fn count(self, counters: &Counters) {
        let count = match self.ending() {
            AttemptOutcome::Error if self == Self::Malformed => &counters.attempt_malformed,
            AttemptOutcome::Cancelled if self == Self::TurnedDown => &counters.attempt_turned_down,
            AttemptOutcome::Served => &counters.attempt_served,
            AttemptOutcome::Error => &counters.attempt_error,
            AttemptOutcome::Full => &counters.attempt_full,
            AttemptOutcome::ConnectFailed => &counters.attempt_unconnected,
            AttemptOutcome::ConnectionLost => &counters.attempt_broken,
            AttemptOutcome::TimedOut => &counters.attempt_timed_out,
            AttemptOutcome::Cancelled => &counters.attempt_called_off,
            AttemptOutcome::NeverSent => &counters.attempt_never_sent,
        };
        count.add();
    }
}
