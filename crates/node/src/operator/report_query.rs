//! Questions that nodes ask each other on behalf of an operator.
use quincehatch_core::Name;
use quincehatch_gossip::NodeQuery;

/// A question to one node. On the wire it is a pair of words, which older nodes understand too.
#[derive(Clone, Debug, PartialEq)]
pub enum ReportQuery {
    /// The node's report on itself.
    Node,
    /// The health transitions of a server.
    ServerHealth(Name),
    /// The path of a request; its id as the operator gave it.
    RequestTrace(Name),
    /// The last promotions.
    Promotions,
    /// Hand the primary of a group over, to a server if one is named.
    Handover {
        /// The group.
        group: Name,
        /// The server to promote; `None`: the best candidate.
        to: Option<Name>,
    },
    /// Stop or resume new clients.
    SetDraining(bool),
}

const WORD_NODE: &str = "node";
const WORD_SERVER_HEALTH: &str = "server";
const WORD_REQUEST_TRACE: &str = "visit";
const WORD_PROMOTIONS: &str = "promotions";
const WORD_HANDOVER: &str = "ask-promote";
const WORD_SET_DRAINING: &str = "drain";
const DRAINING_ON: &str = "on";
const DRAINING_OFF: &str = "off";
/// Between group and server in the key of a handover.
const HANDOVER_SEPARATOR: char = '=';

impl ReportQuery {
    /// The question as a message between nodes.
    pub fn to_message(&self) -> NodeQuery {
        let (what, key): (&str, Name) = match self {
            ReportQuery::Node => (WORD_NODE, Name::default()),
            ReportQuery::ServerHealth(server) => (WORD_SERVER_HEALTH, server.clone()),
            ReportQuery::RequestTrace(id) => (WORD_REQUEST_TRACE, id.clone()),
            ReportQuery::Promotions => (WORD_PROMOTIONS, "all".into()),
            ReportQuery::Handover { group, to } => {
                let to = to.as_deref().unwrap_or_default();
                (WORD_HANDOVER, format!("{group}{HANDOVER_SEPARATOR}{to}").into())
            }
            ReportQuery::SetDraining(true) => (WORD_SET_DRAINING, DRAINING_ON.into()),
            ReportQuery::SetDraining(false) => (WORD_SET_DRAINING, DRAINING_OFF.into()),
        };
        NodeQuery::Report { what: what.into(), key }
    }

    /// Parses the words of a message; `None` if this node does not know the question.
    pub fn parse(what: &str, key: &str) -> Option<ReportQuery> {
        match what {
            WORD_NODE => Some(ReportQuery::Node),
            WORD_SERVER_HEALTH => Some(ReportQuery::ServerHealth(key.into())),
            WORD_REQUEST_TRACE => Some(ReportQuery::RequestTrace(key.into())),
            WORD_PROMOTIONS => Some(ReportQuery::Promotions),
            WORD_HANDOVER => Some(parse_handover(key)),
            WORD_SET_DRAINING => Some(ReportQuery::SetDraining(key != DRAINING_OFF)),
            _ => None,
        }
    }
}

fn parse_handover(key: &str) -> ReportQuery {
    let (group, to) = key.split_once(HANDOVER_SEPARATOR).unwrap_or((key, ""));
    let to = if to.is_empty() { None } else { Some(to.into()) };
    ReportQuery::Handover { group: group.into(), to }
}
