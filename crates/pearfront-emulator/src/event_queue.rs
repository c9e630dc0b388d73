//! Event queue of simulated time: ordered by time, then by insertion.

use std::collections::BinaryHeap;

struct Entry<T> {
    at: f64,
    number: u64,
    what: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}
impl<T> Eq for Entry<T> {}
impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        other.at.total_cmp(&self.at).then(other.number.cmp(&self.number))
    }
}

pub struct EventQueue<T> {
    entries: BinaryHeap<Entry<T>>,
    numbered: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        Self { entries: BinaryHeap::new(), numbered: 0 }
    }
}

impl<T> EventQueue<T> {
    pub fn put(&mut self, at: f64, what: T) {
        self.entries.push(Entry { at, number: self.numbered, what });
        self.numbered += 1;
    }

    /// Removes and returns the next entry if it is due by `until`.
    pub fn next(&mut self, until: f64) -> Option<(f64, T)> {
        let due = self.entries.peek().is_some_and(|entry| entry.at <= until);
        due.then(|| self.entries.pop()).flatten().map(|entry| (entry.at, entry.what))
    }
}

#[cfg(test)]
mod tests;
