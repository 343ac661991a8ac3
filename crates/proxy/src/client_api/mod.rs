//! What clients see: the HTTP listener, their requests and the replies.
pub mod body;
pub mod listener;
pub mod reply;
pub mod request;
