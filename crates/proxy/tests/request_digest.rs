//! Tests the digest that identifies the content of a write.
use quincehatch_proxy::request::content_digest;
use serde_json::{Value, json};

#[test]
fn digests_differ_when_any_part_of_the_content_does() {
    let params = json!(["t1"]);
    let one = content_digest("", "append l $1", &params);
    assert_eq!((one.len(), &one), (64, &content_digest("", "append l $1", &json!(["t1"]))));
    let two = content_digest(&one, "add total 1", &Value::Null);
    let others = [
        content_digest("", "append l $", &json!("1[\"t1\"]")),
        content_digest("", "append l $1", &json!(["t1", null])),
        content_digest("", "add total 1", &Value::Null),
        content_digest(&content_digest("", "add total 1", &Value::Null), "append l $1", &params),
    ];
    assert!(!others.contains(&one) && !others.contains(&two));
}
