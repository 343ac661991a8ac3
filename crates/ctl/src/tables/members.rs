//! Renders the reply to `members`.
use super::Table;
use super::layout::{cell, table};
use quincehatch_operator_api::members::{MembersReply, ViewReport, VoterReport};

const HEADINGS: [&str; 3] = ["KEEPER", "ADDRESS", "POSITION"];

impl Table for MembersReply {
    fn to_table(&self) -> String {
        table(&HEADINGS, self.view.voters.iter().map(|voter| row(&self.view, voter)).collect())
    }
}

fn row(view: &ViewReport, voter: &VoterReport) -> Vec<String> {
    let position = match view.chain_position(&voter.name) {
        Some(index) => format!("{} in the chain", index + 1),
        None => "outside".to_owned(),
    };
    vec![cell(&voter.name), cell(&voter.addr), position]
}
