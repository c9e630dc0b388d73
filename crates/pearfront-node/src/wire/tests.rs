use super::*;
use crate::admit::Room;
use test_case::test_case;

// What hyper does not tell of a head decides whether its body may hide a job: in whatever pieces it is read, and
// whatever came before it.
#[test_case("GET /a HTTP/1.1\r\nHost: b\r\n\r\n", &[false], false; "no length")]
#[test_case("\r\n\r\nPOST /a HTTP/1.1\r\nCONTENT-Length:1\r\n\r\n1", &[true], false; "behind empty lines")]
#[test_case("POST /a HTTP/1.1\nContent-Length: 1\nTe: x\n\n1", &[true], false; "line feeds alone")]
#[test_case("POST /a HTTP/1.1\r\nX-Content-Length: 1\r\n\r\ncontent-length:", &[false], true; "only like one")]
#[test_case("POST /a HTTP/1.1\r\nContent-Length: 1\r\n", &[], true; "half a head")]
#[test_case("POST /a HTTP/1.1\r\nContent-Length: 4\r\n\r\n\r\n\r\nGET /b HTTP/1.1\r\n\r\nG", &[true, false], true; "a body like an end of head")]
#[test_case("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nA;x=\"y\"\r\ncontent-le\r\n0\r\nContent-Length: 3\r\n\r\nPOST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n", &[false, true], false; "chunks with extensions and trailers")]
#[test_case("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\nGET /b", &[true], true; "both")]
fn heads_and_what_follows_them(text: &str, lengths: &[bool], half: bool) {
    for piece in [1, 3, text.len()] {
        let mut messages = Messages::default();
        text.as_bytes().chunks(piece).for_each(|part| messages.read(part));
        assert_eq!(
            (&messages.heads, messages.begun),
            (&lengths.to_vec().into(), half),
            "in pieces of {piece}"
        );
    }
}

// A length that hyper reads and this does not: what follows may hide a job in its body, and is not taken for safe.
#[test]
fn a_head_that_was_not_seen_may_have_a_length() {
    let padded = format!("POST /a HTTP/1.1\r\nContent-Length:{:300}1\r\n\r\n1", "");
    let mut messages = Messages::default();
    messages.read(padded.as_bytes());
    messages.read(b"POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n");
    assert!(messages.next_may_have_length() && messages.next_may_have_length());
}

// A body whose length is not told ahead is whole with the end of its chunks, and not before the last of them.
#[test]
fn a_message_in_chunks_is_whole_with_its_end_only() {
    let wire = wire();
    wire.expect(None);
    wire.note(b"POST /a HTTP/1.1\r\n\r\n5\r\n0\r\n\r\n");
    assert!(!wire.whole_written());
    wire.last_chunk();
    wire.note(b"\r\n0\r\n");
    assert!(!wire.whole_written());
    wire.note(b"\r\n");
    assert!(wire.whole_written());
}

fn wire() -> Rc<Wire> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let connect = TcpStream::connect(listener.local_addr().unwrap());
    Wire::to_server(runtime.block_on(connect).unwrap(), Room::new(64, 1.0).place())
}

// The boundary between "never ran" and "may have run" is the last byte, in whatever pieces it is written.
#[test_case("GET /a HTTP/1.1\r\nHost: b\r\n\r\n", 0; "no body")]
#[test_case("POST /a HTTP/1.1\r\nX: \r\r\n\r\nbo\r\n\r\ndy", 8; "ends of lines in odd places")]
fn a_message_is_whole_with_its_last_byte_only(message: &str, body: u64) {
    let wire = wire();
    for piece in [1, 3, message.len()] {
        wire.expect(Some(body));
        assert!(!wire.whole_written());
        let mut left = message.len();
        for part in message.as_bytes().chunks(piece) {
            wire.note(part);
            left -= part.len();
            assert_eq!(wire.whole_written(), left == 0, "{left} of {message:?} left, in pieces of {piece}");
        }
    }
}
