use super::*;
use test_case::test_case;
use tokio::net::TcpListener;

/// Both ends of a new connection.
async fn pair() -> (Connection, Connection) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    (Connection::new(stream), Connection::new(listener.accept().await.unwrap().0))
}

/// Sends an answer and receives it: its bytes, how many of them are content, and whether it came complete. The sender closes
/// the connection if `ends`, and resets it otherwise.
fn receive(sent: &'static [u8], ends: bool) -> (Vec<u8>, usize, bool) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async move {
        let (mut from, mut to) = pair().await;
        from.write(sent).await.unwrap();
        if ends {
            drop(from)
        } else {
            from.reset()
        }
        let head = to.head().await.unwrap();
        let (mut raw, mut content, mut rest) = (head.bytes.clone(), 0, RemainingBody::of_answer(&head));
        loop {
            match to.piece(&mut rest).await {
                Ok(Some(piece)) => {
                    raw.extend(piece.raw);
                    content += piece.content;
                }
                Ok(None) => return (raw, content, true),
                Err(Truncated) => return (raw, content, false),
            }
        }
    })
}

#[test_case(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine", 4; "with a length")]
#[test_case(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 0; "with none")]
#[test_case(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=1\r\nfin\r\n1\r\ne\r\n0\r\nA: b\r\n\r\n", 4; "in chunks")]
#[test_case(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfine", 4; "to the end of its connection")]
fn an_answer_is_received_byte_for_byte(sent: &'static [u8], length: usize) {
    assert_eq!(receive(sent, true), (sent.to_vec(), length, true));
}

#[test_case(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfine", true; "with a length")]
#[test_case(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n", true; "in chunks")]
fn a_truncated_answer_is_not_complete(sent: &'static [u8], ends: bool) {
    let (raw, content, is_complete) = receive(sent, ends);
    assert_eq!((raw, content, is_complete), (sent.to_vec(), 4, false));
}

// A reset that a write met first looked like an orderly end to the reader, so that a request whose connection was closed unread
// counted as lost.
#[test]
fn the_reader_sees_a_reset_that_a_write_met_first() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let (mut client, server) = pair().await;
        let mut writer = client.writer().unwrap();
        server.reset();
        sleep(Duration::from_millis(20)).await;
        assert!(writer.write(b"GET / HTTP/1.1\r\n\r\n").await.is_err());
        client.read_to_end().await;
        assert_eq!(client.end(), Some(End::Reset));
    });
}
