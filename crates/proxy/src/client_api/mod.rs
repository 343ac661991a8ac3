//! The interface to clients: the HTTP listener, requests and replies.
pub mod body;
pub mod listener;
pub mod reply;
pub mod request;
