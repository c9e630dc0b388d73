//! Incoming packets: the sender's card, the updates on board, and the response.

use super::{Action, Change, Destination, Membership, State};
use crate::member::{Card, Status, Update};
use crate::message::{Body, Packet};

impl Membership {
    /// Handles a packet: counts it, and drops it if the state does not allow its message.
    pub(super) fn receive(&mut self, packet: Packet, now: f64) {
        let Packet { from, sequence, body, updates, .. } = packet;
        // A seed address may lead back to this process.
        if self.state == State::Left || (from.name == self.own_card.name && from.life == self.own_card.life) {
            return;
        }
        match &body {
            Body::Join { .. }
            | Body::NameTaken { .. }
            | Body::View { .. }
            | Body::CompareViews { .. }
            | Body::ViewsEqual { .. } => {
                self.counts.frames_in += 1;
            }
            _ => self.counts.datagrams_in += 1,
        }
        match (&self.state, &body) {
            (State::Joining, Body::Join { .. }) | (State::Member, _) => {}
            (State::Joining | State::Barred { .. }, Body::NameTaken { by }) => {
                return self.enter_barred(by.clone(), now);
            }
            (State::Joining | State::Barred { .. }, Body::View { answers: Some(request_id), .. })
                if *request_id >= self.join_min_request => {}
            // Before joining and while barred, packets addressed to the name are not meant for this process.
            _ => return,
        }
        let current = self.record_sender(&from, sequence, &body, now);
        for update in updates {
            self.learn(update, Some(&from.name), now);
        }
        if current {
            self.respond(from, body, now);
        }
    }

    /// Updates the sender's record; false if the packet comes from an ended run of it.
    fn record_sender(&mut self, from: &Card, sequence: u64, body: &Body, now: f64) -> bool {
        if matches!(body, Body::Join { .. } | Body::NameTaken { .. }) {
            return true;
        }
        if from.name == self.own_card.name {
            self.learn_about_self(Update::new(from, Status::Alive), now);
            return false;
        }
        if !matches!(body, Body::Leave) {
            self.learn(Update::new(from, Status::Alive), None, now);
        }
        let Some(member) = self.table.get_mut(&from.name) else { return true };
        let known_card = member.card.clone();
        if known_card.life != from.life {
            self.counts.outdated += 1;
            self.send(&Destination::card(from), Body::NameClaimed { by: known_card });
            return false;
        }
        if sequence > member.last_sequence {
            member.last_sequence = sequence;
            member.last_heard = now;
            self.on_heard(now);
        } else {
            self.counts.outdated += 1;
        }
        true
    }

    /// Something was heard, so this process is not isolated.
    pub(crate) fn on_heard(&mut self, now: f64) {
        if self.isolation.on_heard(now) {
            self.actions.push(Action::Changed(Change::Hears));
        }
    }

    /// Acts on the message of a packet.
    fn respond(&mut self, from: Card, body: Body, now: f64) {
        let to = Destination::card(&from);
        match body {
            Body::Ping { request_id } => self.send_about(&to, Body::Ack { request_id }, Some(&from.name)),
            Body::Ack { request_id } => self.on_ack(&from, request_id, now),
            Body::PingRequest { request_id, card } => self.on_ping_request(to, request_id, card, now),
            Body::Nack { request_id, heard_ago } => self.on_nack(request_id, heard_ago, now),
            Body::Join { request_id } => self.on_join(from, request_id, now),
            Body::NameTaken { .. } => {}
            Body::NameClaimed { by } => self.learn_about_self(Update::new(&by, Status::Alive), now),
            Body::CompareViews { request_id, sum } if sum == self.view_checksum() => {
                self.send_frame(&to, Body::ViewsEqual { request_id });
            }
            Body::CompareViews { request_id, .. } => self.send_view(&to, Some(request_id), true),
            Body::ViewsEqual { request_id } => self.on_confirmed(request_id),
            Body::View { answers, back, members } => {
                if matches!(self.state, State::Barred { .. }) {
                    self.state = State::Joining;
                }
                if let Some(request_id) = answers {
                    self.on_confirmed(request_id);
                }
                for update in members {
                    self.learn(update, Some(&from.name), now);
                }
                // The view may have shown that the name belongs to another process.
                if !matches!(self.state, State::Barred { .. }) {
                    self.become_member();
                }
                if back {
                    self.send_view(&to, None, false);
                }
            }
            Body::Leave => self.learn(Update::new(&from, Status::Left), None, now),
        }
    }
}
