//! Estimates of how much runs on an upstream, from reports that come late.

use std::collections;
use std::time as std_time;

use tokio::time;

/// Shortest time between two kept counts of own attempts.
const SAMPLE_PERIOD: std_time::Duration = std_time::Duration::from_millis(100);

/// Counts of own attempts that are kept, enough for reports 6 s late.
const SAMPLE_LIMIT: usize = 64;

/// Age of a report at which half of it still counts.
const REPORT_HALF_LIFE: std_time::Duration = std_time::Duration::from_secs(2);

/// Which of its sources an estimate uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadSource {
    /// The report, corrected by own attempts since, and the peers' share as
    /// the report ages.
    #[default]
    Blend,
    /// The report corrected by own attempts since.
    Corrected,
    /// The report as it came.
    Reported,
    /// Own attempts alone.
    Own,
}

#[derive(Clone, Copy, Debug)]
struct CountSample {
    at: time::Instant,
    own: u32,
}

#[derive(Clone, Copy, Debug)]
struct LoadReport {
    taken: time::Instant,
    total: u32,
    own: u32,
}

/// What runs on one upstream as one node estimates it.
#[derive(Clone, Debug, Default)]
pub struct LoadEstimate {
    own: u32,
    samples: collections::VecDeque<CountSample>,
    report: Option<LoadReport>,
}

impl LoadEstimate {
    /// Counts an attempt of this node that begins.
    pub fn begin(&mut self, now: time::Instant) {
        self.sample(now);
        self.own += 1;
    }

    /// Counts an attempt of this node that ended.
    pub fn end(&mut self, now: time::Instant) {
        self.sample(now);
        self.own = self.own.saturating_sub(1);
    }

    /// Returns the attempts of this node.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Takes a report of `total` attempts of all nodes, counted at `taken`.
    ///
    /// A report that was overtaken by a later one is passed over.
    pub fn hear(&mut self, total: u32, taken: time::Instant) {
        if self.report.is_some_and(|report| report.taken > taken) {
            return;
        }
        let own = self.own_at(taken);
        self.report = Some(LoadReport { taken, total, own });
    }

    /// Forgets the report, as of an upstream that began anew.
    pub fn forget(&mut self) {
        self.report = None;
    }

    /// Returns the attempts of all nodes that run now; `peers` other nodes
    /// are expected to send what this one sends.
    pub fn total(&self, source: LoadSource, peers: u32, now: time::Instant) -> f64 {
        let own = f64::from(self.own);
        let expected = own * f64::from(peers);
        let Some(report) = &self.report else {
            return match source {
                LoadSource::Reported => 0.0,
                LoadSource::Own => own,
                LoadSource::Blend | LoadSource::Corrected => own + expected,
            };
        };
        let others = f64::from(report.total.saturating_sub(report.own));
        match source {
            LoadSource::Reported => f64::from(report.total),
            LoadSource::Own => own,
            LoadSource::Corrected => own + others,
            LoadSource::Blend => {
                let age = now.duration_since(report.taken);
                let trust = (-age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64()).exp2();
                own + trust * others + (1.0 - trust) * expected
            }
        }
    }

    /// Keeps the count that held until now.
    fn sample(&mut self, now: time::Instant) {
        let recent = self
            .samples
            .back()
            .is_some_and(|sample| now.duration_since(sample.at) < SAMPLE_PERIOD);
        if recent {
            return;
        }
        if self.samples.len() == SAMPLE_LIMIT {
            self.samples.pop_front();
        }
        self.samples.push_back(CountSample {
            at: now,
            own: self.own,
        });
    }

    /// Returns the own attempts at a past time.
    fn own_at(&self, at: time::Instant) -> u32 {
        let after = self.samples.partition_point(|sample| sample.at < at);
        self.samples
            .get(after)
            .map_or(self.own, |sample| sample.own)
    }
}
