//! Joining by the seeds, admitting others, and names that two processes claim.

use super::{Action, Change, Destination, Membership, State};
use crate::member::{Card, Status, Update};
use crate::message::Body;
use crate::times::{JOIN_AGAIN, JOIN_SELDOM};
use rand::prelude::Rng;

impl Membership {
    /// Asks all seeds to be taken in, with a growing pause between two rounds.
    pub(super) fn ask_to_join(&mut self, now: f64) {
        self.next_join = now + self.join_pause * (0.75 + 0.5 * self.chance.random::<f64>());
        self.join_pause = (self.join_pause * 1.5).min(JOIN_SELDOM);
        for address in self.seeds.clone() {
            let question = self.next_question();
            self.send_frame(&Destination { name: None, life: None, address }, Body::Join { question });
        }
    }

    /// One that is new asks to be taken in. Its name may be held by a process that is there, as far as is known here: only
    /// when that one is gone may another have it.
    pub(super) fn admit(&mut self, card: Card, question: u64, now: f64) {
        if card.name == self.me.name {
            self.note_claim(&card);
            let by = self.me.clone();
            return self.send_frame(&Destination::card(&card), Body::Taken { by });
        }
        let known = self.table.get(&card.name).map(|member| (member.card.clone(), member.is_present()));
        if let Some((holder, here)) = &known
            && holder.life != card.life
        {
            if *here && holder.address != card.address {
                self.send(&Destination::card(holder), Body::Claimed { by: card.clone() });
                return self.send_frame(&Destination::card(&card), Body::Taken { by: holder.clone() });
            }
            // What is over must not count more than what is new: it goes on above it.
            let incarnation = card.incarnation.max(holder.incarnation + 1);
            self.learn(Update::of(&Card { incarnation, ..card.clone() }, Status::Alive), None, now);
        } else {
            self.learn(Update::of(&card, Status::Alive), None, now);
        }
        self.become_member();
        self.send_view(&Destination::card(&card), Some(question), false);
    }

    /// Now it is a member, and says so.
    pub(super) fn become_member(&mut self) {
        if matches!(self.state, State::Joining | State::Barred { .. }) {
            self.state = State::Member;
            self.join_pause = JOIN_AGAIN;
            self.out.push(Action::Changed(Change::Joined));
            self.spread.put(Update::of(&self.me, Status::Alive), self.table.size());
        }
    }

    /// Another process holds its name: it takes no part, and asks again later.
    pub(super) fn stop_as_barred(&mut self, by: Card, now: f64) {
        if !matches!(&self.state, State::Barred { by: known } if known.life == by.life) {
            self.out.push(Action::Changed(Change::Barred { by: by.clone() }));
            self.join_from = self.questions + 1;
        }
        self.state = State::Barred { by };
        self.probes.clear();
        self.doubt = None;
        self.next_join = self.next_join.max(now + JOIN_AGAIN);
    }

    /// Reports, once for each process, that another claims its name.
    pub(super) fn note_claim(&mut self, by: &Card) {
        if self.claimed_by != Some(by.life) {
            self.claimed_by = Some(by.life);
            self.out.push(Action::Changed(Change::Claimed { by: by.clone() }));
        }
    }
}
