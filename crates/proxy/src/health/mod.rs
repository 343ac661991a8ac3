//! Whether a server is fit for requests: evidence is collected by small detectors, weighed into a state, and STATUS is
//! asked of every server.
pub mod evidence;
pub mod overdue_replies;
pub mod probe;
pub mod readmission;
pub mod state;
