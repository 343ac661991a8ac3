//! Renders the reply to `placements`.
use super::Table;
use super::layout::{cell, table};
use quincehatch_operator_api::placements::{PlacementReport, PlacementsReply};

const HEADINGS: [&str; 4] = ["PLACEMENT", "SELECT", "SERVERS", "ROUTES"];

impl Table for PlacementsReply {
    fn to_table(&self) -> String {
        let rows = self.placements.iter().map(row).collect();
        let mut text = table(&HEADINGS, rows);
        for zone in &self.unknown_zones {
            text += &format!("note: zone {zone} is not in the configuration, so it has no labels there\n");
        }
        text
    }
}

fn row(report: &PlacementReport) -> Vec<String> {
    let select = serde_json::json!(report.select);
    vec![cell(&report.placement), cell(select), report.servers.join(" "), report.routes.join(" ")]
}
