//! Record of what was sent, answered and run in a case.

use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Lines with the time since the start of the case.
#[derive(Clone, Debug)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Returns the milliseconds since the start of the case.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Adds a line.
    pub fn note(&self, line: impl AsRef<str>) {
        let line = format!("{:>7} ms  {}", self.now_ms(), line.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    /// Writes the lines to a file.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut file = std::fs::File::create(path)?;
        for line in self.lines.lock().unwrap().iter() {
            writeln!(file, "{line}")?;
        }
        Ok(())
    }
}
