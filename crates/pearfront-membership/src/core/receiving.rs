//! Packets that arrive: what the sender says of itself, the news that they carry, and the response.

use super::{Action, Change, Destination, Membership, State};
use crate::member::{Card, Status, Update};
use crate::message::{Body, Packet};

impl Membership {
    /// Takes in a packet: counts it, and drops it if the state does not allow its message.
    pub(super) fn receive(&mut self, packet: Packet, now: f64) {
        let Packet { from, number, body, news, .. } = packet;
        // A seed may name this process itself.
        if self.state == State::Left || (from.name == self.me.name && from.life == self.me.life) {
            return;
        }
        match &body {
            Body::Join { .. }
            | Body::Taken { .. }
            | Body::View { .. }
            | Body::Compare { .. }
            | Body::Same { .. } => {
                self.counts.frames_in += 1;
            }
            _ => self.counts.datagrams_in += 1,
        }
        match (&self.state, &body) {
            (State::Joining, Body::Join { .. }) | (State::Member, _) => {}
            (State::Joining | State::Barred { .. }, Body::Taken { by }) => {
                return self.stop_as_barred(by.clone(), now);
            }
            (State::Joining | State::Barred { .. }, Body::View { answers: Some(question), .. })
                if *question >= self.join_from => {}
            // Not one of them yet, or no longer: nothing that is said to its name is said to it.
            _ => return,
        }
        let known = self.note_sender(&from, number, &body, now);
        for news in news {
            self.learn(news, Some(&from.name), now);
        }
        if known {
            self.respond(from, body, now);
        }
    }

    /// What the sender's card says of itself; false if it speaks for a life that is over.
    fn note_sender(&mut self, from: &Card, number: u64, body: &Body, now: f64) -> bool {
        if matches!(body, Body::Join { .. } | Body::Taken { .. }) {
            return true;
        }
        if from.name == self.me.name {
            self.learn_of_self(Update::of(from, Status::Alive), now);
            return false;
        }
        if !matches!(body, Body::Bye) {
            self.learn(Update::of(from, Status::Alive), None, now);
        }
        let Some(member) = self.table.get_mut(&from.name) else { return true };
        let held = member.card.clone();
        if held.life != from.life {
            self.counts.outdated += 1;
            self.send(&Destination::card(from), Body::Claimed { by: held });
            return false;
        }
        if number > member.number {
            member.number = number;
            member.heard = now;
            self.note_heard(now);
        } else {
            self.counts.outdated += 1;
        }
        true
    }

    /// Something was heard: it is not deaf.
    pub(crate) fn note_heard(&mut self, now: f64) {
        if self.deafness.hears(now) {
            self.out.push(Action::Changed(Change::Hears));
        }
    }

    /// Acts on the message of a packet.
    fn respond(&mut self, from: Card, body: Body, now: f64) {
        let to = Destination::card(&from);
        match body {
            Body::Ping { question } => self.send_about(&to, Body::Ack { question }, Some(&from.name)),
            Body::Ack { question } => self.acked(&from, question, now),
            Body::Ask { question, card } => self.try_for(to, question, card, now),
            Body::NotYet { question, heard_ago } => self.not_yet(question, heard_ago, now),
            Body::Join { question } => self.admit(from, question, now),
            Body::Taken { .. } => {}
            Body::Claimed { by } => self.learn_of_self(Update::of(&by, Status::Alive), now),
            Body::Compare { question, sum } if sum == self.view_checksum() => {
                self.send_frame(&to, Body::Same { question });
            }
            Body::Compare { question, .. } => self.send_view(&to, Some(question), true),
            Body::Same { question } => self.confirmed(question),
            Body::View { answers, back, members } => {
                if matches!(self.state, State::Barred { .. }) {
                    self.state = State::Joining;
                }
                if let Some(question) = answers {
                    self.confirmed(question);
                }
                for news in members {
                    self.learn(news, Some(&from.name), now);
                }
                // It may have heard in there that its name is another's.
                if !matches!(self.state, State::Barred { .. }) {
                    self.become_member();
                }
                if back {
                    self.send_view(&to, None, false);
                }
            }
            Body::Bye => self.learn(Update::of(&from, Status::Left), None, now),
        }
    }
}
