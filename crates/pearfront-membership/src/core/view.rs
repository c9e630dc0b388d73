//! The view: which news is believed, and what this process says of itself.

use super::{Action, Change, Destination, Membership, State};
use crate::member::{Member, Status, Update};
use crate::message::Body;

impl Membership {
    /// News about anyone, told by another or seen here (`told_by` is none).
    pub(crate) fn learn(&mut self, news: Update, told_by: Option<&str>, now: f64) {
        if news.card.name == self.me.name {
            return self.learn_of_self(news, now);
        }
        let Some(member) = self.table.get(&news.card.name) else {
            return self.add_unknown(news, told_by, now);
        };
        let same = member.card.life == news.card.life && member.card.incarnation == news.card.incarnation;
        if same && news.status == Status::Suspect && member.status == Status::Suspect {
            return self.shared(news);
        }
        if !news.beats(&member.card, member.status) {
            return;
        }
        // Others hold it silent, and it was heard here just now: it has to hear of that, and is not given up.
        let fresh = now - member.heard < self.times.suspicion / 2.0 && member.card.life == news.card.life;
        if news.status == Status::Silent && told_by.is_some() && fresh {
            let (to, name) = (Destination::card(&member.card), member.card.name.clone());
            let question = self.next_question();
            return self.send_with(&to, Body::Ping { question }, vec![news], Some(&name));
        }
        self.apply(news, told_by, now);
    }

    /// Somebody who was not known. Of those gone nothing is taken up: whoever forgot them would be told without end.
    fn add_unknown(&mut self, news: Update, told_by: Option<&str>, now: f64) {
        if !news.status.is_present() {
            return;
        }
        let mut member = Member::new(news.card.clone(), news.status, now);
        member.told_by = told_by.map(str::to_string);
        if !self.table.add(member) {
            self.counts.no_room += 1;
            return;
        }
        let (name, incarnation) = (news.card.name.clone(), news.card.incarnation);
        self.out.push(Action::Changed(Change::Here { name, incarnation }));
        if news.status == Status::Suspect {
            self.suspect_told(&news, now);
        }
        self.disseminate(news);
    }

    /// Takes over what counts more than what was known.
    pub(crate) fn apply(&mut self, news: Update, told_by: Option<&str>, now: f64) {
        let name = news.card.name.clone();
        let Some(member) = self.table.get_mut(&name) else { return };
        let (was, incarnation) = (member.status, news.card.incarnation);
        let another = member.card.life != news.card.life;
        if another {
            *member = Member::new(news.card.clone(), news.status, now);
        }
        if was != news.status {
            member.since = now;
        }
        member.card = news.card.clone();
        member.status = news.status;
        member.told_by = told_by.map(str::to_string);
        self.suspicions.remove(&name);
        let told_by = told_by.map(str::to_string);
        let change = match news.status {
            Status::Alive if another => Some(Change::Restarted { name, incarnation }),
            Status::Alive if was == Status::Suspect => Some(Change::Cleared { name, incarnation }),
            Status::Alive if was == Status::Alive => None,
            Status::Alive => Some(Change::Here { name, incarnation }),
            Status::Suspect => {
                self.suspect_told(&news, now);
                let by = news.by.clone().unwrap_or_default();
                Some(Change::Suspected { name, by })
            }
            Status::Silent => Some(Change::Silent { name, told_by }),
            Status::Ended => Some(Change::Ended { name, told_by }),
            Status::Left => Some(Change::Left { name }),
        };
        self.out.extend(change.map(Action::Changed));
        self.disseminate(news);
    }

    /// Passes news on.
    pub(crate) fn disseminate(&mut self, news: Update) {
        self.spread.put(news, self.table.size());
    }

    /// What others say about this process, or about another of its name.
    pub(super) fn learn_of_self(&mut self, news: Update, now: f64) {
        if news.card.life == self.me.life {
            if news.status == Status::Alive {
                // Whoever took it in has put it above what was known of its name.
                if news.card.incarnation > self.me.incarnation {
                    self.raise_incarnation(news.card.incarnation);
                }
            } else if self.doubt.is_some() {
                // It stood still: its name may be another's by now, which would be stepped over. The view that it has
                // asked for says so, or says this again.
            } else if news.card.incarnation >= self.me.incarnation && self.state == State::Member {
                self.raise_incarnation(news.card.incarnation + 1);
                self.counts.refutations += 1;
                let (was, incarnation) = (news.status, self.me.incarnation);
                self.out.push(Action::Changed(Change::Refuted { was, incarnation }));
                self.worsen_local_health();
            }
            return;
        }
        // Another life of its name: one that is over, or that can't be, as this one has its address, is stepped over.
        let over = !news.status.is_present() || news.card.address == self.me.address;
        if !over && self.doubt.is_some() {
            // It stood still, and its name is another's: what it last called itself, others may never have heard. Asking
            // to be taken in again tells.
            return self.stop_as_barred(news.card, now);
        }
        if news.card.incarnation < self.me.incarnation {
            if !over {
                self.note_claim(&news.card);
            }
            self.disseminate(Update::of(&self.me, Status::Alive));
        } else if over || (news.card.incarnation == self.me.incarnation && self.me.life < news.card.life) {
            self.raise_incarnation(news.card.incarnation + 1);
        } else {
            self.stop_as_barred(news.card, now);
        }
    }

    /// Uses this incarnation from now on, and says so.
    fn raise_incarnation(&mut self, incarnation: u64) {
        self.me.incarnation = incarnation;
        self.out.push(Action::PersistIncarnation(incarnation));
        self.disseminate(Update::of(&self.me, Status::Alive));
    }
}
