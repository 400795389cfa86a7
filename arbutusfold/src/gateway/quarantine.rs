//! Requests under which runners died: whether they may run, and what is
//! recorded of their runs.

use std::time as std_time;

use tokio::time;

use crate::event;
use crate::gateway::core::lock;
use crate::gateway::crash;
use crate::gateway::request;
use crate::gateway::response;
use crate::gateway::suspects;
use crate::gateway::trial;
use crate::id;
use crate::suspect;
use crate::suspect::ledger;

/// `Retry-After` time of a quarantined request while it is tried elsewhere.
const TRIAL_RETRY_AFTER: std_time::Duration = std_time::Duration::from_millis(1_000);

/// Cause of the refusal of a request that crashed runners.
pub const CAUSE: &str = "runners crashed while they ran this request";

/// Time that a retry waits for the check whether a runner died, if the request has
/// parts that other requests share. A check of a live or a closed runner takes a
/// few milliseconds.
const CHECK_PATIENCE: std_time::Duration = std_time::Duration::from_millis(100);

/// Whether a request may run, and what decides it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct KeyStanding {
    /// Fingerprint of the request or of a part of its prompt.
    key: suspect::RequestFingerprint,
    standing: ledger::RequestStanding,
}

impl request::CallerRequest {
    /// Returns whether the request may run, by the runners that died under it, its
    /// resends and other requests with parts of its prompt; `None` if none did.
    fn standing(&self) -> Option<KeyStanding> {
        let crashes = self.trace.crashes();
        let now = time::Instant::now();
        let suspects = lock(&self.core.suspects);
        // Most requests need no fingerprint.
        if suspects.is_empty() && crashes.is_empty() {
            return None;
        }
        let key = self.fingerprint();
        let own = KeyStanding {
            key,
            standing: suspects.standing(&key, &crashes, now),
        };
        let parts = self.suspect_parts().iter().map(|key| KeyStanding {
            key: *key,
            standing: suspects.standing(key, &[], now),
        });
        parts.chain([own]).max_by_key(|known| known.standing)
    }

    /// Returns for how long the request may not run, or `None` if it may.
    pub fn quarantine_left(&self) -> Option<std_time::Duration> {
        if let Some(permit) = &self.trial {
            // A trial reaches one runner, also if that one rejects it.
            let is_sent = permit.state != trial::PermitState::Unused;
            return is_sent.then_some(TRIAL_RETRY_AFTER);
        }
        match self.standing()?.standing {
            ledger::RequestStanding::Free => None,
            ledger::RequestStanding::Trial => Some(TRIAL_RETRY_AFTER),
            ledger::RequestStanding::Quarantined(left) => Some(left),
        }
    }

    /// Claims the trial of the request, or of a part of its prompt, if it may only
    /// run as one. If another request has the trial, waits for a moment for its
    /// answer.
    async fn claim_trial(&mut self) {
        if self.trial.is_some() {
            return;
        }
        let Some(KeyStanding {
            key,
            standing: ledger::RequestStanding::Trial,
        }) = self.standing()
        else {
            return;
        };
        let claim = trial::claim(&self.core, &key);
        let cleared = suspects::wait_until_cleared(&self.core, &key);
        let permit = tokio::select! {
            permit = claim => permit,
            () = cleared => return,
        };
        if permit.is_none() {
            let cleared = suspects::wait_until_cleared(&self.core, &key);
            // The standing tells afterwards whether it was cleared.
            let _ = time::timeout(trial::CLAIM_TIMEOUT, cleared).await;
        }
        self.trial = permit;
    }

    /// Records that the request is sent to runners that it was not sent to before.
    pub fn begin_run(&mut self, runners: &[id::UpstreamName]) {
        let is_suspect = self.is_suspect();
        let kind = match &mut self.trial {
            Some(permit) => {
                permit.begin_run();
                crash::RunKind::Trial
            }
            None if is_suspect => crash::RunKind::Repeated,
            None => crash::RunKind::Fresh,
        };
        self.trace.begin(runners, kind, time::Instant::now());
    }

    /// Returns whether the death of a runner under the request or its resends is
    /// known.
    fn is_suspect(&self) -> bool {
        if !self.trace.crashes().is_empty() {
            return true;
        }
        let suspects = lock(&self.core.suspects);
        !suspects.is_empty() && suspects.is_suspect(&self.fingerprint())
    }

    /// Returns the fingerprints of the parts of the prompt that may be what crashes
    /// runners: none once an answer has begun.
    fn suspect_parts(&self) -> &[suspect::RequestFingerprint] {
        if self.has_begun {
            return &[];
        }
        self.part_keys.get_or_init(|| {
            let parts = self.head.shared_parts.iter();
            parts.map(|part| suspect::part_fingerprint(part)).collect()
        })
    }

    /// Returns whether the request may not run again because of the runners that
    /// died under it. Waits for the check of the latest one if others died before.
    pub async fn is_held_back(&mut self) -> bool {
        if self.is_suspect() {
            self.trace.settle().await;
        } else if !self.suspect_parts().is_empty() {
            // A check that takes longer is not waited for.
            let _ = time::timeout(CHECK_PATIENCE, self.trace.settle()).await;
        }
        self.claim_trial().await;
        let left = self.quarantine_left();
        if let Some(left) = left {
            self.note_quarantine(left);
        }
        left.is_some()
    }

    fn note_quarantine(&mut self, left: std_time::Duration) {
        if !self.begin_refusal() {
            return;
        }
        self.count_refused_run("suspect");
        let key = match &self.trial {
            Some(permit) => permit.fingerprint,
            None => self
                .standing()
                .map_or_else(|| self.fingerprint(), |known| known.key),
        };
        let detail = format!(
            "fingerprint={} part={} left_s={} runs={}",
            suspect::fingerprint_text(&key),
            suspect::is_part(&key),
            left.as_secs(),
            self.executed
        );
        self.note(event::EventCode::SuspectQuarantined, detail);
    }

    /// Returns the refusal of a new request whose resends crashed runners before,
    /// unless this one is the trial.
    pub async fn quarantine_refusal(&mut self) -> Option<response::GatewayRefusal> {
        self.claim_trial().await;
        let left = self.quarantine_left()?;
        self.note_quarantine(left);
        Some(response::GatewayRefusal::not_run(CAUSE, left))
    }

    /// Records that a runner began an answer, which clears the parts of the prompt.
    pub fn note_begun(&mut self) {
        if self.has_begun {
            return;
        }
        if !lock(&self.core.suspects).is_empty() {
            for part in self.suspect_parts() {
                suspects::clear(&self.core, part);
            }
        }
        self.has_begun = true;
        if let Some(permit) = &mut self.trial
            && suspect::is_part(&permit.fingerprint)
        {
            permit.state = trial::PermitState::Survived;
        }
    }

    /// Records that a runner answered the request completely. An answer that does
    /// not show that the request ran, such as 503 or 504, does not count.
    pub fn note_answered(&mut self) {
        self.trace.end(crash::RequestEnd::Answered);
        self.note_survived();
    }

    /// Records that a runner ran the request and did not die, although it may have
    /// failed it.
    pub fn note_survived(&mut self) {
        self.unfinished.clear();
        if let Some(permit) = &mut self.trial {
            permit.state = trial::PermitState::Survived;
        }
        if !lock(&self.core.suspects).is_empty() {
            suspects::clear(&self.core, &self.fingerprint());
        }
    }

    /// Returns the fingerprint, which resends of the request share: they come
    /// with the same path, organisation and body.
    pub fn fingerprint(&self) -> suspect::RequestFingerprint {
        *self.fingerprint.get_or_init(|| {
            let path = self.parts.uri.path_and_query();
            let path = path.map_or("/", |path| path.as_str());
            let organisation = self.organisation.as_deref().unwrap_or_default();
            suspect::fingerprint(organisation, path, &self.body)
        })
    }

    /// Checks in the background whether a runner died during the latest run.
    pub fn check_crash(
        &self,
        target: &request::AttemptTarget,
        stage: usize,
        sign: crash::CrashSign,
        progressed: bool,
    ) {
        if let Some(instance) = target.instance(stage) {
            let suspicion = self.suspicion(instance, stage, sign, progressed);
            crash::check(&self.core, &self.trace, suspicion);
        }
    }

    fn suspicion(
        &self,
        instance: crash::RunnerInstance,
        stage: usize,
        sign: crash::CrashSign,
        progressed: bool,
    ) -> crash::CrashSuspicion {
        crash::CrashSuspicion {
            request: self.head.request.clone(),
            fingerprint: self.fingerprint(),
            instance,
            stage,
            sign,
            progressed,
            parts: match progressed {
                true => Vec::new(),
                false => self.suspect_parts().to_vec(),
            },
            trial: self.trial.as_ref().map(|permit| permit.fingerprint),
        }
    }

    /// Checks the runners of a run that was still under way when its caller left
    /// or its time was up. Most runners stop such a run, but it may go on.
    fn check_unfinished(&mut self) {
        let unfinished = std::mem::take(&mut self.unfinished).into_iter();
        let suspicions: Vec<_> = unfinished
            .map(|(stage, instance)| {
                self.suspicion(instance, stage, crash::CrashSign::Unfinished, false)
            })
            .collect();
        if !suspicions.is_empty() {
            crash::check_unfinished(&self.core, &self.trace, suspicions);
        }
    }
}

impl Drop for request::CallerRequest {
    /// Records the runners that died under a request without an answer, also one
    /// whose caller left.
    fn drop(&mut self) {
        self.return_retry();
        self.trace.end(crash::RequestEnd::Unanswered);
        let mut crashes = self.trace.crashes();
        if self.trace.ended() != Some(crash::RequestEnd::Unanswered) {
            return;
        }
        let trial = self.trial.as_ref();
        let trial = trial.filter(|permit| permit.state == trial::PermitState::Sent);
        if let Some(permit) = trial.filter(|_| crashes.is_empty()) {
            let number = id::new_incarnation();
            let host = &self.core.settings.name;
            let record = ledger::CrashRecord::unanswered_trial(host, number);
            match suspect::is_part(&permit.fingerprint) {
                true => suspects::record_crashes(&self.core, &permit.fingerprint, &[record]),
                false => crashes.push(record),
            }
        }
        self.check_unfinished();
        if !crashes.is_empty() {
            suspects::record_crashes(&self.core, &self.fingerprint(), &crashes);
        }
    }
}
