//! The view: which news is believed, and what this process says of itself.

use super::{Change, Membership, Out, State, To};
use crate::member::{Member, News, Standing};
use crate::message::Body;

impl Membership {
    /// News about anyone, told by another or seen here (`told_by` is none).
    pub(crate) fn learn(&mut self, news: News, told_by: Option<&str>, now: f64) {
        if news.card.name == self.me.name {
            return self.learn_of_self(news, now);
        }
        let Some(member) = self.table.get(&news.card.name) else {
            return self.add_unknown(news, told_by, now);
        };
        let same = member.card.life == news.card.life && member.card.incarnation == news.card.incarnation;
        if same && news.standing == Standing::Suspect && member.standing == Standing::Suspect {
            return self.shared(news);
        }
        if !news.beats(&member.card, member.standing) {
            return;
        }
        // Others hold it silent, and it was heard here just now: it has to hear of that, and is not given up.
        let fresh = now - member.heard < self.times.suspicion / 2.0 && member.card.life == news.card.life;
        if news.standing == Standing::Silent && told_by.is_some() && fresh {
            let (to, name) = (To::card(&member.card), member.card.name.clone());
            let question = self.next_question();
            return self.send_with(&to, Body::Ping { question }, vec![news], Some(&name));
        }
        self.apply(news, told_by, now);
    }

    /// Somebody who was not known. Of those gone nothing is taken up: whoever forgot them would be told without end.
    fn add_unknown(&mut self, news: News, told_by: Option<&str>, now: f64) {
        if !news.standing.is_here() {
            return;
        }
        let mut member = Member::new(news.card.clone(), news.standing, now);
        member.told_by = told_by.map(str::to_string);
        if !self.table.add(member) {
            self.counts.no_room += 1;
            return;
        }
        let (name, incarnation) = (news.card.name.clone(), news.card.incarnation);
        self.out.push(Out::Changed(Change::Here { name, incarnation }));
        if news.standing == Standing::Suspect {
            self.suspect_told(&news, now);
        }
        self.disseminate(news);
    }

    /// Takes over what counts more than what was known.
    pub(crate) fn apply(&mut self, news: News, told_by: Option<&str>, now: f64) {
        let name = news.card.name.clone();
        let Some(member) = self.table.get_mut(&name) else { return };
        let (was, incarnation) = (member.standing, news.card.incarnation);
        let another = member.card.life != news.card.life;
        if another {
            *member = Member::new(news.card.clone(), news.standing, now);
        }
        if was != news.standing {
            member.since = now;
        }
        member.card = news.card.clone();
        member.standing = news.standing;
        member.told_by = told_by.map(str::to_string);
        self.suspicions.remove(&name);
        let told_by = told_by.map(str::to_string);
        let change = match news.standing {
            Standing::Alive if another => Some(Change::Restarted { name, incarnation }),
            Standing::Alive if was == Standing::Suspect => Some(Change::Cleared { name, incarnation }),
            Standing::Alive if was == Standing::Alive => None,
            Standing::Alive => Some(Change::Here { name, incarnation }),
            Standing::Suspect => {
                self.suspect_told(&news, now);
                let by = news.by.clone().unwrap_or_default();
                Some(Change::Suspected { name, by })
            }
            Standing::Silent => Some(Change::Silent { name, told_by }),
            Standing::Ended => Some(Change::Ended { name, told_by }),
            Standing::Left => Some(Change::Left { name }),
        };
        self.out.extend(change.map(Out::Changed));
        self.disseminate(news);
    }

    /// Passes news on.
    pub(crate) fn disseminate(&mut self, news: News) {
        self.spread.put(news, self.table.size());
    }

    /// What others say about this process, or about another of its name.
    pub(super) fn learn_of_self(&mut self, news: News, now: f64) {
        if news.card.life == self.me.life {
            if news.standing == Standing::Alive {
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
                let (was, incarnation) = (news.standing, self.me.incarnation);
                self.out.push(Out::Changed(Change::Refuted { was, incarnation }));
                self.worsen_local_health();
            }
            return;
        }
        // Another life of its name: one that is over, or that can't be, as this one has its address, is stepped over.
        let over = !news.standing.is_here() || news.card.address == self.me.address;
        if !over && self.doubt.is_some() {
            // It stood still, and its name is another's: what it last called itself, others may never have heard. Asking
            // to be taken in again tells.
            return self.stop_as_barred(news.card, now);
        }
        if news.card.incarnation < self.me.incarnation {
            if !over {
                self.note_claim(&news.card);
            }
            self.disseminate(News::of(&self.me, Standing::Alive));
        } else if over || (news.card.incarnation == self.me.incarnation && self.me.life < news.card.life) {
            self.raise_incarnation(news.card.incarnation + 1);
        } else {
            self.stop_as_barred(news.card, now);
        }
    }

    /// Uses this incarnation from now on, and says so.
    fn raise_incarnation(&mut self, incarnation: u64) {
        self.me.incarnation = incarnation;
        self.out.push(Out::Keep(incarnation));
        self.disseminate(News::of(&self.me, Standing::Alive));
    }
}
