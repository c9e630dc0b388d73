use super::*;
use crate::capacity::Capacity;
use test_case::test_case;

// A body whose length is not told ahead is whole with the end of its chunks, and not before the last of them.
#[test]
fn a_message_in_chunks_is_whole_with_its_end_only() {
    let wire = wire();
    wire.begin_message(None);
    wire.note(b"POST /a HTTP/1.1\r\n\r\n5\r\n0\r\n\r\n");
    assert!(!wire.is_fully_written());
    wire.expect_final_chunk();
    wire.note(b"\r\n0\r\n");
    assert!(!wire.is_fully_written());
    wire.note(b"\r\n");
    assert!(wire.is_fully_written());
}

fn wire() -> Rc<TrackedStream> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let connect = TcpStream::connect(listener.local_addr().unwrap());
    TrackedStream::to_server(runtime.block_on(connect).unwrap(), Capacity::new(64, 1.0).take_slot())
}

// The boundary between "never ran" and "may have run" is the last byte, in whatever pieces it is written.
#[test_case("GET /a HTTP/1.1\r\nHost: b\r\n\r\n", 0; "no body")]
#[test_case("POST /a HTTP/1.1\r\nX: \r\r\n\r\nbo\r\n\r\ndy", 8; "ends of lines in odd places")]
fn a_message_is_whole_with_its_last_byte_only(message: &str, body: u64) {
    let wire = wire();
    for piece in [1, 3, message.len()] {
        wire.begin_message(Some(body));
        assert!(!wire.is_fully_written());
        let mut left = message.len();
        for part in message.as_bytes().chunks(piece) {
            wire.note(part);
            left -= part.len();
            assert_eq!(
                wire.is_fully_written(),
                left == 0,
                "{left} of {message:?} left, in pieces of {piece}"
            );
        }
    }
}
