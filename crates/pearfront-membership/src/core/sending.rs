//! Datagrams with news on them, and frames.

use super::{Action, Change, Destination, Membership};
use crate::member::{Member, Status, Update};
use crate::message::{Body, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, Packet, size};

impl Membership {
    /// A datagram with as much news as fits.
    pub(crate) fn send(&mut self, to: &Destination, body: Body) {
        self.send_with(to, body, Vec::new(), None);
    }

    /// The same, first of all with what is held of the receiver, if that is not that it is alive: nobody else needs to
    /// hear it as soon (Lifeguard's buddy).
    pub(crate) fn send_about(&mut self, to: &Destination, body: Body, name: Option<&str>) {
        let held = name.and_then(|name| self.table.get(name));
        let held = held.filter(|member| member.status != Status::Alive).map(Member::news);
        self.send_with(to, body, held.into_iter().collect(), name);
    }

    /// A datagram with this news first, and as much other news as fits.
    pub(super) fn send_with(
        &mut self,
        to: &Destination,
        body: Body,
        mut first: Vec<Update>,
        name: Option<&str>,
    ) {
        let mut packet = self.packet(body);
        let room = MAX_DATAGRAM_BYTES.saturating_sub(packet.encode().len() + 2);
        let used: usize = first.iter().map(size).sum();
        let told = first.iter().any(|news| name.is_some_and(|name| news.card.name == name));
        let more = self.spread.take(room.saturating_sub(used));
        first.extend(more.into_iter().filter(|news| !told || name.is_none_or(|name| news.card.name != name)));
        packet.news = first;
        let bytes = packet.encode();
        self.counts.datagrams_out += 1;
        self.counts.bytes_out += bytes.len() as u64;
        self.out.push(Action::Datagram { to: to.clone(), bytes });
    }

    /// A packet with the next number, without news so far.
    fn packet(&mut self, body: Body) -> Packet {
        self.number += 1;
        let (installation, from) = (self.installation.clone(), self.me.clone());
        Packet { installation, from, number: self.number, body, news: Vec::new() }
    }

    /// Sends one frame on a stream.
    pub(crate) fn send_frame(&mut self, to: &Destination, body: Body) {
        let bytes = self.packet(body).encode();
        // A view that does not fit is not sent: the bound on members keeps it from being.
        if bytes.len() <= MAX_FRAME_BYTES {
            self.counts.frames_out += 1;
            self.counts.bytes_out += bytes.len() as u64;
            self.out.push(Action::Frame { to: to.clone(), bytes });
        }
    }

    /// Sends the whole view; `back` asks for the view of the other.
    pub(crate) fn send_view(&mut self, to: &Destination, answers: Option<u64>, back: bool) {
        let members = self.table.view(&self.me, Status::Alive);
        self.send_frame(to, Body::View { answers, back, members });
    }

    /// Tells the rest of the program of a change.
    pub(crate) fn changed(&mut self, change: Change) {
        self.out.push(Action::Changed(change));
    }
}
