//! Runs the decision module on the simulator: frames come in on standard input, replies go out on standard output.

mod wire;

use std::io::{self, Read, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("pearfront-drill: {problem}");
            ExitCode::FAILURE
        }
    }
}

fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut adapter = wire::Adapter::default();
    let mut frame = Vec::new();
    while wire::read_frame(input, &mut frame)? {
        let reply = adapter.answer(&frame)?;
        output.write_all(reply).and_then(|()| output.flush()).map_err(|error| format!("reply: {error}"))?;
    }
    Ok(())
}
