//! Anti-entropy: views are compared with members and seeds, and those gone are asked again. It also ends the
//! doubt of a process that stood still.

use super::{Action, Change, Destination, Membership};
use crate::member::{Card, Member, Status};
use crate::message::Body;
use rand::prelude::Rng;

/// Others that a process which stood still asks at once whether it is still one of them.
const ASKED_IN_DOUBT: usize = 3;

impl Membership {
    /// Runs everything that is due for a member.
    pub(super) fn run_due(&mut self, now: f64) {
        if self.doubt.as_ref().is_some_and(|doubt| now >= doubt.next) {
            self.ask_for_confirmation(now);
        }
        self.probe_on(now);
        self.judge(now);
        if now >= self.next_compare {
            self.next_compare = now + self.times.sync_interval * (0.75 + 0.5 * self.chance.random::<f64>());
            self.table.forget(now - self.times.retention);
            if let Some(card) = self.table.some(&mut self.chance, 1, Member::is_present).pop() {
                self.compare(&card);
            }
            self.compare_with_seed();
        }
        if now >= self.next_ask_again {
            self.next_ask_again =
                now + self.times.reconnect_interval * (0.75 + 0.5 * self.chance.random::<f64>());
            self.ping_one_gone();
        }
    }

    /// Compares with one of the seeds, whoever that is: of several that begin at once, or behind a cut, some may have taken
    /// in one another and know nothing of the rest. Nobody asks those whom nobody knows.
    fn compare_with_seed(&mut self) {
        if self.seeds.is_empty() {
            return;
        }
        let address = self.seeds[self.chance.random_range(0..self.seeds.len())];
        let (question, sum) = (self.next_question(), self.view_checksum());
        self.send_frame(&Destination { name: None, life: None, address }, Body::Compare { question, sum });
    }

    /// Asks one of those gone: a cut may be over, or a word about it may have been wrong. It hears what is held of it.
    /// Whoever is held silent is asked before those of whom there is proof, or the word.
    fn ping_one_gone(&mut self) {
        let silent = |member: &Member| member.status == Status::Silent;
        let mut card = self.table.some(&mut self.chance, 1, silent).pop();
        if card.is_none() {
            card = self.table.some(&mut self.chance, 1, |member| member.status == Status::Ended).pop();
        }
        if let Some(card) = card {
            let question = self.next_question();
            self.send_about(&Destination::card(&card), Body::Ping { question }, Some(&card.name));
        }
    }

    /// Asks a few others whether the view still holds, after this process stood still.
    fn ask_for_confirmation(&mut self, now: f64) {
        for card in self.table.some(&mut self.chance, ASKED_IN_DOUBT, Member::is_present) {
            self.compare(&card);
        }
        if let Some(doubt) = &mut self.doubt {
            doubt.next = now + 2.0 * self.times.probe_period;
        }
    }

    /// Another has answered with its view, or agrees with ours: the doubt is over if it was asked after the standstill.
    pub(super) fn confirmed(&mut self, question: u64) {
        if self.doubt.as_ref().is_some_and(|doubt| question >= doubt.question) {
            self.doubt = None;
            self.out.push(Action::Changed(Change::Sure));
        }
    }

    /// Asks a member whether its view has the same sum.
    fn compare(&mut self, card: &Card) {
        let (question, sum) = (self.next_question(), self.view_checksum());
        self.send_frame(&Destination::card(card), Body::Compare { question, sum });
    }

    /// The number of the next question; answers carry it.
    pub(crate) fn next_question(&mut self) -> u64 {
        self.questions += 1;
        self.questions
    }
}
