//! Renders the replies to `push`, `rollback` and `history`.
use super::Table;
use super::layout::{cell, table};
use quincehatch_operator_api::configuration::{Difference, HistoryReply, PushReply, RetainedVersion};

impl Table for PushReply {
    fn to_table(&self) -> String {
        match self {
            PushReply::DryRun { builds_on, difference, .. } => {
                format!("{}valid; it would build on version {builds_on}\n", difference_lines(difference))
            }
            PushReply::Applied { version, difference } => {
                format!("{}version {version} is in force\n", difference_lines(difference))
            }
        }
    }
}

fn difference_lines(difference: &Difference) -> String {
    let mut text = String::new();
    for line in &difference.diff {
        text += &format!("{line}\n");
    }
    for placement in &difference.no_server_yet {
        text += &format!("note: no known server is in placement {placement}\n");
    }
    text
}

impl Table for HistoryReply {
    fn to_table(&self) -> String {
        table(&["VERSION", "BY", "BYTES"], self.history.iter().map(row).collect())
    }
}

fn row(retained: &RetainedVersion) -> Vec<String> {
    vec![cell(retained.version), cell(&retained.by), cell(retained.bytes)]
}
