//! News on their way: what still has to be told, how often it was, and what of it fits a datagram.

use crate::member::Update;
use crate::message::size;
use crate::times::SPREAD;
use std::collections::BTreeMap;

/// A piece of news that goes out with what is sent anyway.
struct Waiting {
    news: Update,
    size: usize,
    /// How often it was sent, and how often it has to be.
    sent: u32,
    most: u32,
}

/// At most one piece for each member, and of a suspicion one for each who shares it: one that took the place of another's
/// would keep it from being counted, and a suspicion that few share lasts three times as long.
#[derive(Default)]
pub(crate) struct Spread {
    waiting: BTreeMap<(String, Option<String>), Waiting>,
}

impl Spread {
    pub fn put(&mut self, news: Update, members: usize) {
        let most = (SPREAD * (members as f64 + 1.0).log2()).ceil().max(3.0) as u32;
        let size = size(&news);
        let about = &news.card;
        let overtaken =
            |old: &Update| news.by.is_none() || old.card.incarnation != about.incarnation || old.by.is_none();
        self.waiting.retain(|(name, _), old| *name != about.name || !overtaken(&old.news));
        self.waiting.insert((about.name.clone(), news.by.clone()), Waiting { news, size, sent: 0, most });
    }

    /// Takes back what was to be told of that member.
    pub fn withdraw(&mut self, name: &str) {
        self.waiting.retain(|(about, _), _| about != name);
    }

    /// What goes along with one packet of so many bytes: the least told first.
    pub fn take(&mut self, mut room: usize) -> Vec<Update> {
        let mut order: Vec<_> =
            self.waiting.iter().map(|(about, waiting)| (waiting.sent, about.clone())).collect();
        order.sort();
        let mut taken = Vec::new();
        for (_, about) in order {
            let Some(waiting) = self.waiting.get_mut(&about).filter(|waiting| waiting.size <= room) else {
                continue;
            };
            room -= waiting.size;
            taken.push(waiting.news.clone());
            waiting.sent += 1;
            if waiting.sent >= waiting.most {
                self.waiting.remove(&about);
            }
        }
        taken
    }
}
