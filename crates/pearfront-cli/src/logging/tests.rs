use super::*;

#[test]
fn a_json_line_has_the_message_and_the_keys_apart() {
    let key_values = [("at_s", Value::from(1.5)), ("node", Value::from("n0"))];
    let args = format_args!("stops \"now\"");
    let record = log::Record::builder().level(log::Level::Info).args(args).key_values(&key_values).build();
    let line = line(&record);
    assert_eq!(
        (&line["with"], &line["message"]),
        (&json!({"at_s": 1.5, "node": "n0"}), &json!("stops \"now\""))
    );
}
