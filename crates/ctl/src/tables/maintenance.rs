//! Renders the replies to `promote` and `drain`.
use super::Table;
use quincehatch_operator_api::maintenance::{DrainReply, PromoteReply};

impl Table for PromoteReply {
    fn to_table(&self) -> String {
        format!(
            "node {} hands the primary of {} over; see `quincehatchctl explain promotions`\n",
            self.asked, self.group
        )
    }
}

impl Table for DrainReply {
    fn to_table(&self) -> String {
        let Some(state) = &self.answer else {
            return format!("node {} sent an answer that could not be parsed\n", self.node);
        };
        let what = if state.draining { "is draining" } else { "takes new clients again" };
        format!(
            "node {} {what}: {} sessions, {} requests in flight\n",
            self.node, state.sessions, state.in_flight
        )
    }
}
