//! Everyone else that this process knows of, in the order of names, bounded.

use crate::member::{Card, Member, Status, Update};
use crate::times::MAX_MEMBERS;
use rand::seq::{IteratorRandom, SliceRandom};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

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

    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.all().filter(|member| member.is_present())
    }

    /// How many are held to be there, and this process.
    pub fn size(&self) -> usize {
        1 + self.present().count()
    }

    /// Is there room for one more? Whoever has been gone the longest makes it.
    fn make_room(&mut self) -> bool {
        if self.members.len() < MAX_MEMBERS {
            return true;
        }
        let absent = self.all().filter(|member| !member.is_present());
        let oldest = absent.min_by(|a, b| a.since.total_cmp(&b.since)).map(|member| member.card.name.clone());
        oldest.is_some_and(|name| self.members.remove(&name).is_some())
    }

    /// Takes in a member that was not known; false if there is no room.
    pub fn add(&mut self, member: Member) -> bool {
        let has_room = self.make_room();
        if has_room {
            self.members.insert(member.card.name.clone(), member);
        }
        has_room
    }

    /// Forgets those that have been gone for so long.
    pub fn forget_absent(&mut self, before: f64) {
        self.members.retain(|_, member| member.is_present() || member.since > before);
    }

    /// Some of those that fit, at random.
    pub fn sample(&self, rng: &mut ChaCha8Rng, count: usize, fits: impl Fn(&Member) -> bool) -> Vec<Card> {
        let all = self.all().filter(|member| fits(member));
        let mut cards: Vec<Card> =
            all.map(|member| &member.card).choose_multiple(rng, count).into_iter().cloned().collect();
        cards.shuffle(rng);
        cards
    }

    /// The sum of what two processes have to agree on: who is here, under which incarnation. Those gone are left out:
    /// each forgets them at its own time.
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

    /// All there is to say, with those gone: the other may still hold them to be there.
    pub fn all_updates(&self, own_card: &Card, status: Status) -> Vec<Update> {
        let own = Update::new(own_card, status);
        std::iter::once(own).chain(self.all().map(Member::to_update)).collect()
    }
}
