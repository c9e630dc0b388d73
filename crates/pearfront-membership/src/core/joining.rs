//! Joining through seeds, admitting others, and conflicting claims to a name.

use super::{Action, Change, Destination, Membership, State};
use crate::member::{Card, Status, Update};
use crate::message::Body;
use crate::times::{JOIN_DELAY_MS, MAX_JOIN_DELAY_MS};
use rand::prelude::Rng;

impl Membership {
    /// Sends join requests to all seeds, with a growing delay between rounds.
    pub(super) fn send_join_requests(&mut self, now: f64) {
        self.next_join = now + self.join_delay * (0.75 + 0.5 * self.rng.random::<f64>());
        self.join_delay = (self.join_delay * 1.5).min(MAX_JOIN_DELAY_MS);
        for address in self.seeds.clone() {
            let request_id = self.next_request_id();
            self.send_frame(&Destination { name: None, life: None, address }, Body::Join { request_id });
        }
    }

    /// Handles a join request. If a process believed present holds the name, it is only free once that one is
    /// gone.
    pub(super) fn on_join(&mut self, card: Card, request_id: u64, now: f64) {
        if card.name == self.own_card.name {
            self.report_claim(&card);
            let by = self.own_card.clone();
            return self.send_frame(&Destination::card(&card), Body::NameTaken { by });
        }
        let known = self.table.get(&card.name).map(|member| (member.card.clone(), member.is_present()));
        if let Some((holder, is_present)) = &known
            && holder.life != card.life
        {
            if *is_present && holder.address != card.address {
                self.send(&Destination::card(holder), Body::NameClaimed { by: card.clone() });
                return self.send_frame(&Destination::card(&card), Body::NameTaken { by: holder.clone() });
            }
            // The new process must supersede an ended holder of the name, so its incarnation is higher.
            let incarnation = card.incarnation.max(holder.incarnation + 1);
            self.learn(Update::new(&Card { incarnation, ..card.clone() }, Status::Alive), None, now);
        } else {
            self.learn(Update::new(&card, Status::Alive), None, now);
        }
        self.become_member();
        self.send_view(&Destination::card(&card), Some(request_id), false);
    }

    /// Becomes a member and announces it.
    pub(super) fn become_member(&mut self) {
        if matches!(self.state, State::Joining | State::Barred { .. }) {
            self.state = State::Member;
            self.join_delay = JOIN_DELAY_MS;
            self.actions.push(Action::Changed(Change::Joined));
            self.gossip.push(Update::new(&self.own_card, Status::Alive), self.table.size());
        }
    }

    /// Another process holds the name: takes no part, and tries to join again later.
    pub(super) fn enter_barred(&mut self, by: Card, now: f64) {
        if !matches!(&self.state, State::Barred { by: known } if known.life == by.life) {
            self.actions.push(Action::Changed(Change::Barred { by: by.clone() }));
            self.join_min_request = self.last_request_id + 1;
        }
        self.state = State::Barred { by };
        self.probes.clear();
        self.confirmation = None;
        self.next_join = self.next_join.max(now + JOIN_DELAY_MS);
    }

    /// Reports another process that claims this name, once per process.
    pub(super) fn report_claim(&mut self, by: &Card) {
        if self.claimed_by != Some(by.life) {
            self.claimed_by = Some(by.life);
            self.actions.push(Action::Changed(Change::Claimed { by: by.clone() }));
        }
    }
}
