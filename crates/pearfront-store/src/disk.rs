//! `Disk`: the file operations that a store needs, and `Folder`, which performs them on a real directory. File
//! names are plain names without a path.

use std::fs::{File, OpenOptions};
use std::io::{Error, ErrorKind, Result, Write};
use std::path::{Path, PathBuf};

/// A folder of files. Data is durable only once `sync` has returned, and a renamed name only once `sync_folder`
/// has.
pub trait Disk {
    /// The whole file; none if it does not exist.
    ///
    /// # Errors
    /// The file exists and can't be read.
    fn read(&mut self, name: &str) -> Result<Option<Vec<u8>>>;
    /// Appends to the file, which is created if needed.
    ///
    /// # Errors
    /// Part of the bytes may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()>;
    /// Truncates the file to this length.
    ///
    /// # Errors
    /// It may have been truncated or not.
    fn truncate(&mut self, name: &str, length: usize) -> Result<()>;
    /// Replaces the contents of the file.
    ///
    /// # Errors
    /// The file may hold any part of the new contents.
    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<()>;
    /// Makes the contents of the file durable.
    ///
    /// # Errors
    /// Unsynced data may be lost, even if a later sync succeeds.
    fn sync(&mut self, name: &str) -> Result<()>;
    /// Renames a file, replacing any file of the new name.
    ///
    /// # Errors
    /// The file has one of the two names.
    fn rename(&mut self, from: &str, to: &str) -> Result<()>;
    /// Makes names durable.
    ///
    /// # Errors
    /// Names may be as they were before.
    fn sync_folder(&mut self) -> Result<()>;
}

/// A real folder, used by one process at a time.
pub struct Folder {
    path: PathBuf,
    /// The file that was last appended to stays open.
    open_file: Option<(String, File)>,
    /// Held as long as the folder is open for writing.
    _lock: Option<File>,
}

const LOCK_FILE: &str = "lock";

impl Folder {
    /// Opens the folder and creates it if needed.
    ///
    /// # Errors
    /// It can't be opened, or another process holds it.
    pub fn open(path: &Path) -> Result<Self> {
        std::fs::create_dir_all(path)?;
        let lock = OpenOptions::new().create(true).append(true).open(path.join(LOCK_FILE))?;
        match lock.try_lock() {
            Ok(()) => Ok(Self { path: path.into(), open_file: None, _lock: Some(lock) }),
            Err(std::fs::TryLockError::WouldBlock) => {
                Err(Error::new(ErrorKind::ResourceBusy, "another process holds this folder"))
            }
            Err(std::fs::TryLockError::Error(error)) => Err(error),
        }
    }

    /// Opens the folder for reading, even while a process holds it.
    pub fn open_read_only(path: &Path) -> Self {
        Self { path: path.into(), open_file: None, _lock: None }
    }

    fn append_handle(&mut self, name: &str) -> Result<&mut File> {
        if self.open_file.as_ref().is_none_or(|(open, _)| open != name) {
            let file = OpenOptions::new().create(true).append(true).open(self.path.join(name))?;
            self.open_file = Some((name.into(), file));
        }
        let file = self.open_file.as_mut().map(|(_, file)| file);
        file.ok_or_else(|| Error::other("no file is open"))
    }
}

impl Disk for Folder {
    fn read(&mut self, name: &str) -> Result<Option<Vec<u8>>> {
        match std::fs::read(self.path.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.append_handle(name)?.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, length: usize) -> Result<()> {
        self.append_handle(name)?.set_len(length as u64)
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.open_file = None;
        let mut file = File::create(self.path.join(name))?;
        file.write_all(bytes)?;
        self.open_file = Some((name.into(), file));
        Ok(())
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        self.append_handle(name)?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.open_file = None;
        std::fs::rename(self.path.join(from), self.path.join(to))
    }

    fn sync_folder(&mut self) -> Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
