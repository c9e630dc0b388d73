//! A minimal HTTP client for one call to a program's admin address, used by the command line and tests.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Returns the status and the body of the answer; `lines` are additional header lines, each with its line end.
///
/// # Errors
/// Why there is no answer: no connection, a time-out, or an invalid answer.
pub async fn ask(
    address: SocketAddr,
    method: &str,
    path: &str,
    lines: &str,
    patience: Duration,
) -> Result<(u16, String), String> {
    let asked = async {
        let mut stream = TcpStream::connect(address).await?;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: node\r\n{lines}Content-Length: 0\r\nConnection: close\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        Ok::<_, std::io::Error>(answer)
    };
    let answer = timeout(patience, asked).await.map_err(|_| "no answer in time".to_string())?;
    let answer = answer.map_err(|error| error.to_string())?;
    let (head, body) = answer.split_once("\r\n\r\n").ok_or("no answer")?;
    let status = head.split(' ').nth(1).and_then(|word| word.parse().ok()).ok_or("no answer")?;
    Ok((status, body.to_string()))
}
