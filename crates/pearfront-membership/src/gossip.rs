//! Updates that are being disseminated: how often each was sent, and which fit into a datagram. Used by
//! `Membership`.

use crate::member::Update;
use crate::message::encoded_size;
use crate::times::GOSSIP_FACTOR;
use std::collections::BTreeMap;

/// An update that is piggybacked on outgoing datagrams.
struct QueuedUpdate {
    update: Update,
    size: usize,
    /// How often it was sent, and how often it has to be.
    sent: u32,
    max_sends: u32,
}

/// At most one update per member, and one per suspector for a suspicion. If one suspector's update replaced
/// another's, it would not be counted, and a suspicion that few share lasts three times as long.
#[derive(Default)]
pub(crate) struct GossipQueue {
    queue: BTreeMap<(String, Option<String>), QueuedUpdate>,
}

impl GossipQueue {
    /// Queues an update for dissemination in a group of that size.
    pub fn push(&mut self, update: Update, members: usize) {
        let max_sends = (GOSSIP_FACTOR * (members as f64 + 1.0).log2()).ceil().max(3.0) as u32;
        let size = encoded_size(&update);
        let about = &update.card;
        let is_obsolete = |old: &Update| {
            update.suspector.is_none() || old.card.incarnation != about.incarnation || old.suspector.is_none()
        };
        self.queue.retain(|(name, _), old| *name != about.name || !is_obsolete(&old.update));
        self.queue.insert(
            (about.name.clone(), update.suspector.clone()),
            QueuedUpdate { update, size, sent: 0, max_sends },
        );
    }

    /// Removes all updates about that member.
    pub fn remove(&mut self, name: &str) {
        self.queue.retain(|(about, _), _| about != name);
    }

    /// Updates for one datagram with that much room, least sent first.
    pub fn take(&mut self, mut room: usize) -> Vec<Update> {
        let mut order: Vec<_> =
            self.queue.iter().map(|(about, queued)| (queued.sent, about.clone())).collect();
        order.sort();
        let mut taken = Vec::new();
        for (_, about) in order {
            let Some(queued) = self.queue.get_mut(&about).filter(|queued| queued.size <= room) else {
                continue;
            };
            room -= queued.size;
            taken.push(queued.update.clone());
            queued.sent += 1;
            if queued.sent >= queued.max_sends {
                self.queue.remove(&about);
            }
        }
        taken
    }
}
