//! Health checks with outlier ejection: detectors collect evidence, which is weighed into a health state, and probes
//! query the STATUS of every server.
pub mod evidence;
pub mod overdue_replies;
pub mod probe;
pub mod readmission;
pub mod state;
