//! Checks the sizes of the frame headers, on which the traffic costs in the capacity page are based.
use crate::TestRequest;
use quincehatch_wire::{
    ANSWER_HEADER_BYTES, AnswerHeader, FrameKind, Identity, REQUEST_HEADER_BYTES, RequestHeader, encode,
};

#[test]
fn encoded_headers_have_the_declared_lengths() {
    let message = borsh::to_vec(&TestRequest::Read(1)).unwrap().len();
    let header = RequestHeader { call: 1, sender: 2, receiver: 3 };
    let request = encode(FrameKind::Request, &header, &TestRequest::Read(1)).unwrap();
    assert_eq!(request.len(), REQUEST_HEADER_BYTES + message);
    let header = AnswerHeader { call: 1, responder: Identity::with_incarnation("a", 1).id() };
    let answer = encode(FrameKind::Answer, &header, &TestRequest::Read(1)).unwrap();
    assert_eq!(answer.len(), ANSWER_HEADER_BYTES + message);
}
