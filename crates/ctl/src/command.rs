//! Converts the commands of `quincehatchctl` into typed requests.
use crate::arguments::UsageError;
use crate::flags::Flags;
use quincehatch_operator_api::configuration::{HistoryRequest, PushRequest, RollbackRequest, WriteOptions};
use quincehatch_operator_api::explain::ExplainRequest;
use quincehatch_operator_api::maintenance::{DrainRequest, PromoteRequest};
use quincehatch_operator_api::members::MembersRequest;
use quincehatch_operator_api::nodes::NodesRequest;
use quincehatch_operator_api::placements::PlacementsRequest;
use quincehatch_operator_api::servers::ServersRequest;
use quincehatch_operator_api::status::StatusRequest;
use quincehatch_operator_api::tenants::TenantsRequest;
use std::time::{SystemTime, UNIX_EPOCH};

/// One command with its request.
#[derive(Debug, PartialEq)]
pub enum Command {
    /// `status`
    Status(StatusRequest),
    /// `nodes`
    Nodes(NodesRequest),
    /// `servers`
    Servers(ServersRequest),
    /// `placements`
    Placements(PlacementsRequest),
    /// `push FILE`
    Push(PushRequest),
    /// `history`
    History(HistoryRequest),
    /// `rollback VERSION`
    Rollback(RollbackRequest),
    /// `explain SUBJECT`
    Explain(ExplainRequest),
    /// `promote GROUP`
    Promote(PromoteRequest),
    /// `drain NODE`
    Drain(DrainRequest),
    /// `members`
    Members(MembersRequest),
    /// `tenants`
    Tenants(TenantsRequest),
}

impl Command {
    /// Returns the command that the positional arguments name, with its flags. Flags of other commands are ignored.
    pub fn from_flags(flags: Flags) -> Result<Command, UsageError> {
        let words: Vec<&str> = flags.words.iter().map(String::as_str).collect();
        let command = match words.as_slice() {
            ["status"] => Command::Status(StatusRequest {}),
            ["nodes"] => Command::Nodes(NodesRequest {}),
            ["servers"] => Command::Servers(ServersRequest {}),
            ["tenants"] => Command::Tenants(TenantsRequest {}),
            ["placements"] => Command::Placements(PlacementsRequest {}),
            ["history"] => Command::History(HistoryRequest {}),
            ["members"] => Command::Members(MembersRequest { add: flags.add, remove: flags.remove }),
            ["push", path] => Command::Push(push_request(path, &flags)?),
            ["rollback", word] => Command::Rollback(rollback_request(word, &flags)?),
            ["explain", subject @ ..] => Command::Explain(explain_request(subject, &words)?),
            ["drain", node] => Command::Drain(DrainRequest { name: (*node).into(), undo: flags.undo }),
            ["promote", group] => {
                let to = flags.to.unwrap_or_default().into();
                Command::Promote(PromoteRequest { group: (*group).into(), to })
            }
            [] => return Err(UsageError::MissingCommand),
            _ => return Err(unknown_command(&words)),
        };
        Ok(command)
    }
}

fn unknown_command(words: &[&str]) -> UsageError {
    UsageError::UnknownCommand { words: words.join(" ") }
}

fn push_request(path: &str, flags: &Flags) -> Result<PushRequest, UsageError> {
    let text =
        std::fs::read_to_string(path).map_err(|source| UsageError::File { path: path.to_owned(), source })?;
    Ok(PushRequest { text, options: write_options(flags) })
}

fn rollback_request(word: &str, flags: &Flags) -> Result<RollbackRequest, UsageError> {
    let version = word.parse().map_err(|_| UsageError::NotAVersion { word: word.to_owned() })?;
    Ok(RollbackRequest { version, options: write_options(flags) })
}

fn write_options(flags: &Flags) -> WriteOptions {
    WriteOptions {
        base: flags.base,
        idempotency_key: Some(flags.key.clone().unwrap_or_else(generate_idempotency_key)),
        by: None,
        dry_run: flags.dry_run.then_some(true),
    }
}

/// Returns an idempotency key that is unique to this run of the program.
fn generate_idempotency_key() -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("quincehatchctl-{}-{:x}", std::process::id(), since_epoch.as_nanos())
}

fn explain_request(subject: &[&str], words: &[&str]) -> Result<ExplainRequest, UsageError> {
    let mut request = ExplainRequest::default();
    match subject {
        ["server", name] => request.server = (*name).to_owned(),
        // `visit` is the former name of `request`.
        ["request" | "visit", id] => request.request = (*id).to_owned(),
        ["promotions"] => request.promotions = "all".to_owned(),
        _ => return Err(unknown_command(words)),
    }
    Ok(request)
}
