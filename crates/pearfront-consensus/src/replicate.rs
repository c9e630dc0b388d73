//! The leader's work and the followers': entries, snapshots in pieces, what is committed, reads, check of quorum.

use crate::message::{Body, Entry, Place};
use crate::times::{BYTES, ENTRIES, PIECE};
use crate::voter::{Action, PendingRead, Role, Voter};

impl Voter {
    // ---- leader ----

    /// Proposes an entry; its index and term, if this voter leads. It is committed once it comes out as such.
    pub fn propose(&mut self, bytes: Vec<u8>, now: f64) -> Option<(u64, u64)> {
        if self.role != Role::Leader {
            return None;
        }
        let (index, term) = (self.last().index + 1, self.term);
        self.push(Entry { index, term, bytes });
        self.replicate(now);
        Some((index, term))
    }

    /// Asks for the index that a linearizable read has to see: `Out::Read` or `Out::NoRead` answers.
    pub fn request_read(&mut self, read_id: u64, now: f64) {
        if self.role != Role::Leader {
            return self.tell(Action::ReadFailed { read_id });
        }
        // Before its first own entry is committed it may not know of all that is.
        let index = self.commit.max(self.first_of_term());
        self.round += 1;
        self.reads.push(PendingRead { id: read_id, index, round: self.round });
        self.replicate(now);
    }

    fn first_of_term(&self) -> u64 {
        let before = self.log.iter().rev().take_while(|entry| entry.term == self.term).count() as u64;
        self.last().index + 1 - before
    }

    /// Beats, and steps down if no majority was heard for as long as another may have been elected.
    pub(crate) fn lead(&mut self, now: f64) {
        if now < self.beat_at {
            return;
        }
        let heard = self.known.values().filter(|other| now - other.heard < self.times.election).count();
        if heard + 1 < self.majority() {
            let term = self.term;
            return self.follow(term, None, now);
        }
        self.beat_at = now + self.times.heartbeat;
        self.round += 1;
        self.replicate(now);
    }

    fn replicate(&mut self, _now: f64) {
        for other in self.others.clone() {
            self.send_entries(&other);
        }
    }

    fn send_entries(&mut self, name: &str) {
        let Some(other) = self.known.get(name) else { return };
        let (next, round) = (other.next, self.round);
        let Some(before) = self.place(next - 1) else { return self.send_piece(name) };
        let skip = (next - self.base.index - 1) as usize;
        let mut room = BYTES;
        let fits = |entry: &&Entry| {
            let fits = room > 0;
            room = room.saturating_sub(entry.bytes.len() + 1);
            fits
        };
        let entries: Vec<Entry> =
            self.log.iter().skip(skip).take(ENTRIES).take_while(fits).cloned().collect();
        let in_own_term = self.place(self.commit).is_some_and(|place| place.term == self.term);
        let commit = self.commit;
        self.send(name, Body::Append { before, entries, commit, in_own_term, round });
    }

    /// What the other needs is in the snapshot only.
    fn send_piece(&mut self, name: &str) {
        let (upto, round) = (self.base, self.round);
        let (Some(snapshot), Some(other)) = (self.snapshot.clone(), self.known.get_mut(name)) else { return };
        // One that was begun of an older snapshot begins anew.
        let begun = other.piece.filter(|(index, _)| *index == upto.index);
        let (_, offset) = *other.piece.insert(begun.unwrap_or((upto.index, 0)));
        let from = (offset as usize).min(snapshot.len());
        let bytes = snapshot[from..snapshot.len().min(from + PIECE)].to_vec();
        let whole = snapshot.len() as u64;
        self.send(name, Body::Piece { upto, offset: from as u64, whole, bytes, round });
    }

    pub(crate) fn appended(&mut self, from: &str, taken: bool, index: u64, round: u64, now: f64) {
        let last = self.last().index;
        let Some(other) = self.known.get_mut(from).filter(|_| self.role == Role::Leader) else { return };
        (other.heard, other.round) = (now, other.round.max(round));
        if taken {
            other.stored = other.stored.max(index.min(last));
            other.next = other.next.max(other.stored + 1);
        } else {
            other.next = (index + 1).min(other.next).max(other.stored + 1);
        }
        // The rest follows at once, not with the next beat.
        if !taken || other.next <= last {
            self.send_entries(from);
        }
        self.count(now);
    }

    pub(crate) fn piece_taken(&mut self, from: &str, index: u64, next: u64, round: u64, now: f64) {
        let (base, whole) = (self.base.index, self.snapshot.as_ref().map_or(0, |bytes| bytes.len() as u64));
        let Some(other) = self.known.get_mut(from).filter(|_| self.role == Role::Leader) else { return };
        (other.heard, other.round) = (now, other.round.max(round));
        if index == base && next >= whole {
            other.piece = None;
            other.stored = other.stored.max(base);
            other.next = other.next.max(base + 1);
            self.send_entries(from);
        } else if index == base {
            other.piece = Some((base, next));
            self.send_piece(from);
        }
        self.count(now);
    }

    /// What a majority has stored is committed, if it ends in an entry of this term (Raft, 5.4.2); reads whose round a
    /// majority has answered may go.
    pub(crate) fn count(&mut self, _now: f64) {
        if self.role != Role::Leader {
            return;
        }
        let mut stored: Vec<u64> = self.known.values().map(|other| other.stored).collect();
        stored.push(self.own_stored);
        stored.sort_unstable_by(|a, b| b.cmp(a));
        let index = stored[self.majority() - 1];
        if index > self.commit && self.place(index).is_some_and(|place| place.term == self.term) {
            self.commit_to(index);
        }
        let mut rounds: Vec<u64> = self.known.values().map(|other| other.round).collect();
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let answered = rounds[self.majority() - 2];
        let commit = self.commit;
        let (go, wait): (Vec<PendingRead>, Vec<PendingRead>) = std::mem::take(&mut self.reads)
            .into_iter()
            .partition(|read| read.round <= answered && read.index <= commit);
        self.reads = wait;
        go.into_iter().for_each(|read| self.tell(Action::ReadReady { read_id: read.id, index: read.index }));
    }

    // ---- follower ----

    pub(crate) fn append(
        &mut self,
        from: &str,
        before: Place,
        entries: Vec<Entry>,
        (commit, in_own_term): (u64, bool),
        round: u64,
    ) {
        // What is in its snapshot is committed and needs no look.
        let fits = before.index <= self.base.index || self.place(before.index) == Some(before);
        if !fits {
            // Nothing of that term or later is common: back to before it, at once.
            let most = self.last().index.min(before.index.saturating_sub(1));
            let back = self.log.iter().rev().find(|entry| entry.index <= most && entry.term <= before.term);
            let index = back.map_or(self.base.index, |entry| entry.index);
            return self.send(from, Body::Appended { taken: false, index, round });
        }
        let upto = before.index + entries.len() as u64;
        for entry in entries {
            if entry.index <= self.base.index {
                continue;
            }
            match self.place(entry.index) {
                Some(place) if place.term == entry.term => continue,
                Some(_) => self.cut(entry.index),
                None => {}
            }
            self.push(entry);
        }
        // It is said to fit up to there and no further: what follows here may be another's.
        self.commit_to(commit.min(upto));
        self.caught_up(from, commit, in_own_term);
        self.promise(from, Body::Appended { taken: true, index: upto, round });
    }

    pub(crate) fn piece(
        &mut self,
        from: &str,
        upto: Place,
        (offset, whole): (u64, u64),
        bytes: &[u8],
        round: u64,
    ) {
        if upto.index <= self.commit {
            // It has all of that.
            return self.promise(from, Body::PieceTaken { index: upto.index, next: whole, round });
        }
        let (place, mut held) =
            self.coming.take().filter(|(place, _)| *place == upto).unwrap_or((upto, Vec::new()));
        if offset == held.len() as u64 {
            held.extend(bytes);
        }
        let next = held.len() as u64;
        if next < whole {
            self.coming = Some((place, held));
            return self.send(from, Body::PieceTaken { index: upto.index, next, round });
        }
        if self.place(upto.index) != Some(upto) {
            self.cut(self.base.index + 1);
        }
        self.take_snapshot(upto, held);
        self.own_stored = self.own_stored.max(upto.index);
        if let Some(bytes) = self.snapshot.clone() {
            self.restored(bytes);
        }
        self.promise(from, Body::PieceTaken { index: upto.index, next: whole, round });
    }
}
