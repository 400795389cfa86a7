//! The permits that one node keeps.

use tokio::time;

use crate::id;
use crate::suspect;

/// Answered requests that are remembered.
const PROVEN_LIMIT: usize = 4_096;

/// Requests with burnt permits that are remembered.
const CASE_LIMIT: usize = 16_384;

/// The permits of one node, and the burnt ones that it knows of.
#[derive(Debug)]
pub struct PermitKeeper {
    host: id::HostName,
    cases: Vec<RequestCase>,
    /// Requests that were answered, by fingerprint, with the time of forgetting.
    proven: Vec<(suspect::RequestFingerprint, time::Instant)>,
}

/// What is known of one request.
#[derive(Debug)]
struct RequestCase {
    fingerprint: suspect::RequestFingerprint,
    organisation: id::OrganisationName,
    burnt: Vec<suspect::BurntPermit>,
    /// Crashes that no longer count.
    pardon: Option<suspect::RequestPardon>,
    runs: Vec<PermitRun>,
    forget: time::Instant,
}

/// A run that holds a permit of this node.
#[derive(Debug)]
struct PermitRun {
    host: id::HostName,
    run: suspect::RunNumber,
    expires: time::Instant,
}

impl PermitKeeper {
    /// Creates the keeper of a node.
    pub fn new(host: id::HostName) -> Self {
        Self {
            host,
            cases: Vec::new(),
            proven: Vec::new(),
        }
    }

    /// Returns the burnt permits that are known of a request.
    pub fn burnt(&self, fingerprint: &suspect::RequestFingerprint) -> &[suspect::BurntPermit] {
        self.find(fingerprint)
            .map_or(&[], |place| &self.cases[place].burnt)
    }

    /// Tells whether a request was answered lately and crashed nothing.
    pub fn is_proven(&self, fingerprint: &suspect::RequestFingerprint, now: time::Instant) -> bool {
        let answered = self
            .proven
            .binary_search_by(|(known, _)| known.cmp(fingerprint))
            .is_ok_and(|place| now < self.proven[place].1);
        answered && self.burnt(fingerprint).is_empty()
    }

    /// Decides about a run of node `from`; a claim may be repeated.
    pub fn claim(
        &mut self,
        from: &str,
        claim: &suspect::PermitClaim,
        keepers: &[id::HostName],
        now: time::Instant,
    ) -> suspect::PermitVerdict {
        for permit in &claim.burnt {
            self.note_burnt(&claim.fingerprint, &claim.organisation, permit, now);
        }
        if let Some(pardon) = &claim.pardon {
            self.note_pardon(&claim.fingerprint, &claim.organisation, pardon, now);
        }
        if self.is_proven(&claim.fingerprint, now) {
            return suspect::PermitVerdict::Granted;
        }
        let host = self.host.clone();
        let place = self.case(&claim.fingerprint, &claim.organisation, now);
        let case = &mut self.cases[place];
        case.expire(&host, now);
        if case.holds(from, claim.run) {
            return suspect::PermitVerdict::Granted;
        }
        if case.burnt.len() >= suspect::PERMITS {
            return suspect::PermitVerdict::Quarantined;
        }
        match case.usable(&host, keepers) {
            0 => suspect::PermitVerdict::Elsewhere,
            usable if case.runs.len() >= usable => suspect::PermitVerdict::Busy,
            _ => {
                case.runs.push(PermitRun {
                    host: from.to_owned(),
                    run: claim.run,
                    expires: now + claim.lasts,
                });
                suspect::PermitVerdict::Granted
            }
        }
    }

    /// Notes how a run of node `from` ended.
    pub fn end(
        &mut self,
        from: &str,
        fingerprint: &suspect::RequestFingerprint,
        run: suspect::RunNumber,
        end: &suspect::RunEnd,
        now: time::Instant,
    ) {
        let held = self.find(fingerprint).is_some_and(|place| {
            let runs = &mut self.cases[place].runs;
            let before = runs.len();
            runs.retain(|held| held.host != from || held.run != run);
            runs.len() < before
        });
        match end {
            suspect::RunEnd::Answered => self.note_answered(fingerprint, now),
            suspect::RunEnd::Harmless => {}
            suspect::RunEnd::Crashed(mark) if held => {
                let permit = suspect::BurntPermit {
                    keeper: self.host.clone(),
                    mark: mark.clone(),
                };
                self.note_burnt(fingerprint, "", &permit, now);
            }
            // The run was noted before, or the sender names the permit itself.
            suspect::RunEnd::Crashed(_) => {}
        }
    }

    /// Notes that a request was answered: it does not crash what runs it.
    pub fn note_answered(&mut self, fingerprint: &suspect::RequestFingerprint, now: time::Instant) {
        let until = now + suspect::PROVEN_LIFE;
        match self
            .proven
            .binary_search_by(|(known, _)| known.cmp(fingerprint))
        {
            Ok(place) => self.proven[place].1 = until,
            Err(_) if self.proven.len() >= PROVEN_LIMIT => {
                self.proven.retain(|(_, until)| now < *until);
                self.proven.truncate(PROVEN_LIMIT / 2);
                self.note_answered(fingerprint, now);
            }
            Err(place) => self.proven.insert(place, (*fingerprint, until)),
        }
        // An answer clears the request of what died beside it.
        if let Some(place) = self.find(fingerprint) {
            self.cases[place].burnt.clear();
        }
    }

    /// Notes a burnt permit and tells whether it was news.
    pub fn note_burnt(
        &mut self,
        fingerprint: &suspect::RequestFingerprint,
        organisation: &str,
        permit: &suspect::BurntPermit,
        now: time::Instant,
    ) -> bool {
        let place = self.case(fingerprint, organisation, now);
        let case = &mut self.cases[place];
        if case.is_pardoned(&permit.mark) {
            return false;
        }
        case.forget = now + suspect::BURNT_LIFE;
        match case.burnt.binary_search(permit) {
            Ok(_) => false,
            Err(place) => {
                case.burnt.insert(place, permit.clone());
                true
            }
        }
    }

    /// Pardons a crash after new tokens, and those before it, if it may be.
    ///
    /// The answer got past the places of the earlier crashes. What crashes
    /// its upstreams before its first token is never pardoned.
    pub fn pardon(
        &mut self,
        fingerprint: &suspect::RequestFingerprint,
        organisation: &str,
        mark: &suspect::CrashMark,
        now: time::Instant,
    ) {
        let place = self.case(fingerprint, organisation, now);
        let case = &self.cases[place];
        let known = case.pardon.as_ref();
        let ordinal = known.map_or(0, |pardon| pardon.ordinal) + 1;
        let mut marks = known.map_or_else(Vec::new, |pardon| pardon.marks.clone());
        marks.extend(case.burnt.iter().map(|permit| permit.mark.clone()));
        marks.push(mark.clone());
        let pardon = suspect::RequestPardon { ordinal, marks };
        self.note_pardon(fingerprint, organisation, &pardon, now);
    }

    /// Notes a pardon; a later one of the same request holds the earlier ones.
    fn note_pardon(
        &mut self,
        fingerprint: &suspect::RequestFingerprint,
        organisation: &str,
        pardon: &suspect::RequestPardon,
        now: time::Instant,
    ) {
        let place = self.case(fingerprint, organisation, now);
        let case = &mut self.cases[place];
        let known = case.pardon.as_ref().map_or(0, |known| known.ordinal);
        if pardon.ordinal > known && pardon.ordinal <= suspect::PARDONS {
            case.pardon = Some(pardon.clone());
            case.burnt
                .retain(|permit| !pardon.marks.contains(&permit.mark));
        }
    }

    /// Returns the pardon of a request.
    pub fn pardon_of(
        &self,
        fingerprint: &suspect::RequestFingerprint,
    ) -> Option<&suspect::RequestPardon> {
        self.cases[self.find(fingerprint)?].pardon.as_ref()
    }

    /// Takes back a crash that was none.
    pub fn withdraw(
        &mut self,
        fingerprint: &suspect::RequestFingerprint,
        mark: &suspect::CrashMark,
    ) {
        if let Some(place) = self.find(fingerprint) {
            self.cases[place]
                .burnt
                .retain(|permit| permit.mark != *mark);
        }
    }

    /// Burns the permits of a node that is gone: what its runs did is not known.
    pub fn note_gone(&mut self, host: &str, now: time::Instant) {
        for case in &mut self.cases {
            let keeper = self.host.clone();
            case.burn(keeper, now, |run| run.host == host);
        }
    }

    /// Returns every burnt permit with its request, for nodes that may not know.
    pub fn all_burnt(
        &self,
    ) -> impl Iterator<
        Item = (
            &suspect::RequestFingerprint,
            &id::OrganisationName,
            &suspect::BurntPermit,
        ),
    > {
        self.cases.iter().flat_map(|case| {
            case.burnt
                .iter()
                .map(move |permit| (&case.fingerprint, &case.organisation, permit))
        })
    }

    /// Forgets what no longer matters.
    pub fn tick(&mut self, now: time::Instant) {
        let host = self.host.clone();
        self.cases.retain_mut(|case| {
            case.expire(&host, now);
            let marked = !case.burnt.is_empty() || case.pardon.is_some();
            !case.runs.is_empty() || (marked && now < case.forget)
        });
        self.proven.retain(|(_, until)| now < *until);
    }

    fn find(&self, fingerprint: &suspect::RequestFingerprint) -> Option<usize> {
        self.cases
            .binary_search_by(|case| case.fingerprint.cmp(fingerprint))
            .ok()
    }

    fn case(
        &mut self,
        fingerprint: &suspect::RequestFingerprint,
        organisation: &str,
        now: time::Instant,
    ) -> usize {
        let found = self
            .cases
            .binary_search_by(|case| case.fingerprint.cmp(fingerprint));
        match found {
            Ok(place) => place,
            Err(_) if self.cases.len() >= CASE_LIMIT => {
                self.drop_oldest();
                self.case(fingerprint, organisation, now)
            }
            Err(place) => {
                let case = RequestCase {
                    fingerprint: *fingerprint,
                    organisation: organisation.to_owned(),
                    burnt: Vec::new(),
                    pardon: None,
                    runs: Vec::new(),
                    forget: now + suspect::BURNT_LIFE,
                };
                self.cases.insert(place, case);
                place
            }
        }
    }

    fn drop_oldest(&mut self) {
        let oldest = self
            .cases
            .iter()
            .enumerate()
            .min_by_key(|(_, case)| (!case.runs.is_empty(), case.forget))
            .map(|(place, _)| place);
        if let Some(place) = oldest {
            self.cases.remove(place);
        }
    }
}

impl RequestCase {
    fn is_pardoned(&self, mark: &suspect::CrashMark) -> bool {
        self.pardon
            .as_ref()
            .is_some_and(|pardon| pardon.marks.contains(mark))
    }

    fn holds(&self, host: &str, run: suspect::RunNumber) -> bool {
        self.runs
            .iter()
            .any(|held| held.host == host && held.run == run)
    }

    /// Returns how many permits this node may have in use.
    ///
    /// Only as many permits count as are not burnt, those of the first
    /// keepers first: a keeper that took a dead one's place adds none.
    fn usable(&self, host: &str, keepers: &[id::HostName]) -> usize {
        let mut whole: Vec<&id::HostName> = keepers.iter().collect();
        for permit in &self.burnt {
            if let Some(place) = whole.iter().position(|keeper| **keeper == permit.keeper) {
                whole.remove(place);
            }
        }
        let left = suspect::PERMITS.saturating_sub(self.burnt.len());
        whole
            .into_iter()
            .take(left)
            .filter(|keeper| *keeper == host)
            .count()
    }

    /// A run that never told its end may have crashed its upstream.
    fn expire(&mut self, host: &str, now: time::Instant) {
        self.burn(host.to_owned(), now, |run| run.expires <= now);
    }

    fn burn(
        &mut self,
        keeper: id::HostName,
        now: time::Instant,
        lost: impl Fn(&PermitRun) -> bool,
    ) {
        for run in self.runs.extract_if(.., |run| lost(run)) {
            let permit = suspect::BurntPermit {
                keeper: keeper.clone(),
                mark: suspect::CrashMark {
                    upstream: run.host,
                    incarnation: run.run,
                },
            };
            self.forget = now + suspect::BURNT_LIFE;
            if let Err(place) = self.burnt.binary_search(&permit) {
                self.burnt.insert(place, permit);
            }
        }
    }
}
