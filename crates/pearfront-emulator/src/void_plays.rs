//! Plays of processes on a machine that has other work: one that came late says so and is played again, and none is
//! judged by what the machine did. All tests that start processes go through here.

/// Plays that may be void: a machine may be busy for a while, not for as long as these take.
pub const PLAYS: usize = 5;

/// What came of one play.
#[derive(Debug)]
pub enum Play<T> {
    InTime(T),
    /// The machine was too late for it to say anything; why it is thought so.
    Void(String),
}

/// Plays until a play came in time, so many times at the most; each void one is told on standard error.
///
/// # Errors
/// What a play could not do, at once; or that each was void, with the reason of the last.
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
