//! Issues and revokes the permits of one node.

use tokio::time;

use crate::id;
use crate::suspect;

/// Maximum number of answered requests that are remembered.
const ANSWERED_LIMIT: usize = 4_096;

/// Maximum number of requests whose permits are tracked.
const REQUEST_LIMIT: usize = 16_384;

/// Issues the permits of one node and tracks the revoked ones of all nodes.
#[derive(Debug)]
pub struct PermitIssuer {
    host: id::HostName,
    requests: Vec<RequestState>,
    /// Answered requests with their expiry, sorted by fingerprint.
    answered: Vec<(suspect::RequestFingerprint, time::Instant)>,
}

/// Permits and crashes of one request.
#[derive(Debug)]
struct RequestState {
    fingerprint: suspect::RequestFingerprint,
    organisation: id::OrganisationName,
    revoked: Vec<suspect::RevokedPermit>,
    /// Crashes that do not count.
    exemption: Option<suspect::CrashExemption>,
    holders: Vec<PermitHolder>,
    expires_at: time::Instant,
}

/// A run that holds a permit issued by this node.
#[derive(Debug)]
struct PermitHolder {
    host: id::HostName,
    run: suspect::RunNumber,
    expires_at: time::Instant,
}

impl PermitIssuer {
    /// Creates the issuer of node `host`.
    pub fn new(host: id::HostName) -> Self {
        Self {
            host,
            requests: Vec::new(),
            answered: Vec::new(),
        }
    }

    /// Returns the known revoked permits of a request.
    pub fn revoked(&self, fingerprint: &suspect::RequestFingerprint) -> &[suspect::RevokedPermit] {
        self.find(fingerprint)
            .map_or(&[], |index| &self.requests[index].revoked)
    }

    /// Returns whether a request was answered recently and has no revoked
    /// permit.
    pub fn is_trusted(
        &self,
        fingerprint: &suspect::RequestFingerprint,
        now: time::Instant,
    ) -> bool {
        let answered = self
            .answered
            .binary_search_by(|(known, _)| known.cmp(fingerprint))
            .is_ok_and(|index| now < self.answered[index].1);
        answered && self.revoked(fingerprint).is_empty()
    }

    /// Decides on a claim of node `from`; a repeated claim gets the same permit.
    pub fn claim(
        &mut self,
        from: &str,
        claim: &suspect::PermitClaim,
        issuers: &[id::HostName],
        now: time::Instant,
    ) -> suspect::PermitDecision {
        for permit in &claim.revoked {
            self.record_revoked(&claim.fingerprint, &claim.organisation, permit, now);
        }
        if let Some(exemption) = &claim.exemption {
            self.record_exemption(&claim.fingerprint, &claim.organisation, exemption, now);
        }
        if self.is_trusted(&claim.fingerprint, now) {
            return suspect::PermitDecision::Granted;
        }
        let host = self.host.clone();
        let index = self.find_or_insert(&claim.fingerprint, &claim.organisation, now);
        let request = &mut self.requests[index];
        request.revoke_expired(&host, now);
        if request.holds(from, claim.run) {
            return suspect::PermitDecision::Granted;
        }
        if request.revoked.len() >= suspect::PERMITS_PER_REQUEST {
            return suspect::PermitDecision::Quarantined;
        }
        match request.permit_allowance(&host, issuers) {
            0 => suspect::PermitDecision::NoPermit,
            allowance if request.holders.len() >= allowance => suspect::PermitDecision::Busy,
            _ => {
                request.holders.push(PermitHolder {
                    host: from.to_owned(),
                    run: claim.run,
                    expires_at: now + claim.time_limit,
                });
                suspect::PermitDecision::Granted
            }
        }
    }

    /// Handles the end of a run of node `from`.
    pub fn end(
        &mut self,
        from: &str,
        fingerprint: &suspect::RequestFingerprint,
        run: suspect::RunNumber,
        end: &suspect::RunEnd,
        now: time::Instant,
    ) {
        let held = self.find(fingerprint).is_some_and(|index| {
            let holders = &mut self.requests[index].holders;
            let before = holders.len();
            holders.retain(|holder| holder.host != from || holder.run != run);
            holders.len() < before
        });
        match end {
            suspect::RunEnd::Answered => self.record_answered(fingerprint, now),
            suspect::RunEnd::NoCrash => {}
            suspect::RunEnd::Crashed(crash) if held => {
                let permit = suspect::RevokedPermit {
                    issuer: self.host.clone(),
                    crash: crash.clone(),
                };
                self.record_revoked(fingerprint, "", &permit, now);
            }
            // The end was handled before, or the run held no permit of this
            // node; its node announces the revoked permit itself.
            suspect::RunEnd::Crashed(_) => {}
        }
    }

    /// Records that a request was answered, which shows that it does not crash
    /// its upstreams.
    pub fn record_answered(
        &mut self,
        fingerprint: &suspect::RequestFingerprint,
        now: time::Instant,
    ) {
        let until = now + suspect::ANSWERED_TTL;
        match self
            .answered
            .binary_search_by(|(known, _)| known.cmp(fingerprint))
        {
            Ok(index) => self.answered[index].1 = until,
            Err(_) if self.answered.len() >= ANSWERED_LIMIT => {
                self.answered.retain(|(_, until)| now < *until);
                self.answered.truncate(ANSWERED_LIMIT / 2);
                self.record_answered(fingerprint, now);
            }
            Err(index) => self.answered.insert(index, (*fingerprint, until)),
        }
        // The request was answered, so the upstreams that died during its runs
        // crashed for another reason.
        if let Some(index) = self.find(fingerprint) {
            self.requests[index].revoked.clear();
        }
    }

    /// Records a revoked permit; returns whether it was unknown.
    pub fn record_revoked(
        &mut self,
        fingerprint: &suspect::RequestFingerprint,
        organisation: &str,
        permit: &suspect::RevokedPermit,
        now: time::Instant,
    ) -> bool {
        let index = self.find_or_insert(fingerprint, organisation, now);
        let request = &mut self.requests[index];
        if request.is_exempt(&permit.crash) {
            return false;
        }
        request.expires_at = now + suspect::REVOKED_TTL;
        match request.revoked.binary_search(permit) {
            Ok(_) => false,
            Err(index) => {
                request.revoked.insert(index, permit.clone());
                true
            }
        }
    }

    /// Exempts a crash after new tokens, and all earlier crashes, unless the
    /// request has used up its exemptions.
    ///
    /// Earlier crashes are exempt because the answer got past the tokens at
    /// which they happened. A request that crashes its upstreams before the
    /// first token is never exempt.
    pub fn exempt_crash(
        &mut self,
        fingerprint: &suspect::RequestFingerprint,
        organisation: &str,
        crash: &suspect::CrashId,
        now: time::Instant,
    ) {
        let index = self.find_or_insert(fingerprint, organisation, now);
        let request = &self.requests[index];
        let known = request.exemption.as_ref();
        let ordinal = known.map_or(0, |exemption| exemption.ordinal) + 1;
        let mut crashes = known.map_or_else(Vec::new, |exemption| exemption.crashes.clone());
        crashes.extend(request.revoked.iter().map(|permit| permit.crash.clone()));
        crashes.push(crash.clone());
        let exemption = suspect::CrashExemption { ordinal, crashes };
        self.record_exemption(fingerprint, organisation, &exemption, now);
    }

    /// Records an exemption; it includes the earlier ones of the same request.
    fn record_exemption(
        &mut self,
        fingerprint: &suspect::RequestFingerprint,
        organisation: &str,
        exemption: &suspect::CrashExemption,
        now: time::Instant,
    ) {
        let index = self.find_or_insert(fingerprint, organisation, now);
        let request = &mut self.requests[index];
        let known = request.exemption.as_ref().map_or(0, |known| known.ordinal);
        if exemption.ordinal > known && exemption.ordinal <= suspect::EXEMPTION_LIMIT {
            request.exemption = Some(exemption.clone());
            request
                .revoked
                .retain(|permit| !exemption.crashes.contains(&permit.crash));
        }
    }

    /// Returns the latest exemption of a request.
    pub fn exemption(
        &self,
        fingerprint: &suspect::RequestFingerprint,
    ) -> Option<&suspect::CrashExemption> {
        self.requests[self.find(fingerprint)?].exemption.as_ref()
    }

    /// Removes a crash that turned out not to have happened.
    pub fn retract_crash(
        &mut self,
        fingerprint: &suspect::RequestFingerprint,
        crash: &suspect::CrashId,
    ) {
        if let Some(index) = self.find(fingerprint) {
            self.requests[index]
                .revoked
                .retain(|permit| permit.crash != *crash);
        }
    }

    /// Revokes the permits held by a lost node, whose runs may have crashed
    /// upstreams.
    pub fn revoke_held_by(&mut self, host: &str, now: time::Instant) {
        for request in &mut self.requests {
            let issuer = self.host.clone();
            request.revoke(issuer, now, |holder| holder.host == host);
        }
    }

    /// Returns every known revoked permit with its request.
    pub fn all_revoked(
        &self,
    ) -> impl Iterator<
        Item = (
            &suspect::RequestFingerprint,
            &id::OrganisationName,
            &suspect::RevokedPermit,
        ),
    > {
        self.requests.iter().flat_map(|request| {
            request
                .revoked
                .iter()
                .map(move |permit| (&request.fingerprint, &request.organisation, permit))
        })
    }

    /// Revokes expired permits and removes expired records.
    pub fn tick(&mut self, now: time::Instant) {
        let host = self.host.clone();
        self.requests.retain_mut(|request| {
            request.revoke_expired(&host, now);
            let has_crashes = !request.revoked.is_empty() || request.exemption.is_some();
            !request.holders.is_empty() || (has_crashes && now < request.expires_at)
        });
        self.answered.retain(|(_, until)| now < *until);
    }

    fn find(&self, fingerprint: &suspect::RequestFingerprint) -> Option<usize> {
        self.requests
            .binary_search_by(|request| request.fingerprint.cmp(fingerprint))
            .ok()
    }

    fn find_or_insert(
        &mut self,
        fingerprint: &suspect::RequestFingerprint,
        organisation: &str,
        now: time::Instant,
    ) -> usize {
        let found = self
            .requests
            .binary_search_by(|request| request.fingerprint.cmp(fingerprint));
        match found {
            Ok(index) => index,
            Err(_) if self.requests.len() >= REQUEST_LIMIT => {
                self.evict_oldest();
                self.find_or_insert(fingerprint, organisation, now)
            }
            Err(index) => {
                let request = RequestState {
                    fingerprint: *fingerprint,
                    organisation: organisation.to_owned(),
                    revoked: Vec::new(),
                    exemption: None,
                    holders: Vec::new(),
                    expires_at: now + suspect::REVOKED_TTL,
                };
                self.requests.insert(index, request);
                index
            }
        }
    }

    fn evict_oldest(&mut self) {
        let oldest = self
            .requests
            .iter()
            .enumerate()
            .min_by_key(|(_, request)| (!request.holders.is_empty(), request.expires_at))
            .map(|(index, _)| index);
        if let Some(index) = oldest {
            self.requests.remove(index);
        }
    }
}

impl RequestState {
    fn is_exempt(&self, crash: &suspect::CrashId) -> bool {
        self.exemption
            .as_ref()
            .is_some_and(|exemption| exemption.crashes.contains(crash))
    }

    fn holds(&self, host: &str, run: suspect::RunNumber) -> bool {
        self.holders
            .iter()
            .any(|holder| holder.host == host && holder.run == run)
    }

    /// Returns how many permits this node may issue at the same time.
    ///
    /// Each revoked permit reduces the total, and the remaining permits go to
    /// the highest-ranked issuers. An issuer that replaces a dead one therefore
    /// adds no permit.
    fn permit_allowance(&self, host: &str, issuers: &[id::HostName]) -> usize {
        let mut unrevoked: Vec<&id::HostName> = issuers.iter().collect();
        for permit in &self.revoked {
            if let Some(index) = unrevoked
                .iter()
                .position(|issuer| **issuer == permit.issuer)
            {
                unrevoked.remove(index);
            }
        }
        let remaining = suspect::PERMITS_PER_REQUEST.saturating_sub(self.revoked.len());
        unrevoked
            .into_iter()
            .take(remaining)
            .filter(|issuer| *issuer == host)
            .count()
    }

    /// Revokes expired permits: a run that did not report its end may have
    /// crashed its upstream.
    fn revoke_expired(&mut self, host: &str, now: time::Instant) {
        self.revoke(host.to_owned(), now, |holder| holder.expires_at <= now);
    }

    fn revoke(
        &mut self,
        issuer: id::HostName,
        now: time::Instant,
        is_lost: impl Fn(&PermitHolder) -> bool,
    ) {
        for holder in self.holders.extract_if(.., |holder| is_lost(holder)) {
            let permit = suspect::RevokedPermit {
                issuer: issuer.clone(),
                crash: suspect::CrashId {
                    upstream: holder.host,
                    incarnation: holder.run,
                },
            };
            self.expires_at = now + suspect::REVOKED_TTL;
            if let Err(index) = self.revoked.binary_search(&permit) {
                self.revoked.insert(index, permit);
            }
        }
    }
}
