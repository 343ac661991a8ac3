//! `members`.
use crate::Node;
use quincehatch_core::{Error, ErrorCode};
use quincehatch_operator_api::members::{MembersReply, MembersRequest, ViewReport, VoterReport};
use quincehatch_runtime::seam;
use quincehatch_store::{Reply, Request, View, Voter};
use std::net::SocketAddr;
use std::time::Duration;

/// Longest time that a new keeper takes to answer.
const STATUS_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest time that the head of the chain takes to answer.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// How often the change is requested and looked for.
const CHANGE_ATTEMPTS: usize = 12;
/// Time between two attempts.
const CHANGE_INTERVAL: Duration = Duration::from_millis(400);

/// The voting keepers, after the change that is requested, if any.
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
    // A keeper that does not answer would count for the majorities and hold the chain up.
    if let Some(voter) = &added {
        require_running(node, voter).await?;
    }
    let changed = change_voters(node, &view, voters).await?;
    Ok(MembersReply { view: view_report(&changed) })
}

/// Parses `name=ip:port`; `None` without the `=`.
fn parse_voter(text: &str) -> Result<Option<Voter>, Error> {
    let Some((name, addr)) = text.split_once('=') else { return Ok(None) };
    if addr.parse::<SocketAddr>().is_err() {
        return Err(ErrorCode::Malformed.with_detail("add takes name=ip:port"));
    }
    Ok(Some(Voter { name: name.into(), addr: addr.into() }))
}

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

/// Requests a view with other voters, until it is in force.
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
            let detail = "the view changed meanwhile; ask again";
            return Err(ErrorCode::MembershipChangeRejected.with_detail(detail));
        }
    }
    Err(ErrorCode::MembershipChangeRejected
        .with_detail("the view did not change in time; look at `quincehatchctl members`")
        .with_unknown_outcome())
}

/// A view as operators see it.
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
