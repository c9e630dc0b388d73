//! An open connection without a message in flight. It rests before it carries the next message, without exception:
//! what a peer sends late would be taken for the answer to that message. Used by the connection pool and by
//! `discovery`.

use super::http_connection::HttpConnection;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// How long a connection must have been quiet after an answer before it is reused: a server may send more some
/// milliseconds late.
pub(super) const QUIET_PERIOD: Duration = Duration::from_millis(10);

/// A connection between two messages. The only way back to the connection is `rested`.
pub struct IdleConnection {
    connection: HttpConnection,
    since: Instant,
    /// Bytes transferred on the connection by then.
    bytes_moved: usize,
}

impl IdleConnection {
    /// Starts the rest of a connection that has become free.
    pub fn new(connection: HttpConnection) -> Self {
        let bytes_moved = connection.stream.bytes_moved();
        Self { connection, since: Instant::now(), bytes_moved }
    }

    /// When it became idle.
    pub fn since(&self) -> Instant {
        self.since
    }

    /// When its rest ends.
    pub fn rest_ends_at(&self) -> Instant {
        self.since + QUIET_PERIOD
    }

    /// Has it been quiet long enough since its last message?
    pub fn has_rested(&self) -> bool {
        self.since.elapsed() >= QUIET_PERIOD
    }

    /// Still open, and no unsolicited data has arrived.
    pub fn is_usable(&self) -> bool {
        self.connection.is_usable()
    }

    /// Has the peer sent data that nobody asked for?
    pub fn has_unsolicited_data(&self) -> bool {
        let stream = &self.connection.stream;
        stream.bytes_moved() > self.bytes_moved || stream.has_unread()
    }

    /// Waits for the end of its rest, and returns the connection for the next message.
    ///
    /// # Errors
    /// The idle connection, if it can't carry one: the peer has closed it or sent unsolicited data.
    pub async fn rested(self) -> Result<HttpConnection, Self> {
        sleep_until(self.rest_ends_at()).await;
        if !self.is_usable() {
            return Err(self);
        }
        let mut connection = self.connection;
        connection.reused = true;
        Ok(connection)
    }
}
