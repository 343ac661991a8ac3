//! Tests that a session state that a node of version 8d4197c sent to its replicas is still decoded.
use quincehatch_proxy::session::SessionState;

const SESSION: &[u8] = include_bytes!("fixtures/8d4197c/session.borsh");

#[test]
fn a_session_encoded_by_8d4197c_is_decoded_completely() {
    let expected = SessionState {
        id: "s-7f3a".into(),
        version: 5 << 16 | 77,
        settings: vec!["set time_zone utc".into(), "set lock_wait 5".into()],
        prepared: vec![("by_id".into(), "get orders $1".into())],
        closed: false,
        ancestors: vec![1 << 16 | 3, 4 << 16 | 9],
    };
    assert_eq!(borsh::from_slice::<SessionState>(SESSION).unwrap(), expected);
    assert_eq!(borsh::to_vec(&expected).unwrap(), SESSION, "the state is encoded to the same bytes");
}
