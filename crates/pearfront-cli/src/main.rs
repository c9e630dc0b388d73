//! The `pearfront` command line for operators and developers, one subcommand a module. Exit codes: 0 success, 1 the command
//! failed, 2 bad input, 3 a rule was broken.

mod check;
mod compare;
mod duties;
mod duty;
mod logging;
mod members;
mod move_config;
mod plot;
mod processes;
mod prove;
mod rehearse;
mod results;
mod scale;
mod soak;
mod store;

use clap::{Parser, Subcommand};
use std::process::ExitCode;
use tokio::runtime::{Builder, Runtime};

/// Rehearse failures of a fleet of services, inspect running nodes, and convert their configuration files.
#[derive(Parser)]
#[command(
    name = "pearfront",
    version,
    after_help = "Exit codes: 0 success, all rules kept; 1 the command failed; 2 bad input; 3 a rule was broken.\n\
    Everything that a rehearsal shows is simulated: servers, clients and discovery."
)]
struct Arguments {
    /// Format of the log, which goes to standard error.
    #[arg(long, global = true, value_enum, default_value_t = logging::LogFormat::Text)]
    log: logging::LogFormat,
    /// Lowest level that is logged: off, error, warn, info, debug or trace.
    #[arg(long, global = true, default_value = "warn", value_name = "LEVEL")]
    log_level: log::LevelFilter,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    Check(check::Check),
    Rehearse(rehearse::Rehearse),
    Compare(compare::Compare),
    Plot(plot::Plot),
    Move(move_config::Move),
    Prove(prove::Prove),
    Members(members::Members),
    Duties(duties::Duties),
    Duty(duty::Duty),
    #[command(hide = true)]
    DutyChild(duty::DutyChild),
    Store(store::Store),
    Scale(scale::Scale),
    #[command(hide = true)]
    ScalePoint(scale::ScalePoint),
    Soak(soak::Soak),
    #[command(hide = true)]
    SoakRole(soak::SoakRole),
}

/// Why a command did not succeed.
#[derive(Debug)]
pub enum CommandError {
    /// It could not be done: a file can't be written, a node does not start, a rehearsal ran too late.
    Failed(String),
    /// The input is wrong.
    InvalidInput(String),
    /// It was done, and a rule was broken, which has been printed.
    RuleBroken,
    /// An exit code of the command's own, and a message, which may be empty.
    ExitCode(u8, String),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    logging::start(arguments.log, arguments.log_level);
    let result = match arguments.command {
        Command::Check(check) => check.run(),
        Command::Rehearse(rehearse) => rehearse.run(),
        Command::Compare(compare) => compare.run(),
        Command::Plot(plot) => plot.run(),
        Command::Move(conversion) => conversion.run(),
        Command::Prove(prove) => prove.run(),
        Command::Members(members) => members.run(),
        Command::Duties(duties) => duties.run(),
        Command::Duty(duty) => duty.run(),
        Command::DutyChild(child) => child.run(),
        Command::Store(store) => store.run(),
        Command::Scale(scale) => scale.run(),
        Command::ScalePoint(point) => point.run(),
        Command::Soak(soak) => soak.run(),
        Command::SoakRole(role) => role.run(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(CommandError::Failed(message)) => report_error(&message, 1),
        Err(CommandError::InvalidInput(message)) => report_error(&message, 2),
        Err(CommandError::RuleBroken) => ExitCode::from(3),
        Err(CommandError::ExitCode(code, message)) if message.is_empty() => ExitCode::from(code),
        Err(CommandError::ExitCode(code, message)) => report_error(&message, code),
    }
}

/// The runtime of commands that wait for programs or the network.
pub fn runtime() -> Result<Runtime, CommandError> {
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.map_err(|error| CommandError::Failed(format!("runtime: {error}")))
}

fn report_error(message: &str, code: u8) -> ExitCode {
    eprintln!("pearfront: {message}");
    ExitCode::from(code)
}
