use super::*;
use crate::test_support::{Stages, run};
use test_case::test_case;
use tokio::time::Instant;

// A word that was changed needs another version: the process of before would not understand it.
#[test_case(Word::Hello { version: 1 }, r#"{"hello":{"version":1}}"#; "hello")]
#[test_case(Word::Ready, r#""ready""#; "ready")]
#[test_case(Word::Uses { connections: 7, bytes: 9 }, r#"{"uses":{"connections":7,"bytes":9}}"#; "uses")]
#[test_case(Word::Open("a".into()), r#"{"open":"a"}"#; "open")]
#[test_case(Word::Over("a".into()), r#"{"over":"a"}"#; "over")]
fn words_of_version_one(word: Word, line: &str) {
    assert_eq!(serde_json::to_string(&word).unwrap(), line);
    assert_eq!(format!("{:?}", serde_json::from_str::<Word>(line).unwrap()), format!("{word:?}"));
}

// A process that stands still has its connections and may go on with its requests: it counts until it has ended, however
// much it was told meanwhile.
#[test]
fn a_process_that_stands_still_counts_until_it_ends() {
    const PATIENCE: Duration = Duration::from_secs(10);
    run(async {
        let discovery = Stages::new("127.0.0.1:1".parse().unwrap()).discovery;
        let peers = discovery.peers.clone();
        let (own, mut other) = UnixStream::pair().unwrap();
        let talk = spawn_local(peers.clone().talk(own, discovery.clone()));
        let said = "{\"hello\":{\"version\":1}}\n{\"open\":\"theirs\"}\n";
        other.write_all(said.as_bytes()).await.unwrap();
        let begun = Instant::now();
        while !peers.others.borrow().iter().any(|other| other.silent.get()) && begun.elapsed() < PATIENCE {
            sleep(SILENT / 10).await;
        }
        for id in 0..2 * WAITING {
            peers.request_opened(id.to_string());
        }
        sleep(SILENT).await;
        assert!(peers.has_open_request("theirs") && !talk.is_finished());
        drop(other);
        assert!(timeout(PATIENCE, talk).await.is_ok());
        assert!(!peers.has_open_request("theirs"));
    });
}
