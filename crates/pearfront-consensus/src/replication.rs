//! Log replication: entries, snapshots in chunks, commit index, linearizable reads, and the leader's
//! check-quorum. Implements part of `Voter`, for leader and follower.

use crate::message::{Body, Entry, LogPosition};
use crate::times::{MAX_APPEND_BYTES, MAX_ENTRIES, SNAPSHOT_CHUNK_BYTES};
use crate::voter::{Action, PendingRead, Role, Voter};

impl Voter {
    // ---- leader ----

    /// Proposes an entry. Returns its index and term if this voter leads; the entry is committed only once it
    /// comes out as `Action::Commit`.
    pub fn propose(&mut self, bytes: Vec<u8>, now: f64) -> Option<(u64, u64)> {
        if self.role != Role::Leader {
            return None;
        }
        let (index, term) = (self.last_position().index + 1, self.term);
        self.append_entry(Entry { index, term, bytes });
        self.replicate(now);
        Some((index, term))
    }

    /// Requests the index that a linearizable read has to wait for. The result is `Action::ReadReady` or
    /// `Action::ReadFailed`.
    pub fn request_read(&mut self, read_id: u64, now: f64) {
        if self.role != Role::Leader {
            return self.push_action(Action::ReadFailed { read_id });
        }
        // Until the first entry of its own term is committed, the leader may not know of all committed entries.
        let index = self.commit_index.max(self.first_index_of_term());
        self.round += 1;
        self.pending_reads.push(PendingRead { id: read_id, index, round: self.round });
        self.replicate(now);
    }

    fn first_index_of_term(&self) -> u64 {
        let in_term = self.log.iter().rev().take_while(|entry| entry.term == self.term).count() as u64;
        self.last_position().index + 1 - in_term
    }

    /// Sends heartbeats. Steps down if no majority has responded for an election time-out, since another leader
    /// may have been elected.
    pub(crate) fn tick_leader(&mut self, now: f64) {
        if now < self.heartbeat_at {
            return;
        }
        let responding = self
            .followers
            .values()
            .filter(|follower| now - follower.last_response_at < self.times.election)
            .count();
        if responding + 1 < self.majority() {
            let term = self.term;
            return self.become_follower(term, None, now);
        }
        self.heartbeat_at = now + self.times.heartbeat;
        self.round += 1;
        self.replicate(now);
    }

    fn replicate(&mut self, _now: f64) {
        for peer in self.peers.clone() {
            self.send_entries(&peer);
        }
    }

    fn send_entries(&mut self, name: &str) {
        let Some(follower) = self.followers.get(name) else { return };
        let (next, round) = (follower.next_index, self.round);
        let Some(previous) = self.position_of(next - 1) else { return self.send_snapshot_chunk(name) };
        let skip = (next - self.snapshot_position.index - 1) as usize;
        let mut room = MAX_APPEND_BYTES;
        let fits = |entry: &&Entry| {
            let fits = room > 0;
            room = room.saturating_sub(entry.bytes.len() + 1);
            fits
        };
        let entries: Vec<Entry> =
            self.log.iter().skip(skip).take(MAX_ENTRIES).take_while(fits).cloned().collect();
        let committed_in_term =
            self.position_of(self.commit_index).is_some_and(|position| position.term == self.term);
        let commit = self.commit_index;
        self.send(
            name,
            Body::AppendRequest { previous, entries, leader_commit: commit, committed_in_term, round },
        );
    }

    /// Sends the next chunk of the snapshot to a follower that needs entries which are no longer in the log.
    fn send_snapshot_chunk(&mut self, name: &str) {
        let (last_included, round) = (self.snapshot_position, self.round);
        let (Some(snapshot), Some(follower)) = (self.snapshot.clone(), self.followers.get_mut(name)) else {
            return;
        };
        // A transfer of an older snapshot starts over.
        let begun = follower.snapshot_offset.filter(|(index, _)| *index == last_included.index);
        let (_, offset) = *follower.snapshot_offset.insert(begun.unwrap_or((last_included.index, 0)));
        let from = (offset as usize).min(snapshot.len());
        let bytes = snapshot[from..snapshot.len().min(from + SNAPSHOT_CHUNK_BYTES)].to_vec();
        let total_bytes = snapshot.len() as u64;
        self.send(
            name,
            Body::SnapshotChunk { last_included, offset: from as u64, total_bytes, bytes, round },
        );
    }

    pub(crate) fn on_append_response(
        &mut self,
        from: &str,
        accepted: bool,
        index: u64,
        round: u64,
        now: f64,
    ) {
        let last = self.last_position().index;
        let Some(follower) = self.followers.get_mut(from).filter(|_| self.role == Role::Leader) else {
            return;
        };
        (follower.last_response_at, follower.acked_round) = (now, follower.acked_round.max(round));
        if accepted {
            follower.match_index = follower.match_index.max(index.min(last));
            follower.next_index = follower.next_index.max(follower.match_index + 1);
        } else {
            follower.next_index = (index + 1).min(follower.next_index).max(follower.match_index + 1);
        }
        // Sends what is left at once instead of with the next heartbeat.
        if !accepted || follower.next_index <= last {
            self.send_entries(from);
        }
        self.advance_commit(now);
    }

    pub(crate) fn on_snapshot_chunk_response(
        &mut self,
        from: &str,
        index: u64,
        next_offset: u64,
        round: u64,
        now: f64,
    ) {
        let (snapshot_index, total_bytes) =
            (self.snapshot_position.index, self.snapshot.as_ref().map_or(0, |bytes| bytes.len() as u64));
        let Some(follower) = self.followers.get_mut(from).filter(|_| self.role == Role::Leader) else {
            return;
        };
        (follower.last_response_at, follower.acked_round) = (now, follower.acked_round.max(round));
        if index == snapshot_index && next_offset >= total_bytes {
            follower.snapshot_offset = None;
            follower.match_index = follower.match_index.max(snapshot_index);
            follower.next_index = follower.next_index.max(snapshot_index + 1);
            self.send_entries(from);
        } else if index == snapshot_index {
            follower.snapshot_offset = Some((snapshot_index, next_offset));
            self.send_snapshot_chunk(from);
        }
        self.advance_commit(now);
    }

    /// Commits what a majority has stored, if it ends in an entry of the current term (Raft, section 5.4.2),
    /// and releases reads whose round a majority has acknowledged.
    pub(crate) fn advance_commit(&mut self, _now: f64) {
        if self.role != Role::Leader {
            return;
        }
        let mut stored: Vec<u64> = self.followers.values().map(|follower| follower.match_index).collect();
        stored.push(self.own_match_index);
        stored.sort_unstable_by(|a, b| b.cmp(a));
        let index = stored[self.majority() - 1];
        if index > self.commit_index
            && self.position_of(index).is_some_and(|position| position.term == self.term)
        {
            self.commit_to(index);
        }
        let mut rounds: Vec<u64> = self.followers.values().map(|follower| follower.acked_round).collect();
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let answered = rounds[self.majority() - 2];
        let commit = self.commit_index;
        let (ready, waiting): (Vec<PendingRead>, Vec<PendingRead>) = std::mem::take(&mut self.pending_reads)
            .into_iter()
            .partition(|read| read.round <= answered && read.index <= commit);
        self.pending_reads = waiting;
        ready
            .into_iter()
            .for_each(|read| self.push_action(Action::ReadReady { read_id: read.id, index: read.index }));
    }

    // ---- follower ----

    pub(crate) fn on_append_request(
        &mut self,
        from: &str,
        previous: LogPosition,
        entries: Vec<Entry>,
        (leader_commit, committed_in_term): (u64, bool),
        round: u64,
    ) {
        // Entries covered by the snapshot are committed, so they match.
        let matches = previous.index <= self.snapshot_position.index
            || self.position_of(previous.index) == Some(previous);
        if !matches {
            // Backs up past all entries of that term or later in one step, since none of them can match.
            let highest = self.last_position().index.min(previous.index.saturating_sub(1));
            let common =
                self.log.iter().rev().find(|entry| entry.index <= highest && entry.term <= previous.term);
            let index = common.map_or(self.snapshot_position.index, |entry| entry.index);
            return self.send(from, Body::AppendResponse { accepted: false, index, round });
        }
        let last_index = previous.index + entries.len() as u64;
        for entry in entries {
            if entry.index <= self.snapshot_position.index {
                continue;
            }
            match self.position_of(entry.index) {
                Some(position) if position.term == entry.term => continue,
                Some(_) => self.truncate_log(entry.index),
                None => {}
            }
            self.append_entry(entry);
        }
        // The log is only known to match up to `last_index`; later entries may stem from another leader.
        self.commit_to(leader_commit.min(last_index));
        self.check_caught_up(from, leader_commit, committed_in_term);
        self.send_once_synced(from, Body::AppendResponse { accepted: true, index: last_index, round });
    }

    pub(crate) fn on_snapshot_chunk(
        &mut self,
        from: &str,
        last_included: LogPosition,
        (offset, total_bytes): (u64, u64),
        bytes: &[u8],
        round: u64,
    ) {
        if last_included.index <= self.commit_index {
            // The snapshot covers nothing that is not committed here already.
            return self.send_once_synced(
                from,
                Body::SnapshotChunkResponse { index: last_included.index, next_offset: total_bytes, round },
            );
        }
        let (position, mut received) = self
            .incoming_snapshot
            .take()
            .filter(|(position, _)| *position == last_included)
            .unwrap_or((last_included, Vec::new()));
        if offset == received.len() as u64 {
            received.extend(bytes);
        }
        let next_offset = received.len() as u64;
        if next_offset < total_bytes {
            self.incoming_snapshot = Some((position, received));
            return self
                .send(from, Body::SnapshotChunkResponse { index: last_included.index, next_offset, round });
        }
        if self.position_of(last_included.index) != Some(last_included) {
            self.truncate_log(self.snapshot_position.index + 1);
        }
        self.install_snapshot(last_included, received);
        self.own_match_index = self.own_match_index.max(last_included.index);
        if let Some(bytes) = self.snapshot.clone() {
            self.push_restore(bytes);
        }
        self.send_once_synced(
            from,
            Body::SnapshotChunkResponse { index: last_included.index, next_offset: total_bytes, round },
        );
    }
}
