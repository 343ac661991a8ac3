//! Queries that nodes send each other on behalf of an operator.
use quincehatch_core::Name;
use quincehatch_gossip::NodeQuery;

/// A query to one node. On the wire it is a pair of strings, a kind and a key, that nodes of older versions also
/// understand.
#[derive(Clone, Debug, PartialEq)]
pub enum ReportQuery {
    /// Requests the node's report on its own state.
    Node,
    /// Requests the health transitions of a server.
    ServerHealth(Name),
    /// Requests the trace of a request, given by its id as the operator wrote it.
    RequestTrace(Name),
    /// Requests the last promotions.
    Promotions,
    /// Requests a handover of a group's primary.
    Handover {
        /// The group.
        group: Name,
        /// The server to promote; `None` selects the best candidate.
        to: Option<Name>,
    },
    /// Requests that the node stops (`true`) or resumes (`false`) accepting new clients.
    SetDraining(bool),
}

const KIND_NODE: &str = "node";
const KIND_SERVER_HEALTH: &str = "server";
const KIND_REQUEST_TRACE: &str = "visit";
const KIND_PROMOTIONS: &str = "promotions";
const KIND_HANDOVER: &str = "ask-promote";
const KIND_SET_DRAINING: &str = "drain";
const DRAINING_ON: &str = "on";
const DRAINING_OFF: &str = "off";
/// Separates the group from the server in the key of a handover.
const HANDOVER_SEPARATOR: char = '=';

impl ReportQuery {
    /// Encodes the query as a message between nodes.
    pub fn to_message(&self) -> NodeQuery {
        let (what, key): (&str, Name) = match self {
            ReportQuery::Node => (KIND_NODE, Name::default()),
            ReportQuery::ServerHealth(server) => (KIND_SERVER_HEALTH, server.clone()),
            ReportQuery::RequestTrace(id) => (KIND_REQUEST_TRACE, id.clone()),
            ReportQuery::Promotions => (KIND_PROMOTIONS, "all".into()),
            ReportQuery::Handover { group, to } => {
                let to = to.as_deref().unwrap_or_default();
                (KIND_HANDOVER, format!("{group}{HANDOVER_SEPARATOR}{to}").into())
            }
            ReportQuery::SetDraining(true) => (KIND_SET_DRAINING, DRAINING_ON.into()),
            ReportQuery::SetDraining(false) => (KIND_SET_DRAINING, DRAINING_OFF.into()),
        };
        NodeQuery::Report { what: what.into(), key }
    }

    /// Parses the kind and the key of a message. Returns `None` if this node does not know the kind.
    pub fn parse(what: &str, key: &str) -> Option<ReportQuery> {
        match what {
            KIND_NODE => Some(ReportQuery::Node),
            KIND_SERVER_HEALTH => Some(ReportQuery::ServerHealth(key.into())),
            KIND_REQUEST_TRACE => Some(ReportQuery::RequestTrace(key.into())),
            KIND_PROMOTIONS => Some(ReportQuery::Promotions),
            KIND_HANDOVER => Some(parse_handover(key)),
            KIND_SET_DRAINING => Some(ReportQuery::SetDraining(key != DRAINING_OFF)),
            _ => None,
        }
    }
}

fn parse_handover(key: &str) -> ReportQuery {
    let (group, to) = key.split_once(HANDOVER_SEPARATOR).unwrap_or((key, ""));
    let to = if to.is_empty() { None } else { Some(to.into()) };
    ReportQuery::Handover { group: group.into(), to }
}
