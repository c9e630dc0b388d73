//! Anti-entropy: views are compared with members and seeds, and absent members are probed. It also confirms the
//! view after a stall.

use super::{Action, Change, Destination, Membership};
use crate::member::{Card, Member, Status};
use crate::message::Body;
use rand::prelude::Rng;

/// Members that are asked to confirm the view after a stall.
const CONFIRMATION_REQUESTS: usize = 3;

impl Membership {
    /// Runs everything that is due for a member.
    pub(super) fn run_due(&mut self, now: f64) {
        if self.confirmation.as_ref().is_some_and(|pending| now >= pending.next_request_at) {
            self.request_confirmation(now);
        }
        self.run_probes(now);
        self.check_suspicions(now);
        if now >= self.next_sync {
            self.next_sync = now + self.times.sync_interval * (0.75 + 0.5 * self.rng.random::<f64>());
            self.table.forget_absent(now - self.times.retention);
            if let Some(card) = self.table.sample(&mut self.rng, 1, Member::is_present).pop() {
                self.sync_with(&card);
            }
            self.sync_with_seed();
        }
        if now >= self.next_reconnect {
            self.next_reconnect =
                now + self.times.reconnect_interval * (0.75 + 0.5 * self.rng.random::<f64>());
            self.ping_absent_member();
        }
    }

    /// Compares views with a random seed. Processes that start together, or on one side of a partition, may
    /// have admitted each other and know nothing of the rest; only a seed connects them.
    fn sync_with_seed(&mut self) {
        if self.seeds.is_empty() {
            return;
        }
        let address = self.seeds[self.rng.random_range(0..self.seeds.len())];
        let (request_id, sum) = (self.next_request_id(), self.view_checksum());
        self.send_frame(
            &Destination { name: None, life: None, address },
            Body::CompareViews { request_id, sum },
        );
    }

    /// Probes an absent member and tells it what is believed about it: a partition may have ended, or a report
    /// may have been wrong. Silent members come before those that are known to have ended.
    fn ping_absent_member(&mut self) {
        let silent = |member: &Member| member.status == Status::Silent;
        let mut card = self.table.sample(&mut self.rng, 1, silent).pop();
        if card.is_none() {
            card = self.table.sample(&mut self.rng, 1, |member| member.status == Status::Ended).pop();
        }
        if let Some(card) = card {
            let request_id = self.next_request_id();
            self.send_about(&Destination::card(&card), Body::Ping { request_id }, Some(&card.name));
        }
    }

    /// Asks a few others whether the view still holds after a stall.
    fn request_confirmation(&mut self, now: f64) {
        for card in self.table.sample(&mut self.rng, CONFIRMATION_REQUESTS, Member::is_present) {
            self.sync_with(&card);
        }
        if let Some(pending) = &mut self.confirmation {
            pending.next_request_at = now + 2.0 * self.times.probe_period;
        }
    }

    /// Another process has sent its view or agrees with this one. That ends the doubt if it was asked after the
    /// stall.
    pub(super) fn on_confirmed(&mut self, request_id: u64) {
        if self.confirmation.as_ref().is_some_and(|pending| request_id >= pending.min_request_id) {
            self.confirmation = None;
            self.actions.push(Action::Changed(Change::Sure));
        }
    }

    /// Asks a member whether its view has the same checksum.
    fn sync_with(&mut self, card: &Card) {
        let (request_id, sum) = (self.next_request_id(), self.view_checksum());
        self.send_frame(&Destination::card(card), Body::CompareViews { request_id, sum });
    }

    /// The next request ID; responses carry it.
    pub(crate) fn next_request_id(&mut self) -> u64 {
        self.last_request_id += 1;
        self.last_request_id
    }
}
