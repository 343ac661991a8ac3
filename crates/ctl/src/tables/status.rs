//! Renders the reply to `status`.
use super::Table;
use super::layout::{cell, optional_cell, table};
use super::nodes::nodes_table;
use quincehatch_core::Name;
use quincehatch_operator_api::members::ViewReport;
use quincehatch_operator_api::status::{DiskReport, KeeperAnswer, KeeperReport, PrimaryReport, StatusReply};

const BYTES_PER_MEGABYTE: f64 = 1e6;

const KEEPER_HEADINGS: [&str; 9] =
    ["KEEPER", "ADDRESS", "ROLE", "CHANGE", "COMMITTED", "IN FORCE", "BEHIND", "DISK", "STATE"];
const PRIMARY_HEADINGS: [&str; 4] = ["GROUP", "PRIMARY", "FENCE", "ASSIGNED BY"];

impl Table for StatusReply {
    fn to_table(&self) -> String {
        let keepers = self.keepers.iter().map(|keeper| keeper_row(self, keeper)).collect();
        let primaries = self.primaries.iter().map(primary_row).collect();
        [
            summary(self),
            table(&KEEPER_HEADINGS, keepers),
            table(&PRIMARY_HEADINGS, primaries),
            nodes_table(&self.nodes),
        ]
        .join("\n")
    }
}

fn summary(status: &StatusReply) -> String {
    let chain = status.view.members.join(" -> ");
    format!("version {}  change {}  view {}: {chain}\n", status.version, status.change, status.view.version)
}

fn keeper_row(status: &StatusReply, answer: &KeeperAnswer) -> Vec<String> {
    match answer {
        KeeperAnswer::Unresponsive { name, addr, .. } => vec![
            cell(name),
            cell(addr),
            chain_role(&status.view, name).to_owned(),
            cell(""),
            cell(""),
            cell(""),
            String::new(),
            String::new(),
            "unresponsive".to_owned(),
        ],
        KeeperAnswer::Answered(keeper) => vec![
            cell(&keeper.name),
            cell(&keeper.addr),
            chain_role(&status.view, &keeper.name).to_owned(),
            cell(keeper.change),
            cell(keeper.committed),
            cell(keeper.in_force),
            cell(changes_behind(status, keeper)),
            disk_usage(&keeper.disk),
            cell(&keeper.why),
        ],
    }
}

/// Returns whether a keeper is in the chain, only votes on views, or does neither.
fn chain_role(view: &ViewReport, keeper: &Name) -> &'static str {
    if view.chain_position(keeper).is_some() {
        "member"
    } else if view.is_voter(keeper) {
        "votes only"
    } else {
        "outside"
    }
}

/// Returns how many changes a keeper lags behind the most advanced keeper.
fn changes_behind(status: &StatusReply, keeper: &KeeperReport) -> u64 {
    let newest = status.keepers.iter().filter_map(newest_change).max().unwrap_or(keeper.change);
    newest - keeper.change
}

fn newest_change(answer: &KeeperAnswer) -> Option<u64> {
    match answer {
        KeeperAnswer::Unresponsive { .. } => None,
        KeeperAnswer::Answered(keeper) => Some(keeper.change),
    }
}

/// Formats the size of a keeper's data directory and its limit.
fn disk_usage(disk: &DiskReport) -> String {
    let used = disk.used as f64 / BYTES_PER_MEGABYTE;
    let allowed = disk.allowed as f64 / BYTES_PER_MEGABYTE;
    format!("{used:.1} of {allowed:.0} MB")
}

fn primary_row(primary: &PrimaryReport) -> Vec<String> {
    vec![
        cell(&primary.group),
        optional_cell(primary.server.as_ref()),
        cell(primary.fence),
        cell(&primary.assigned_by),
    ]
}
