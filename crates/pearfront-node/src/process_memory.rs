//! What the process holds in memory: the bytes of its heap, counted at each allocation, and the resident pages, as the kernel
//! counts them. Used by `capacity` and for the counters.

use cap::Cap;
use rustix::param::page_size;
use std::alloc::System;

/// The system's allocator, which also counts.
#[global_allocator]
static HEAP: Cap<System> = Cap::new(System, usize::MAX);

/// Bytes of the heap that are in use.
pub fn heap_bytes() -> usize {
    HEAP.allocated()
}

/// The largest number of bytes of the heap that were in use at a time.
fn peak_heap_bytes() -> usize {
    HEAP.max_allocated()
}

/// Resident bytes of the process (`proc_pid_statm(5)`); `None` if the kernel does not say.
pub fn resident_bytes() -> Option<usize> {
    let counts = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: usize = counts.split(' ').nth(1)?.parse().ok()?;
    Some(pages * page_size())
}

/// The counters, as they are printed.
pub fn counters() -> String {
    format!(
        "memory_heap={} memory_heap_peak={} memory_resident={}",
        heap_bytes(),
        peak_heap_bytes(),
        resident_bytes().unwrap_or_default()
    )
}

#[cfg(test)]
mod tests;
