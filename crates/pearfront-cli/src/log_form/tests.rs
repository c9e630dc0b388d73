use super::*;

#[test]
fn a_line_keeps_its_keys_apart_from_its_words() {
    let pairs = [("at_s", Value::from(1.5)), ("node", Value::from("n0"))];
    let args = format_args!("stops \"now\"");
    let record = log::Record::builder().level(log::Level::Info).args(args).key_values(&pairs).build();
    let line = line(&record);
    assert_eq!(
        (&line["with"], &line["message"]),
        (&json!({"at_s": 1.5, "node": "n0"}), &json!("stops \"now\""))
    );
}
