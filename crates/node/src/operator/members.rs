//! The operator call `members`.
use crate::Node;
use quincehatch_core::{Error, ErrorCode};
use quincehatch_operator_api::members::{MembersReply, MembersRequest, ViewReport, VoterReport};
use quincehatch_runtime::seam;
use quincehatch_store::{Reply, Request, View, Voter};
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of the status request to a keeper that is to be added.
const STATUS_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout of one request to the head of the chain to change the voters.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of times that the change is requested before the call fails.
const CHANGE_ATTEMPTS: usize = 12;
/// Time from a request for the change to the check whether it is in force.
const CHANGE_INTERVAL: Duration = Duration::from_millis(400);

/// Applies the requested change of the voting keepers, if there is one, and returns the view.
pub async fn members(node: &Node, request: &MembersRequest) -> Result<MembersReply, Error> {
    let any_keeper = node.store_client.next_keeper();
    node.store_client.refresh_view_from(&any_keeper).await;
    let view = node.store_client.view();
    let added = request.add.as_deref().map_or(Ok(None), parse_voter)?;
    let mut voters = view.voters.clone();
    voters.extend(added.clone());
    if let Some(removed) = request.remove.as_deref() {
        voters.retain(|voter| voter.name != removed);
    }
    if voters == view.voters {
        return Ok(MembersReply { view: view_report(&view) });
    }
    // A voter that does not answer would still count for the majorities, and could block the chain.
    if let Some(voter) = &added {
        require_running(node, voter).await?;
    }
    let changed = change_voters(node, &view, voters).await?;
    Ok(MembersReply { view: view_report(&changed) })
}

/// Parses `name=ip:port`. Returns `None` if there is no `=`.
fn parse_voter(text: &str) -> Result<Option<Voter>, Error> {
    let Some((name, addr)) = text.split_once('=') else { return Ok(None) };
    if addr.parse::<SocketAddr>().is_err() {
        return Err(ErrorCode::Malformed.with_detail("add takes name=ip:port"));
    }
    Ok(Some(Voter { name: name.into(), addr: addr.into() }))
}

/// Fails unless the keeper answers at its address under its name.
async fn require_running(node: &Node, voter: &Voter) -> Result<(), Error> {
    let Voter { name, addr } = voter;
    match node.store_client.call(addr, Request::Status, STATUS_TIMEOUT).await {
        Ok(Reply::Status { status }) if status.name == *name => Ok(()),
        _ => {
            let detail = format!("no keeper {name} answers at {addr}; start it with --join first");
            Err(ErrorCode::MembershipChangeRejected.with_detail(detail))
        }
    }
}

/// Requests a view with these voters until it is in force, and returns it.
async fn change_voters(node: &Node, view: &View, voters: Vec<Voter>) -> Result<View, Error> {
    let store_client = &node.store_client;
    for _ in 0..CHANGE_ATTEMPTS {
        let request = Request::ChangeVoters { version: view.version, voters: voters.clone() };
        let head = store_client.head_address();
        if let Ok(Reply::Rejected { error }) = store_client.call(&head, request, CHANGE_TIMEOUT).await
            && !error.has_code(ErrorCode::MembershipChangeRejected)
        {
            return Err(error);
        }
        seam::sleep(CHANGE_INTERVAL).await;
        store_client.refresh_view_from(&store_client.head_address()).await;
        let current = store_client.view();
        if current.voters == voters {
            return Ok(current);
        }
        if current.version != view.version {
            let detail = "the view was changed by another request; try again";
            return Err(ErrorCode::MembershipChangeRejected.with_detail(detail));
        }
    }
    Err(ErrorCode::MembershipChangeRejected
        .with_detail("the view did not change in time; check with `quincehatchctl members`")
        .with_unknown_outcome())
}

/// Converts a view to its report for operators.
pub fn view_report(view: &View) -> ViewReport {
    let voters = view.voters.iter();
    ViewReport {
        version: view.version,
        members: view.members.clone(),
        voters: voters
            .map(|voter| VoterReport { name: voter.name.clone(), addr: voter.addr.clone() })
            .collect(),
    }
}
