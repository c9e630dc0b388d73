//! Outgoing datagrams with piggybacked updates, and frames.

use super::{Action, Change, Destination, Membership};
use crate::member::{Member, Status, Update};
use crate::message::{Body, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, Packet, encoded_size};

impl Membership {
    /// Sends a datagram with as many updates as fit.
    pub(crate) fn send(&mut self, to: &Destination, body: Body) {
        self.send_with(to, body, Vec::new(), None);
    }

    /// The same, led by what is believed about the receiver unless that is `Alive`. The receiver needs to know
    /// first, so that it can refute it (Lifeguard's buddy system).
    pub(crate) fn send_about(&mut self, to: &Destination, body: Body, receiver: Option<&str>) {
        let own_view = receiver.and_then(|name| self.table.get(name));
        let own_view = own_view.filter(|member| member.status != Status::Alive).map(Member::to_update);
        self.send_with(to, body, own_view.into_iter().collect(), receiver);
    }

    /// Sends a datagram with these updates first and as many others as fit.
    pub(super) fn send_with(
        &mut self,
        to: &Destination,
        body: Body,
        mut first: Vec<Update>,
        receiver: Option<&str>,
    ) {
        let mut packet = self.packet(body);
        let room = MAX_DATAGRAM_BYTES.saturating_sub(packet.encode().len() + 2);
        let used: usize = first.iter().map(encoded_size).sum();
        let names_receiver = first.iter().any(|update| receiver.is_some_and(|name| update.card.name == name));
        let more = self.gossip.take(room.saturating_sub(used));
        first.extend(
            more.into_iter()
                .filter(|update| !names_receiver || receiver.is_none_or(|name| update.card.name != name)),
        );
        packet.updates = first;
        let bytes = packet.encode();
        self.counts.datagrams_out += 1;
        self.counts.bytes_out += bytes.len() as u64;
        self.actions.push(Action::Datagram { to: to.clone(), bytes });
    }

    /// A packet with the next sequence number and no updates.
    fn packet(&mut self, body: Body) -> Packet {
        self.last_sequence += 1;
        let (installation, from) = (self.installation.clone(), self.own_card.clone());
        Packet { installation, from, sequence: self.last_sequence, body, updates: Vec::new() }
    }

    /// Sends one frame on a stream.
    pub(crate) fn send_frame(&mut self, to: &Destination, body: Body) {
        let bytes = self.packet(body).encode();
        // The bound on members keeps a view below the frame limit; a larger one would not be sent.
        if bytes.len() <= MAX_FRAME_BYTES {
            self.counts.frames_out += 1;
            self.counts.bytes_out += bytes.len() as u64;
            self.actions.push(Action::Frame { to: to.clone(), bytes });
        }
    }

    /// Sends the whole view; `back` asks for that of the receiver.
    pub(crate) fn send_view(&mut self, to: &Destination, answers: Option<u64>, back: bool) {
        let members = self.table.all_updates(&self.own_card, Status::Alive);
        self.send_frame(to, Body::View { answers, back, members });
    }

    /// Reports a change to the caller.
    pub(crate) fn report(&mut self, change: Change) {
        self.actions.push(Action::Changed(change));
    }
}
