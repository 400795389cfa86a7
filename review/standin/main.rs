//! Runs the scripted cases of the review: `standin CASE RECORD`.
//!
//! It starts the project's own nodes as separate processes, and the stand-ins for the
//! store, the operator, the runners and the clients in this one. It exits with 1 if the
//! rule of the case was broken, with 0 if it held and with 2 if the case could not run.
//! With the variable `TROUBLE=0` the disruption is left out.

mod endless;
mod era;
mod fleet;
mod http;
mod json;
mod model;
mod plain;
mod record;
mod store;

use std::path::Path;
use std::process::ExitCode;

/// Result of a case.
pub enum Verdict {
    /// The rule held.
    Held(String),
    /// The rule was broken.
    Broken(String),
    /// The case could not run.
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::new();
    record.note(format!("case      {case} trouble={trouble}"));
    let result = match case.as_str() {
        "endless" => endless::run(&record, trouble),
        "era" => era::run(&record, trouble),
        _ => Ok(Verdict::NotRun("unknown case".to_owned())),
    };
    let verdict = result.unwrap_or_else(|error| Verdict::NotRun(error.to_string()));
    let (code, text) = match verdict {
        Verdict::Held(text) => (0, format!("held: {text}")),
        Verdict::Broken(text) => (1, format!("broken: {text}")),
        Verdict::NotRun(text) => (2, format!("could not run: {text}")),
    };
    record.note(format!("result    {text}"));
    println!("{case}: {text}");
    match record.write(Path::new(path)) {
        Ok(()) => ExitCode::from(code),
        Err(error) => {
            eprintln!("{path}: {error}");
            ExitCode::from(2)
        }
    }
}
