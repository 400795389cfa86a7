//! Entry point of the program `arbutusfold`.

mod command;
mod exit;
mod remote;

use std::process;

fn main() -> process::ExitCode {
    let parsed = command::cli_command().run_inner(bpaf::Args::current_args());
    let command = match parsed {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(100);
            return match failure {
                bpaf::ParseFailure::Stderr(_) => exit::ExitReason::Usage.into(),
                _ => process::ExitCode::SUCCESS,
            };
        }
    };
    match command::run(command) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            error.reason.into()
        }
    }
}
