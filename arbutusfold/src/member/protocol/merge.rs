//! Merging of membership updates from peers.

use tokio::time;

use super::{MemberAction, MemberProtocol, MemberState, MemberStatus, is_recently_acked};
use crate::member::message::{MemberRecord, MemberUpdate, MessageBody, RecordVersion};
use crate::probe;

impl MemberProtocol {
    pub(super) fn apply_update(
        &mut self,
        update: MemberUpdate,
        sender: &str,
        now: time::Instant,
        out: &mut Vec<MemberAction>,
    ) {
        match update {
            MemberUpdate::Alive(record) if record.name == self.own.name => {
                self.handle_own_record(&record, out);
            }
            MemberUpdate::Alive(record) => self.merge_record(record, now, out),
            MemberUpdate::Suspect {
                name,
                record_version,
            }
            | MemberUpdate::Dead {
                name,
                record_version,
            } if name == self.own.name => {
                self.refute(record_version, out);
            }
            MemberUpdate::Suspect {
                name,
                record_version,
            } => {
                let Some(member) = self.find_live(&name) else {
                    return;
                };
                if member.record.record_version() == record_version
                    && !is_recently_acked(member, now)
                {
                    self.suspect(&name, record_version, now, out);
                }
            }
            MemberUpdate::Dead {
                name,
                record_version,
            } => {
                let Some(member) = self.find_live(&name) else {
                    return;
                };
                if member.record.record_version() > record_version {
                    return;
                }
                if sender != name && is_recently_acked(member, now) {
                    // A recent ack has precedence over the report: probe again.
                    self.probe_again(&name, now, out);
                    return;
                }
                let cause = if sender == name { "left" } else { "told" };
                self.declare_dead(&name, record_version, cause, now, out);
            }
            MemberUpdate::Region(report) => {
                let region = report.summary.region.clone();
                let before = self.regions.is_reachable(&region);
                if report.relay != self.own.name && self.regions.merge(&report) {
                    self.generation += 1;
                    self.report_region_change(&region, before, out);
                    let update = MemberUpdate::Region(report);
                    self.pending_updates.put(update.key(), update);
                }
            }
        }
    }

    pub(super) fn handle_own_record(&mut self, record: &MemberRecord, out: &mut Vec<MemberAction>) {
        if record.record_version() <= self.own.record_version() {
            return;
        }
        if record.peers != self.own.peers {
            out.push(MemberAction::Superseded);
            return;
        }
        // An earlier process on this host drew its incarnation from a clock that ran ahead.
        self.refute(record.record_version(), out);
    }

    pub(super) fn refute(&mut self, record_version: RecordVersion, out: &mut Vec<MemberAction>) {
        if record_version < self.own.record_version() || self.left {
            return;
        }
        if record_version.incarnation > self.own.incarnation {
            self.own.incarnation = record_version.incarnation + 1;
            out.push(MemberAction::IncarnationRaised(self.own.incarnation));
        }
        self.own.revision = self.own.revision.max(record_version.revision);
        self.publish_own_record();
    }

    pub(super) fn merge_record(
        &mut self,
        record: MemberRecord,
        now: time::Instant,
        out: &mut Vec<MemberAction>,
    ) {
        if record.region != self.own.region {
            return;
        }
        self.declare_replaced_dead(&record, now, out);
        let found = self.find(&record.name);
        let new_state = MemberState {
            record: record.clone(),
            status: MemberStatus::Alive,
            status_since: now,
            last_ack: None,
        };
        match found {
            Ok(index) if self.members[index].record.record_version() >= record.record_version() => {
                return;
            }
            Ok(index) => {
                let member = &mut self.members[index];
                let same_process = member.record.incarnation == record.incarnation;
                let last_ack = member.last_ack.filter(|_| same_process);
                let returned = member.status == MemberStatus::Dead || !same_process;
                *member = MemberState {
                    last_ack,
                    ..new_state
                };
                if !same_process {
                    self.probes.cancel(&record.name);
                }
                if returned {
                    out.push(MemberAction::Alive(record.name.clone()));
                }
            }
            Err(index) => {
                self.members.insert(index, new_state);
                out.push(MemberAction::Alive(record.name.clone()));
            }
        }
        self.generation += 1;
        // The neighbours are chosen again, so that updates reach a host that just joined.
        self.neighbours.clear();
        let update = MemberUpdate::Alive(record);
        self.pending_updates.put(update.key(), update);
    }

    /// Declares a host dead if another one with its peer address started later.
    pub(super) fn declare_replaced_dead(
        &mut self,
        record: &MemberRecord,
        now: time::Instant,
        out: &mut Vec<MemberAction>,
    ) {
        let replaced = self.live_members().find(|member| {
            member.record.peers == record.peers
                && member.record.name != record.name
                && member.record.incarnation < record.incarnation
        });
        if let Some(member) = replaced {
            let name = member.record.name.clone();
            let record_version = member.record.record_version();
            self.declare_dead(&name, record_version, "replaced", now, out);
        }
    }

    pub(super) fn suspect(
        &mut self,
        name: &str,
        record_version: RecordVersion,
        now: time::Instant,
        out: &mut Vec<MemberAction>,
    ) {
        let Ok(index) = self.find(name) else { return };
        let member = &mut self.members[index];
        if member.status != MemberStatus::Alive {
            return;
        }
        member.status = MemberStatus::Suspect;
        member.status_since = now;
        out.push(MemberAction::Suspected(name.to_owned()));
        let update = MemberUpdate::Suspect {
            name: name.to_owned(),
            record_version,
        };
        self.pending_updates.put(update.key(), update);
        // Only neighbours probe the host again, which bounds the load on a host
        // that is only slow.
        if self.neighbours.iter().any(|neighbour| neighbour == name) {
            self.probe_again(name, now, out);
        }
    }

    pub(super) fn probe_again(
        &mut self,
        name: &str,
        now: time::Instant,
        out: &mut Vec<MemberAction>,
    ) {
        let step = self.probes.begin(name, now);
        if let Some(probe::ProbeStep::Send { target, nonce }) = step {
            self.send(&target, MessageBody::Probe { nonce }, out);
        }
    }

    pub(super) fn declare_dead(
        &mut self,
        name: &str,
        record_version: RecordVersion,
        cause: &'static str,
        now: time::Instant,
        out: &mut Vec<MemberAction>,
    ) {
        let Ok(index) = self.find(name) else { return };
        let member = &mut self.members[index];
        member.status = MemberStatus::Dead;
        member.status_since = now;
        // Keep the newer of both versions, so that no record up to it revives the host.
        let last = record_version.max(member.record.record_version());
        member.record.incarnation = last.incarnation;
        member.record.revision = last.revision;
        self.generation += 1;
        self.probes.cancel(name);
        self.neighbours.retain(|neighbour| neighbour != name);
        out.push(MemberAction::Gone {
            name: name.to_owned(),
            cause,
        });
        let update = MemberUpdate::Dead {
            name: name.to_owned(),
            record_version,
        };
        self.pending_updates.put(update.key(), update);
    }
}
