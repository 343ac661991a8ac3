//! Tests the fields of requests that were renamed.
use quincehatch_proxy::request::parse_body;

#[test]
fn a_body_with_deprecated_field_names_is_parsed_like_one_with_current_names() {
    let deprecated = parse_body(br#"{"try": "t1", "order_side": true}"#).unwrap();
    let current = parse_body(br#"{"idempotency_key": "t1", "primary_read": true}"#).unwrap();
    for body in [deprecated, current] {
        assert_eq!(body.idempotency_key.as_deref(), Some("t1"));
        assert!(body.primary_read);
    }
}

#[test]
fn the_current_name_takes_precedence_when_both_are_given() {
    let body = parse_body(br#"{"try": "t1", "idempotency_key": "t2"}"#).unwrap();
    assert_eq!(body.idempotency_key.as_deref(), Some("t2"));
    assert!(!body.primary_read);
}
