//! Classifies errors of system calls: those that failed for lack of a resource that may be free again soon,
//! or because they were interrupted, are retried. Used wherever the node opens or uses sockets.

use rustix::io::Errno;
use std::io;
use std::thread::sleep;
use std::time::Duration;

/// Errors for lack of a resource that may be free again soon (Linux: socket(2), accept(2), send(2)).
const TRANSIENT_ERRNOS: [Errno; 5] = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::AGAIN];
/// Pause before such a call is retried at the start of the process, and the number of tries.
const RETRY_PAUSE: Duration = Duration::from_millis(10);
const MAX_TRIES: usize = 500;

/// Was the call only interrupted?
pub fn is_interrupted(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::Interrupted
}

/// May the same call succeed a moment later, whatever the other side does?
pub fn is_transient(error: &io::Error) -> bool {
    let is_transient_errno = |code: i32| TRANSIENT_ERRNOS.iter().any(|errno| errno.raw_os_error() == code);
    is_interrupted(error) || error.raw_os_error().is_some_and(is_transient_errno)
}

/// Is the cause on this machine, so that no connection was attempted?
pub fn is_local(error: &io::Error) -> bool {
    is_transient(error) || error.raw_os_error() == Some(Errno::ADDRNOTAVAIL.raw_os_error())
}

/// Makes a call at the start of the process, when nothing else runs; retries it until it succeeds, fails for
/// another reason, or 5 s have passed.
///
/// # Errors
/// The last error of the call.
pub fn retry_transient<T>(call: impl Fn() -> io::Result<T>) -> io::Result<T> {
    for _ in 0..MAX_TRIES {
        match call() {
            Err(error) if is_transient(&error) => {
                log::warn!("retrying a failed system call: {error}");
                sleep(RETRY_PAUSE);
            }
            done => return done,
        }
    }
    call()
}

#[cfg(test)]
mod tests;
