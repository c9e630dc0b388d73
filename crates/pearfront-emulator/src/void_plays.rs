//! Repeats real-time plays that are void because the machine was too busy, so that none is judged by the
//! machine's delays. Used by all tests that start processes.

/// Number of plays before giving up: a machine may be busy for a while, but not for as long as this many plays
/// take.
pub const PLAYS: usize = 5;

/// Result of one play.
#[derive(Debug)]
pub enum Play<T> {
    InTime(T),
    /// The machine was too late for the play to be meaningful, with the reason.
    Void(String),
}

/// Repeats a play until one is in time, at most `tries` times; reports each void one on standard error.
///
/// # Errors
/// The error of a play, immediately; or that all were void, with the reason of the last.
pub fn in_time<T>(tries: usize, mut play: impl FnMut(usize) -> Result<Play<T>, String>) -> Result<T, String> {
    let mut last = String::new();
    for number in 1..=tries {
        match play(number)? {
            Play::InTime(shown) => return Ok(shown),
            Play::Void(why) => {
                eprintln!("play {number} of {tries} is void: {why}");
                last = why;
            }
        }
    }
    Err(format!("void in each of {tries} plays: {last}"))
}

#[cfg(test)]
mod tests;
