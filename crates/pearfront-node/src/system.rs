//! System calls that fail for want of something that may be there in a moment, or because they were interrupted: what they
//! were called for goes on.

use rustix::io::Errno;
use std::io;
use std::thread::sleep;
use std::time::Duration;

/// What a call may lack for a while (Linux: socket(2), accept(2), send(2)).
const TRANSIENT_ERRNOS: [Errno; 5] = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::AGAIN];
/// Pause before such a call at a start is tried again, and how often it is.
const RETRY_PAUSE: Duration = Duration::from_millis(10);
const MAX_TRIES: usize = 500;

/// Has the call only been interrupted?
pub fn is_interrupted(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::Interrupted
}

/// May the same call succeed in a moment, whatever the other side does?
pub fn is_transient(error: &io::Error) -> bool {
    let is_transient_errno = |code: i32| TRANSIENT_ERRNOS.iter().any(|errno| errno.raw_os_error() == code);
    is_interrupted(error) || error.raw_os_error().is_some_and(is_transient_errno)
}

/// Is it this machine alone that a connection could not be begun from?
pub fn is_local(error: &io::Error) -> bool {
    is_transient(error) || error.raw_os_error() == Some(Errno::ADDRNOTAVAIL.raw_os_error())
}

/// Calls at a start, when nothing else runs: again until it succeeds, fails for another reason, or 5 s are over.
///
/// # Errors
/// The last one that the call gave.
pub fn retry_transient<T>(call: impl Fn() -> io::Result<T>) -> io::Result<T> {
    for _ in 0..MAX_TRIES {
        match call() {
            Err(error) if is_transient(&error) => {
                log::warn!("tried again: {error}");
                sleep(RETRY_PAUSE);
            }
            done => return done,
        }
    }
    call()
}

#[cfg(test)]
mod tests;
