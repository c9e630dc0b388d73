//! Tests which errors are retried.

use super::{is_local, is_transient, retry_transient};
use rustix::io::Errno;
use std::cell::Cell;
use std::io;
use test_case::test_case;

#[test_case(Errno::INTR, true, true)]
#[test_case(Errno::NOBUFS, true, true)]
#[test_case(Errno::NFILE, true, true)]
#[test_case(Errno::ADDRNOTAVAIL, false, true)]
#[test_case(Errno::CONNREFUSED, false, false)]
#[test_case(Errno::NETUNREACH, false, false)]
#[test_case(Errno::CONNRESET, false, false)]
fn errors_are_classified(errno: Errno, transient: bool, local: bool) {
    let error = io::Error::from(errno);
    assert_eq!((is_transient(&error), is_local(&error)), (transient, local));
}

#[test]
fn only_transient_errors_are_retried() {
    let calls = Cell::new(0);
    let call = |errno: Errno| {
        calls.set(calls.get() + 1);
        if calls.get() < 3 { Err(io::Error::from(errno)) } else { Ok(()) }
    };
    assert!(retry_transient(|| call(Errno::NFILE)).is_ok());
    calls.set(0);
    assert!(retry_transient(|| call(Errno::ADDRINUSE)).is_err());
    assert_eq!(calls.get(), 1);
}
