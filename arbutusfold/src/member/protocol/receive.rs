//! Handling of messages from peers.

use std::net;

use tokio::time;

use super::{MemberAction, MemberProtocol, MemberStatus, RelayedProbe};
use crate::id;
use crate::member::message::{MemberMessage, MemberUpdate, MessageBody, RecordVersion};
use crate::probe;

impl MemberProtocol {
    pub(super) fn receive(
        &mut self,
        sender: &str,
        message: MemberMessage,
        now: time::Instant,
        out: &mut Vec<MemberAction>,
    ) {
        if sender == self.own.name || self.left {
            return;
        }
        if self.reject_older_process(sender, &message, out) {
            return;
        }
        self.record_config_version(sender, message.config_version, out);
        let MemberMessage {
            from,
            record_version,
            body,
            updates,
            ..
        } = message;
        let trusted = self.check_sender(sender, from, record_version, &body, out);
        // Updates about this node are always applied: after a network partition
        // each side counts the other as dead, and each must refute that.
        let accepted = updates
            .into_iter()
            .filter(|update| trusted || update.key() == self.own.name)
            .collect::<Vec<_>>();
        for update in accepted {
            self.apply_update(update, sender, now, out);
        }
        self.respond(sender, from, record_version, body, now, out);
    }

    /// Records the configuration version that is in force on a peer.
    fn record_config_version(
        &mut self,
        sender: &str,
        version: id::DocumentVersion,
        out: &mut Vec<MemberAction>,
    ) {
        if version > self.own.version {
            out.push(MemberAction::NewerConfig {
                version,
                from: sender.to_owned(),
            });
        }
        if let Ok(index) = self.find(sender) {
            let record = &mut self.members[index].record;
            if record.version < version {
                record.version = version;
                self.generation += 1;
            }
        }
    }

    /// Notifies an earlier process of a host that it was replaced. Returns
    /// whether the sender is such a process.
    fn reject_older_process(
        &mut self,
        sender: &str,
        message: &MemberMessage,
        out: &mut Vec<MemberAction>,
    ) -> bool {
        let known = self.find(sender).map(|index| &self.members[index].record);
        let Ok(record) = known else { return false };
        let is_older = message.record_version.incarnation < record.incarnation;
        if is_older {
            let update = MemberUpdate::Alive(record.clone());
            let mut reply = Box::new(self.message(MessageBody::Gossip));
            reply.updates = vec![update];
            out.push(MemberAction::Send {
                to: message.from,
                receiver: message.record_version.incarnation,
                message: reply,
            });
        }
        is_older
    }

    /// Returns whether the updates of a sender are accepted. A sender that is
    /// unknown or counts as dead is notified of that.
    pub(super) fn check_sender(
        &mut self,
        sender: &str,
        from: net::SocketAddr,
        record_version: RecordVersion,
        body: &MessageBody,
        out: &mut Vec<MemberAction>,
    ) -> bool {
        let introduces = matches!(
            body,
            MessageBody::Join(_)
                | MessageBody::Region(_)
                | MessageBody::Sync { .. }
                | MessageBody::RequestJoin
        );
        let Ok(index) = self.find(sender) else {
            if !introduces {
                self.send_to(
                    from,
                    record_version.incarnation,
                    MessageBody::RequestJoin,
                    out,
                );
            }
            return matches!(body, MessageBody::Sync { .. });
        };
        let member = &self.members[index];
        if member.status != MemberStatus::Dead || record_version > member.record.record_version() {
            return true;
        }
        // The sender counts as dead and must refute that before its updates are accepted.
        let update = MemberUpdate::Dead {
            name: sender.to_owned(),
            record_version: member.record.record_version(),
        };
        let mut message = Box::new(self.message(MessageBody::Gossip));
        message.updates = vec![update];
        out.push(MemberAction::Send {
            to: from,
            receiver: record_version.incarnation,
            message,
        });
        false
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn respond(
        &mut self,
        sender: &str,
        from: net::SocketAddr,
        record_version: RecordVersion,
        body: MessageBody,
        now: time::Instant,
        out: &mut Vec<MemberAction>,
    ) {
        match body {
            MessageBody::Probe { nonce } => {
                self.send_to(
                    from,
                    record_version.incarnation,
                    MessageBody::Ack { nonce },
                    out,
                );
            }
            MessageBody::Ack { nonce } => self.handle_ack(nonce, now, out),
            MessageBody::IndirectProbe {
                nonce,
                target,
                address,
                incarnation,
            } => {
                let own_nonce = self.probes.next_nonce();
                self.relayed.push(RelayedProbe {
                    nonce: own_nonce,
                    requester: sender.to_owned(),
                    requester_nonce: nonce,
                    started: now,
                });
                if target != self.own.name {
                    let body = MessageBody::Probe { nonce: own_nonce };
                    self.send_to(address, incarnation, body, out);
                }
            }
            MessageBody::Nack { nonce } => self.probes.confirm(nonce),
            MessageBody::Gossip => {}
            MessageBody::Join(record) if record.region != self.own.region => {
                self.send_to(
                    from,
                    record_version.incarnation,
                    MessageBody::Region(self.summary()),
                    out,
                );
            }
            MessageBody::Join(record) => {
                self.apply_update(MemberUpdate::Alive(record), sender, now, out);
                self.send_full_state(from, record_version.incarnation, true, out);
            }
            MessageBody::Sync { reply_wanted: true } => {
                self.send_full_state(from, record_version.incarnation, false, out)
            }
            MessageBody::Sync {
                reply_wanted: false,
            } => {}
            MessageBody::Compare { digest } => {
                if digest != self.digest() {
                    self.send_full_state(from, record_version.incarnation, true, out);
                }
            }
            MessageBody::RequestJoin => {
                let body = MessageBody::Join(self.own.clone());
                self.send_to(from, record_version.incarnation, body, out);
            }
            MessageBody::Region(summary) => self.handle_summary(summary, now, out),
        }
    }

    pub(super) fn handle_ack(
        &mut self,
        nonce: probe::ProbeNonce,
        now: time::Instant,
        out: &mut Vec<MemberAction>,
    ) {
        if let Some(index) = self
            .relayed
            .iter()
            .position(|relayed| relayed.nonce == nonce)
        {
            let relayed = self.relayed.swap_remove(index);
            let body = MessageBody::Ack {
                nonce: relayed.requester_nonce,
            };
            self.send(&relayed.requester, body, out);
            return;
        }
        let Some(target) = self.probes.acknowledge(nonce) else {
            return;
        };
        if let Ok(index) = self.find(&target) {
            let member = &mut self.members[index];
            member.last_ack = Some(now);
            if member.status == MemberStatus::Suspect {
                member.status = MemberStatus::Alive;
            }
        }
    }

    /// Sends the full state to a peer.
    pub(super) fn send_full_state(
        &mut self,
        to: net::SocketAddr,
        receiver: id::IncarnationNumber,
        reply_wanted: bool,
        out: &mut Vec<MemberAction>,
    ) {
        let mut message = Box::new(self.message(MessageBody::Sync { reply_wanted }));
        message.updates = vec![MemberUpdate::Alive(self.own.clone())];
        let known = self.members.iter().map(|member| match member.status {
            MemberStatus::Alive | MemberStatus::Suspect => {
                MemberUpdate::Alive(member.record.clone())
            }
            MemberStatus::Dead => MemberUpdate::Dead {
                name: member.record.name.clone(),
                record_version: member.record.record_version(),
            },
        });
        message.updates.extend(known);
        let reports = self.regions.reports().cloned().map(MemberUpdate::Region);
        message.updates.extend(reports);
        out.push(MemberAction::Send {
            to,
            receiver,
            message,
        });
    }
}
