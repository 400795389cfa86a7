//! Estimates the load of an upstream from delayed reports.

use std::collections;
use std::time as std_time;

use tokio::time;

/// Minimum time between two samples of the local attempt count.
const SAMPLE_PERIOD: std_time::Duration = std_time::Duration::from_millis(100);

/// Number of samples kept; covers reports that are up to 6 s late.
const SAMPLE_LIMIT: usize = 64;

/// Half-life of a report's weight in the blended estimate.
const REPORT_HALF_LIFE: std_time::Duration = std_time::Duration::from_secs(2);

/// Data that a load estimate is based on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadSource {
    /// The corrected report, replaced gradually by the expected load of the
    /// peers as the report ages.
    #[default]
    Blended,
    /// The report, corrected by the change of local attempts since.
    Corrected,
    /// The report, uncorrected.
    Reported,
    /// The local attempts only.
    Local,
}

/// Number of local attempts up to a time.
#[derive(Clone, Copy, Debug)]
struct CountSample {
    at: time::Instant,
    local: u32,
}

#[derive(Clone, Copy, Debug)]
struct LoadReport {
    measured_at: time::Instant,
    total: u32,
    /// Local attempts at the time of measurement.
    local: u32,
}

/// A node's estimate of the number of attempts on one upstream.
#[derive(Clone, Debug, Default)]
pub struct LoadEstimate {
    local: u32,
    samples: collections::VecDeque<CountSample>,
    report: Option<LoadReport>,
}

impl LoadEstimate {
    /// Counts an attempt started by this node.
    pub fn begin(&mut self, now: time::Instant) {
        self.sample(now);
        self.local += 1;
    }

    /// Counts an ended attempt of this node.
    pub fn end(&mut self, now: time::Instant) {
        self.sample(now);
        self.local = self.local.saturating_sub(1);
    }

    /// Returns the number of running attempts of this node.
    pub fn local(&self) -> u32 {
        self.local
    }

    /// Records a report of `total` attempts of all nodes, counted at `measured_at`.
    ///
    /// A report older than the recorded one is ignored.
    pub fn record_report(&mut self, total: u32, measured_at: time::Instant) {
        if self
            .report
            .is_some_and(|report| report.measured_at > measured_at)
        {
            return;
        }
        let local = self.local_at(measured_at);
        self.report = Some(LoadReport {
            measured_at,
            total,
            local,
        });
    }

    /// Discards the report, for example after the upstream restarted.
    pub fn clear_report(&mut self) {
        self.report = None;
    }

    /// Estimates the number of attempts of all nodes now.
    ///
    /// Each of the `peers` other nodes is expected to run as many attempts as
    /// this one.
    pub fn total(&self, source: LoadSource, peers: u32, now: time::Instant) -> f64 {
        let local = f64::from(self.local);
        let expected_remote = local * f64::from(peers);
        let Some(report) = &self.report else {
            return match source {
                LoadSource::Reported => 0.0,
                LoadSource::Local => local,
                LoadSource::Blended | LoadSource::Corrected => local + expected_remote,
            };
        };
        let remote = f64::from(report.total.saturating_sub(report.local));
        match source {
            LoadSource::Reported => f64::from(report.total),
            LoadSource::Local => local,
            LoadSource::Corrected => local + remote,
            LoadSource::Blended => {
                let age = now.duration_since(report.measured_at);
                let weight = (-age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64()).exp2();
                local + weight * remote + (1.0 - weight) * expected_remote
            }
        }
    }

    /// Saves the count that was valid until now.
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
            local: self.local,
        });
    }

    /// Returns the number of local attempts at a past time.
    fn local_at(&self, at: time::Instant) -> u32 {
        let after = self.samples.partition_point(|sample| sample.at < at);
        self.samples
            .get(after)
            .map_or(self.local, |sample| sample.local)
    }
}
