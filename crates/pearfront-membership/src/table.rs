//! All other members known to this process, by name, with an upper bound. Used by `Membership`.

use crate::member::{Card, Member, Status, Update};
use crate::times::MAX_MEMBERS;
use rand::seq::{IteratorRandom, SliceRandom};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// The known members.
#[derive(Default)]
pub(crate) struct MemberTable {
    members: BTreeMap<String, Member>,
}

impl MemberTable {
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    pub fn get_mut(&mut self, name: &str) -> Option<&mut Member> {
        self.members.get_mut(name)
    }

    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Members believed present.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.all().filter(|member| member.is_present())
    }

    /// Group size: present members and this process.
    pub fn size(&self) -> usize {
        1 + self.present().count()
    }

    /// Makes room for one more member by removing the one that has been absent the longest; false if there is
    /// none.
    fn make_room(&mut self) -> bool {
        if self.members.len() < MAX_MEMBERS {
            return true;
        }
        let absent = self.all().filter(|member| !member.is_present());
        let oldest = absent.min_by(|a, b| a.since.total_cmp(&b.since)).map(|member| member.card.name.clone());
        oldest.is_some_and(|name| self.members.remove(&name).is_some())
    }

    /// Adds a new member; false if there is no room.
    pub fn add(&mut self, member: Member) -> bool {
        let has_room = self.make_room();
        if has_room {
            self.members.insert(member.card.name.clone(), member);
        }
        has_room
    }

    /// Forgets members that have been absent since before that time.
    pub fn forget_absent(&mut self, before: f64) {
        self.members.retain(|_, member| member.is_present() || member.since > before);
    }

    /// A random sample of matching members.
    pub fn sample(&self, rng: &mut ChaCha8Rng, count: usize, fits: impl Fn(&Member) -> bool) -> Vec<Card> {
        let all = self.all().filter(|member| fits(member));
        let mut cards: Vec<Card> =
            all.map(|member| &member.card).choose_multiple(rng, count).into_iter().cloned().collect();
        cards.shuffle(rng);
        cards
    }

    /// Checksum over who is present, with incarnations. Absent members are left out, since each process forgets
    /// them at its own time.
    pub fn checksum(&self, own_card: &Card, include_self: bool) -> u32 {
        let add = |sum: u32, card: &Card| {
            let sum = crc32c::crc32c_append(sum, card.name.as_bytes());
            let sum = crc32c::crc32c_append(sum, &card.incarnation.to_le_bytes());
            crc32c::crc32c_append(sum, &card.life.to_le_bytes())
        };
        let mut cards: Vec<&Card> = self.present().map(|member| &member.card).collect();
        if include_self {
            let index = cards.partition_point(|card| card.name < own_card.name);
            cards.insert(index, own_card);
        }
        cards.into_iter().fold(0, add)
    }

    /// The whole view, including absent members, which the receiver may still believe present.
    pub fn all_updates(&self, own_card: &Card, status: Status) -> Vec<Update> {
        let own = Update::new(own_card, status);
        std::iter::once(own).chain(self.all().map(Member::to_update)).collect()
    }
}
