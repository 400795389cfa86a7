//! Answering the messages of peers.

use std::net;

use tokio::time;

use super::{MemberAction, MemberKeeper, MemberStatus, RelayedProbe};
use crate::id;
use crate::member::message::{MemberAct, MemberMessage, MemberUpdate, RecordAge};
use crate::probe;

impl MemberKeeper {
    pub(super) fn hear(
        &mut self,
        sender: &str,
        message: MemberMessage,
        now: time::Instant,
        out: &mut Vec<MemberAction>,
    ) {
        if sender == self.own.name || self.left {
            return;
        }
        if self.answer_older(sender, &message, out) {
            return;
        }
        self.note_version(sender, message.version, out);
        let MemberMessage {
            from,
            age,
            act,
            updates,
            ..
        } = message;
        let trusted = self.meet(sender, from, age, &act, out);
        // What is said of this node itself is always heard: after a split
        // both sides count the other as dead and must refute that.
        let heard = updates
            .into_iter()
            .filter(|update| trusted || update.subject() == self.own.name)
            .collect::<Vec<_>>();
        for update in heard {
            self.apply(update, sender, now, out);
        }
        self.react(sender, from, age, act, now, out);
    }

    /// Notes the version that a peer has in force.
    fn note_version(
        &mut self,
        sender: &str,
        version: id::DocumentVersion,
        out: &mut Vec<MemberAction>,
    ) {
        if version > self.own.version {
            out.push(MemberAction::Newer {
                version,
                from: sender.to_owned(),
            });
        }
        if let Ok(place) = self.find(sender) {
            let held = &mut self.members[place].record;
            if held.version < version {
                held.version = version;
                self.changes += 1;
            }
        }
    }

    /// Tells an earlier process of a host that it was replaced.
    fn answer_older(
        &mut self,
        sender: &str,
        message: &MemberMessage,
        out: &mut Vec<MemberAction>,
    ) -> bool {
        let held = self.find(sender).map(|place| &self.members[place].record);
        let Ok(record) = held else { return false };
        let older = message.age.incarnation < record.incarnation;
        if older {
            let update = MemberUpdate::Alive(record.clone());
            let mut answer = Box::new(self.message(MemberAct::Gossip));
            answer.updates = vec![update];
            out.push(MemberAction::Send {
                to: message.from,
                receiver: message.age.incarnation,
                message: answer,
            });
        }
        older
    }

    /// Tells whether news from a sender counts, and answers one that does not know its state.
    pub(super) fn meet(
        &mut self,
        sender: &str,
        from: net::SocketAddr,
        age: RecordAge,
        act: &MemberAct,
        out: &mut Vec<MemberAction>,
    ) -> bool {
        let introduces = matches!(
            act,
            MemberAct::Join(_) | MemberAct::Region(_) | MemberAct::Sync { .. } | MemberAct::Meet
        );
        let Ok(place) = self.find(sender) else {
            if !introduces {
                self.send_to(from, age.incarnation, MemberAct::Meet, out);
            }
            return matches!(act, MemberAct::Sync { .. });
        };
        let held = &self.members[place];
        if held.status != MemberStatus::Dead || age > held.record.age() {
            return true;
        }
        // It was counted as dead: it must refute that before it is believed.
        let update = MemberUpdate::Dead {
            name: sender.to_owned(),
            age: held.record.age(),
        };
        let mut message = Box::new(self.message(MemberAct::Gossip));
        message.updates = vec![update];
        out.push(MemberAction::Send {
            to: from,
            receiver: age.incarnation,
            message,
        });
        false
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn react(
        &mut self,
        sender: &str,
        from: net::SocketAddr,
        age: RecordAge,
        act: MemberAct,
        now: time::Instant,
        out: &mut Vec<MemberAction>,
    ) {
        match act {
            MemberAct::Probe { nonce } => {
                self.send_to(from, age.incarnation, MemberAct::Answer { nonce }, out);
            }
            MemberAct::Answer { nonce } => self.hear_answer(nonce, now, out),
            MemberAct::ProbeFor {
                nonce,
                target,
                address,
                incarnation,
            } => {
                let own_nonce = self.probes.next_nonce();
                self.relayed.push(RelayedProbe {
                    nonce: own_nonce,
                    asker: sender.to_owned(),
                    asker_nonce: nonce,
                    started: now,
                });
                if target != self.own.name {
                    let act = MemberAct::Probe { nonce: own_nonce };
                    self.send_to(address, incarnation, act, out);
                }
            }
            MemberAct::Silent { nonce } => self.probes.confirm(nonce),
            MemberAct::Gossip => {}
            MemberAct::Join(record) if record.region != self.own.region => {
                self.send_to(
                    from,
                    age.incarnation,
                    MemberAct::Region(self.summary()),
                    out,
                );
            }
            MemberAct::Join(record) => {
                self.apply(MemberUpdate::Alive(record), sender, now, out);
                self.sync(from, age.incarnation, true, out);
            }
            MemberAct::Sync { back: true } => self.sync(from, age.incarnation, false, out),
            MemberAct::Sync { back: false } => {}
            MemberAct::Compare { digest } => {
                if digest != self.digest() {
                    self.sync(from, age.incarnation, true, out);
                }
            }
            MemberAct::Meet => {
                let act = MemberAct::Join(self.own.clone());
                self.send_to(from, age.incarnation, act, out);
            }
            MemberAct::Region(summary) => self.hear_region(summary, now, out),
        }
    }

    pub(super) fn hear_answer(
        &mut self,
        nonce: probe::ProbeNonce,
        now: time::Instant,
        out: &mut Vec<MemberAction>,
    ) {
        if let Some(place) = self.relayed.iter().position(|held| held.nonce == nonce) {
            let relayed = self.relayed.swap_remove(place);
            let act = MemberAct::Answer {
                nonce: relayed.asker_nonce,
            };
            self.send(&relayed.asker, act, out);
            return;
        }
        let Some(target) = self.probes.answer(nonce) else {
            return;
        };
        if let Ok(place) = self.find(&target) {
            let held = &mut self.members[place];
            held.answered = Some(now);
            if held.status == MemberStatus::Suspect {
                held.status = MemberStatus::Alive;
            }
        }
    }

    /// Sends all that is known to a peer.
    pub(super) fn sync(
        &mut self,
        to: net::SocketAddr,
        receiver: id::IncarnationNumber,
        back: bool,
        out: &mut Vec<MemberAction>,
    ) {
        let mut message = Box::new(self.message(MemberAct::Sync { back }));
        message.updates = vec![MemberUpdate::Alive(self.own.clone())];
        let held = self.members.iter().map(|held| match held.status {
            MemberStatus::Alive | MemberStatus::Suspect => MemberUpdate::Alive(held.record.clone()),
            MemberStatus::Dead => MemberUpdate::Dead {
                name: held.record.name.clone(),
                age: held.record.age(),
            },
        });
        message.updates.extend(held);
        let words = self.regions.words().cloned().map(MemberUpdate::Region);
        message.updates.extend(words);
        out.push(MemberAction::Send {
            to,
            receiver,
            message,
        });
    }
}
