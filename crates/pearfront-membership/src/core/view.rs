//! The view: which updates are accepted, and how this process responds to updates about itself.

use super::{Action, Change, Destination, Membership, State};
use crate::member::{Member, Status, Update};
use crate::message::Body;

impl Membership {
    /// Handles an update; `reported_by` is none if this process observed it itself.
    pub(crate) fn learn(&mut self, update: Update, reported_by: Option<&str>, now: f64) {
        if update.card.name == self.own_card.name {
            return self.learn_about_self(update, now);
        }
        let Some(member) = self.table.get(&update.card.name) else {
            return self.add_unknown(update, reported_by, now);
        };
        let same_incarnation =
            member.card.life == update.card.life && member.card.incarnation == update.card.incarnation;
        if same_incarnation && update.status == Status::Suspect && member.status == Status::Suspect {
            return self.add_suspector(update);
        }
        if !update.supersedes(&member.card, member.status) {
            return;
        }
        // Others consider it silent, but this process has just heard it. It is told so that it can refute that,
        // and is not given up here.
        let recently_heard =
            now - member.last_heard < self.times.suspicion / 2.0 && member.card.life == update.card.life;
        if update.status == Status::Silent && reported_by.is_some() && recently_heard {
            let (to, name) = (Destination::card(&member.card), member.card.name.clone());
            let request_id = self.next_request_id();
            return self.send_with(&to, Body::Ping { request_id }, vec![update], Some(&name));
        }
        self.apply(update, reported_by, now);
    }

    /// Adds an unknown member. Absent members are not added, or those who have forgotten them would be told
    /// again without end.
    fn add_unknown(&mut self, update: Update, reported_by: Option<&str>, now: f64) {
        if !update.status.is_present() {
            return;
        }
        let mut member = Member::new(update.card.clone(), update.status, now);
        member.reported_by = reported_by.map(str::to_string);
        if !self.table.add(member) {
            self.counts.no_room += 1;
            return;
        }
        let (name, incarnation) = (update.card.name.clone(), update.card.incarnation);
        self.actions.push(Action::Changed(Change::Here { name, incarnation }));
        if update.status == Status::Suspect {
            self.add_suspicion(&update, now);
        }
        self.disseminate(update);
    }

    /// Applies an update that supersedes what was known.
    pub(crate) fn apply(&mut self, update: Update, reported_by: Option<&str>, now: f64) {
        let name = update.card.name.clone();
        let Some(member) = self.table.get_mut(&name) else { return };
        let (was, incarnation) = (member.status, update.card.incarnation);
        let restarted = member.card.life != update.card.life;
        if restarted {
            *member = Member::new(update.card.clone(), update.status, now);
        }
        if was != update.status {
            member.since = now;
        }
        member.card = update.card.clone();
        member.status = update.status;
        member.reported_by = reported_by.map(str::to_string);
        self.suspicions.remove(&name);
        let reported_by = reported_by.map(str::to_string);
        let change = match update.status {
            Status::Alive if restarted => Some(Change::Restarted { name, incarnation }),
            Status::Alive if was == Status::Suspect => Some(Change::Cleared { name, incarnation }),
            Status::Alive if was == Status::Alive => None,
            Status::Alive => Some(Change::Here { name, incarnation }),
            Status::Suspect => {
                self.add_suspicion(&update, now);
                let by = update.suspector.clone().unwrap_or_default();
                Some(Change::Suspected { name, by })
            }
            Status::Silent => Some(Change::Silent { name, told_by: reported_by }),
            Status::Ended => Some(Change::Ended { name, told_by: reported_by }),
            Status::Left => Some(Change::Left { name }),
        };
        self.actions.extend(change.map(Action::Changed));
        self.disseminate(update);
    }

    /// Queues an update for dissemination.
    pub(crate) fn disseminate(&mut self, update: Update) {
        self.gossip.push(update, self.table.size());
    }

    /// Handles updates about this process, or about another one of the same name.
    pub(super) fn learn_about_self(&mut self, update: Update, now: f64) {
        if update.card.life == self.own_card.life {
            if update.status == Status::Alive {
                // The admitting process has raised the incarnation above that of an earlier holder of the name.
                if update.card.incarnation > self.own_card.incarnation {
                    self.raise_incarnation(update.card.incarnation);
                }
            } else if self.confirmation.is_some() {
                // After a stall the name may belong to another process by now, which must not be overridden.
                // The requested view will tell.
            } else if update.card.incarnation >= self.own_card.incarnation && self.state == State::Member {
                self.raise_incarnation(update.card.incarnation + 1);
                self.counts.refutations += 1;
                let (was, incarnation) = (update.status, self.own_card.incarnation);
                self.actions.push(Action::Changed(Change::Refuted { was, incarnation }));
                self.worsen_local_health();
            }
            return;
        }
        // Another process of the same name that has ended or, as this one has its address, can't exist any
        // more, is overridden.
        let is_stale = !update.status.is_present() || update.card.address == self.own_card.address;
        if !is_stale && self.confirmation.is_some() {
            // After a stall the name belongs to another process. The others may never have seen the last
            // incarnation of this one; a new join settles it.
            return self.enter_barred(update.card, now);
        }
        if update.card.incarnation < self.own_card.incarnation {
            if !is_stale {
                self.report_claim(&update.card);
            }
            self.disseminate(Update::new(&self.own_card, Status::Alive));
        } else if is_stale
            || (update.card.incarnation == self.own_card.incarnation && self.own_card.life < update.card.life)
        {
            self.raise_incarnation(update.card.incarnation + 1);
        } else {
            self.enter_barred(update.card, now);
        }
    }

    /// Uses this incarnation from now on and announces it.
    fn raise_incarnation(&mut self, incarnation: u64) {
        self.own_card.incarnation = incarnation;
        self.actions.push(Action::PersistIncarnation(incarnation));
        self.disseminate(Update::new(&self.own_card, Status::Alive));
    }
}
