//! Processor time, memory and slopes.

use std::time;

/// Clock ticks a second in which the system counts processor time.
fn ticks() -> f64 {
    procfs::ticks_per_second() as f64
}

/// Returns the processor time that this process has used.
///
/// # Errors
///
/// When the system does not tell.
pub fn processor_time() -> anyhow::Result<time::Duration> {
    of_process(&procfs::process::Process::myself()?)
}

/// Returns the processor time that a process has used.
///
/// # Errors
///
/// When the system does not tell.
pub fn of_process(process: &procfs::process::Process) -> anyhow::Result<time::Duration> {
    let stat = process.stat()?;
    let used = (stat.utime + stat.stime) as f64 / ticks();
    Ok(time::Duration::from_secs_f64(used))
}

/// Returns the resident memory of a process in bytes.
///
/// # Errors
///
/// When the system does not tell.
pub fn resident(process: &procfs::process::Process) -> anyhow::Result<u64> {
    Ok(process.stat()?.rss * procfs::page_size())
}

/// A measured point: size and value.
#[derive(Clone, Copy, Debug)]
pub struct CostPoint {
    /// Size.
    pub size: f64,
    /// Value.
    pub value: f64,
}

/// Returns the value at `size` on the line of least squares through points.
pub fn on_line(points: &[CostPoint], size: f64) -> f64 {
    let count = points.len() as f64;
    let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
    let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
    let spread: f64 = points
        .iter()
        .map(|point| (point.size - mean_size).powi(2))
        .sum();
    let common: f64 = points
        .iter()
        .map(|point| (point.size - mean_size) * (point.value - mean_value))
        .sum();
    mean_value + common / spread * (size - mean_size)
}
