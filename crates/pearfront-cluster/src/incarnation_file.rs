//! The incarnation that a process used last, which it has to know after a restart. A small file that is
//! replaced as a whole.

use std::fs::{File, rename};
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};

const FILE_NAME: &str = "incarnation";

fn path_in(folder: &Path) -> PathBuf {
    folder.join(FILE_NAME)
}

/// Reads the stored incarnation; 0 if there is no file.
///
/// # Errors
/// The file and what is wrong with it. An unreadable folder must not pass for an empty one.
pub(crate) fn read(folder: &Path) -> Result<u64, String> {
    let path = path_in(folder);
    match std::fs::read_to_string(&path) {
        Ok(text) => text.trim().parse().map_err(|_| format!("{}: holds no number", path.display())),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(0),
        Err(error) => Err(format!("{}: {error}", path.display())),
    }
}

/// Replaces the file: write, sync, rename, sync the folder. After a power cut either the old or the new value
/// is there.
///
/// # Errors
/// The file and what went wrong.
pub(crate) fn write(folder: &Path, incarnation: u64) -> Result<(), String> {
    let (path, new) = (path_in(folder), folder.join(format!("{FILE_NAME}.new")));
    let replace = || {
        let mut file = File::create(&new)?;
        writeln!(file, "{incarnation}")?;
        file.sync_all()?;
        rename(&new, &path)?;
        File::open(folder)?.sync_all()
    };
    replace().map_err(|error: std::io::Error| format!("{}: {error}", path.display()))
}

#[cfg(test)]
mod tests;
