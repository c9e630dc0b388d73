//! Counters of requests, answers, attempts and connections, printed on SIGUSR1 and at exit. Used by
//! all modules of the node.

use std::cell::Cell;
use std::fmt;

/// A counter that only grows.
#[derive(Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    pub fn add(&self) {
        self.0.set(self.0.get() + 1);
    }

    pub fn value(&self) -> u64 {
        self.0.get()
    }
}

macro_rules! counters {
    ($($(#[$meta:meta])* $name:ident),* $(,)?) => {
        /// All counters, in the order in which they are printed.
        #[derive(Default)]
        pub struct Counters {
            $($(#[$meta])* pub $name: Counter,)*
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("counters:")?;
                $(write!(f, concat!(" ", stringify!($name), "={}"), self.$name.value())?;)*
                Ok(())
            }
        }
    };
}

counters! {
    callers,
    accept_failed,
    shut_unread,
    taken,
    malformed,
    cut_off,
    no_room,
    too_late,
    served,
    flows,
    flows_in,
    flows_broken,
    rejected,
    failed,
    turned_down,
    client_left,
    answer_unsent,
    expired,
    answers_late,
    answers_never,
    attempts,
    connections,
    connections_reused,
    /// Attempts and probes that waited for the end of an idle connection's quiet period.
    connections_awaited,
    /// Idle connections closed because the server sent data that nobody asked for.
    connections_unsolicited,
    attempt_served,
    attempt_error,
    attempt_full,
    attempt_turned_down,
    attempt_malformed,
    attempt_unconnected,
    attempt_broken,
    attempt_timed_out,
    attempt_called_off,
    attempt_never_sent,
    guard_refused,
    violations_send,
    violations_repeat,
    violations_close,
    violations_start,
    probes,
    probes_failed,
    reports_dropped,
    lists,
    lists_failed,
    list_lines_dropped,
    rounds,
}
