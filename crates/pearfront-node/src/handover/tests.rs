use super::*;
use test_case::test_case;

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
