//! Taking changes of membership that peers tell.

use tokio::time;

use super::{MemberAction, MemberKeeper, MemberState, MemberStatus, is_first_hand};
use crate::member::message::{MemberAct, MemberRecord, MemberUpdate, RecordAge};
use crate::probe;

impl MemberKeeper {
    pub(super) fn apply(
        &mut self,
        update: MemberUpdate,
        sender: &str,
        now: time::Instant,
        out: &mut Vec<MemberAction>,
    ) {
        match update {
            MemberUpdate::Alive(record) if record.name == self.own.name => {
                self.hear_of_self(&record, out);
            }
            MemberUpdate::Alive(record) => self.take_record(record, now, out),
            MemberUpdate::Suspect { name, age } | MemberUpdate::Dead { name, age }
                if name == self.own.name =>
            {
                self.refute(age, out);
            }
            MemberUpdate::Suspect { name, age } => {
                let Some(held) = self.find_living(&name) else {
                    return;
                };
                if held.record.age() == age && !is_first_hand(held, now) {
                    self.suspect(&name, age, now, out);
                }
            }
            MemberUpdate::Dead { name, age } => {
                let Some(held) = self.find_living(&name) else {
                    return;
                };
                if held.record.age() > age {
                    return;
                }
                if sender != name && is_first_hand(held, now) {
                    // Own evidence goes before hearsay: look again.
                    self.look_again(&name, now, out);
                    return;
                }
                let cause = if sender == name { "left" } else { "told" };
                self.bury(&name, age, cause, now, out);
            }
            MemberUpdate::Region(word) => {
                let region = word.summary.region.clone();
                let before = self.regions.is_reached(&region);
                if word.relay != self.own.name && self.regions.learn(&word) {
                    self.changes += 1;
                    self.note_region(&region, before, out);
                    let update = MemberUpdate::Region(word);
                    self.pending_updates.put(update.subject(), update);
                }
            }
        }
    }

    pub(super) fn hear_of_self(&mut self, record: &MemberRecord, out: &mut Vec<MemberAction>) {
        if record.age() <= self.own.age() {
            return;
        }
        if record.peers != self.own.peers {
            out.push(MemberAction::Superseded);
            return;
        }
        // An earlier process here started by a clock that ran ahead.
        self.refute(record.age(), out);
    }

    pub(super) fn refute(&mut self, age: RecordAge, out: &mut Vec<MemberAction>) {
        if age < self.own.age() || self.left {
            return;
        }
        if age.incarnation > self.own.incarnation {
            self.own.incarnation = age.incarnation + 1;
            out.push(MemberAction::Raised(self.own.incarnation));
        }
        self.own.revision = self.own.revision.max(age.revision);
        self.renew();
    }

    pub(super) fn take_record(
        &mut self,
        record: MemberRecord,
        now: time::Instant,
        out: &mut Vec<MemberAction>,
    ) {
        if record.region != self.own.region {
            return;
        }
        self.bury_replaced(&record, now, out);
        let found = self.find(&record.name);
        let fresh = MemberState {
            record: record.clone(),
            status: MemberStatus::Alive,
            since: now,
            answered: None,
        };
        match found {
            Ok(place) if self.members[place].record.age() >= record.age() => return,
            Ok(place) => {
                let held = &mut self.members[place];
                let same = held.record.incarnation == record.incarnation;
                let answered = held.answered.filter(|_| same);
                let returned = held.status == MemberStatus::Dead || !same;
                *held = MemberState { answered, ..fresh };
                if !same {
                    self.probes.cancel(&record.name);
                }
                if returned {
                    out.push(MemberAction::Alive(record.name.clone()));
                }
            }
            Err(place) => {
                self.members.insert(place, fresh);
                out.push(MemberAction::Alive(record.name.clone()));
            }
        }
        self.changes += 1;
        // Chosen anew, so that rumours reach a host that just joined.
        self.neighbours.clear();
        let update = MemberUpdate::Alive(record);
        self.pending_updates.put(update.subject(), update);
    }

    /// Buries a host at whose address another one started later.
    pub(super) fn bury_replaced(
        &mut self,
        record: &MemberRecord,
        now: time::Instant,
        out: &mut Vec<MemberAction>,
    ) {
        let replaced = self.living().find(|held| {
            held.record.peers == record.peers
                && held.record.name != record.name
                && held.record.incarnation < record.incarnation
        });
        if let Some(held) = replaced {
            let name = held.record.name.clone();
            let age = held.record.age();
            self.bury(&name, age, "replaced", now, out);
        }
    }

    pub(super) fn suspect(
        &mut self,
        name: &str,
        age: RecordAge,
        now: time::Instant,
        out: &mut Vec<MemberAction>,
    ) {
        let Ok(place) = self.find(name) else { return };
        let held = &mut self.members[place];
        if held.status != MemberStatus::Alive {
            return;
        }
        held.status = MemberStatus::Suspect;
        held.since = now;
        out.push(MemberAction::Suspected(name.to_owned()));
        let update = MemberUpdate::Suspect {
            name: name.to_owned(),
            age,
        };
        self.pending_updates.put(update.subject(), update);
        // Only neighbours look for themselves, so that the load on a host
        // that is merely slow stays bounded.
        if self.neighbours.iter().any(|held| held == name) {
            self.look_again(name, now, out);
        }
    }

    pub(super) fn look_again(
        &mut self,
        name: &str,
        now: time::Instant,
        out: &mut Vec<MemberAction>,
    ) {
        let step = self.probes.begin(name, now);
        if let Some(probe::ProbeStep::Ask { target, nonce }) = step {
            self.send(&target, MemberAct::Probe { nonce }, out);
        }
    }

    pub(super) fn bury(
        &mut self,
        name: &str,
        age: RecordAge,
        cause: &'static str,
        now: time::Instant,
        out: &mut Vec<MemberAction>,
    ) {
        let Ok(place) = self.find(name) else { return };
        let held = &mut self.members[place];
        held.status = MemberStatus::Dead;
        held.since = now;
        // A record between the known one and the last must not revive it.
        let last = age.max(held.record.age());
        held.record.incarnation = last.incarnation;
        held.record.revision = last.revision;
        self.changes += 1;
        self.probes.cancel(name);
        self.neighbours.retain(|held| held != name);
        out.push(MemberAction::Gone {
            name: name.to_owned(),
            cause,
        });
        let update = MemberUpdate::Dead {
            name: name.to_owned(),
            age,
        };
        self.pending_updates.put(update.subject(), update);
    }
}
