//! When a group needs a promotion (§5.5): the wanted state against what is seen. Sans-IO.
use quincehatch_core::{Millis, Name, PrimaryAssignment};

/// STATUS unanswered this long, and others see the same: the breakdown is final.
pub const SILENT: Millis = 2_500;
/// Nobody listens at the server's address this long.
pub const DECLINED: Millis = 1_000;
/// A stall that lasts this long is no hiccup of a disk.
pub const STALLED: Millis = 1_500;
/// The named server does not lead this long.
pub const WRONG: Millis = 1_500;
/// A change of hands that another began stands still this long.
pub const STUCK: Millis = 4_000;

/// What the duty's owner sees of the group at this moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GroupObservation {
    pub primary: Option<PrimaryAssignment>,
    /// How long the lead has stood as it is, as seen here.
    pub primary_unchanged_for: Millis,
    /// A fence above the lead's was taken so long ago, by another node's promotion that wrote nothing since.
    pub other_promotion_for: Option<Millis>,
    /// Servers of the group known here.
    pub servers: Vec<Name>,
    pub server_count: usize,
    /// STATUS of the lead's server has failed so long.
    pub failing_for: Option<Millis>,
    /// ... and nobody listened there.
    pub connection_refused: bool,
    /// The lead has stalled for so long, as judged here or told by another.
    pub stalled_for: Option<Millis>,
    /// The lead's server says of itself that it does not lead under this fence, for so long.
    pub not_primary_for: Option<Millis>,
    pub draining: bool,
    /// For so long a server has been there that does not count, or one that counts has gone in order.
    pub membership_changed_for: Option<Millis>,
    /// An operator asked for a hand-over.
    pub requested_handover: Option<Option<Name>>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum PromotionNeed {
    Nothing,
    /// Others must see it too before anything is done.
    Confirm,
    Now {
        planned: bool,
    },
}

impl GroupObservation {
    /// Another node's change of hands was begun lately: it goes first (§5.5).
    pub fn others_turn(&self) -> bool {
        self.other_promotion_for.is_some_and(|ms| ms < STUCK)
    }
}

/// What the group needs.
pub fn need(s: &GroupObservation) -> PromotionNeed {
    if s.servers.len() * 2 <= s.server_count || s.others_turn() {
        return PromotionNeed::Nothing;
    }
    let Some(lead) = &s.primary else { return PromotionNeed::Now { planned: false } };
    if lead.server.is_none() {
        return if s.primary_unchanged_for >= STUCK {
            PromotionNeed::Now { planned: false }
        } else {
            PromotionNeed::Nothing
        };
    }
    if dead(s) || s.stalled_for.is_some_and(|ms| ms >= STALLED) {
        return PromotionNeed::Confirm;
    }
    if s.not_primary_for.is_some_and(|ms| ms >= WRONG) {
        return PromotionNeed::Now { planned: false };
    }
    if s.draining
        || s.requested_handover.is_some()
        || s.membership_changed_for.is_some_and(|ms| ms >= STRANGE)
    {
        return PromotionNeed::Now { planned: true };
    }
    PromotionNeed::Nothing
}

/// What one node sees of a server when it is asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrimaryObservation {
    /// It knows the server at all.
    pub known_here: bool,
    /// STATUS fails.
    pub failing: bool,
    /// Replies are owed and overdue.
    pub stalled: bool,
    /// Statements were answered lately.
    pub answering: bool,
}

/// The count over what nodes see of a lead that this node holds to be broken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FailureVotes {
    pub confirming: usize,
    pub denying: usize,
    /// Others that were asked.
    pub asked: usize,
}

/// A change among a group's servers is taken up after so long.
pub const STRANGE: Millis = 1_500;
/// A server that said it leaves and has not answered for so long has gone in order.
pub const GONE: Millis = 2_500;

/// How a server looks to whoever looks after its group.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaObservation {
    pub name: Name,
    pub draining: bool,
    pub failing_for: Option<Millis>,
}

impl ReplicaObservation {
    fn up(&self) -> bool {
        !self.draining && self.failing_for.is_none()
    }
    fn gone(&self) -> bool {
        self.draining && self.failing_for.is_some_and(|ms| ms >= GONE)
    }
}

/// Who is to count under the next lead: all that are up; where these are fewer than the group says it has, others that
/// counted so far, as they may come back.
pub fn to_count(label: usize, seen: &[ReplicaObservation], must: &[Name]) -> Vec<Name> {
    let mut out: Vec<Name> = seen.iter().filter(|s| s.up()).map(|s| s.name.clone()).collect();
    let rest = must.iter().chain(seen.iter().filter(|s| !s.gone()).map(|s| &s.name));
    for n in rest {
        if out.len() < label && !out.contains(n) {
            out.push(n.clone());
        }
    }
    out
}

/// Is there a server that ought to count and does not, or one that counts, has gone in order and is not needed?
pub fn strange(label: usize, seen: &[ReplicaObservation], must: &[Name]) -> bool {
    let come = seen.iter().any(|s| s.up() && !must.contains(&s.name));
    let enough = seen.iter().filter(|s| s.up()).count() >= label;
    let gone = enough && seen.iter().any(|s| s.gone() && must.contains(&s.name));
    !must.is_empty() && (come || gone)
}

impl FailureVotes {
    /// Begins with what this node sees itself: that counts for a stall, where a node without visits there has
    /// nothing to say. For a silence every node asks STATUS, so others must see it too.
    pub fn begin(dead: bool, me: PrimaryObservation, others: usize) -> FailureVotes {
        FailureVotes { confirming: usize::from(!dead && me.stalled), denying: 0, asked: others }
    }
    pub fn add(&mut self, dead: bool, e: PrimaryObservation) {
        let (yes, no) = if dead { (e.failing, !e.failing) } else { (e.stalled, e.answering && !e.stalled) };
        self.confirming += usize::from(e.known_here && yes);
        self.denying += usize::from(e.known_here && no && !yes);
    }
    /// Those that did not answer count for neither side; one node that is cut off deposes nobody.
    pub fn confirmed(&self) -> bool {
        self.asked == 0 || (self.confirming >= 1 && self.confirming > self.denying)
    }
}

/// Is the lead dead by its STATUS, rather than stalled?
pub fn dead(s: &GroupObservation) -> bool {
    s.failing_for.is_some_and(|ms| ms >= if s.connection_refused { DECLINED } else { SILENT })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn led() -> GroupObservation {
        let lead = PrimaryAssignment { fence: 1, server: Some("a".into()), ..Default::default() };
        let servers = vec!["a".into(), "b".into(), "c".into()];
        GroupObservation { primary: Some(lead), servers, server_count: 3, ..Default::default() }
    }

    #[test]
    fn one_node_alone_deposes_nobody() {
        let s = GroupObservation { failing_for: Some(SILENT), ..led() };
        assert_eq!(need(&s), PromotionNeed::Confirm);
        let eye = |failing| PrimaryObservation { known_here: true, failing, ..Default::default() };
        let count = |others: &[bool]| {
            let mut c = FailureVotes::begin(true, eye(true), others.len());
            others.iter().for_each(|f| c.add(true, eye(*f)));
            c.confirmed()
        };
        assert!(!count(&[false, false]) && !count(&[true, false, false]) && !count(&[true, false]));
        assert!(count(&[true, true, false]) && count(&[]));
    }

    /// Callers of a group may all be in one district: the other nodes have nothing to say of a stall.
    #[test]
    fn nodes_without_visits_there_do_not_speak_against_a_stall() {
        let idle = PrimaryObservation { known_here: true, ..Default::default() };
        let stalled = PrimaryObservation { stalled: true, ..idle };
        let busy = PrimaryObservation { answering: true, ..idle };
        let mut c = FailureVotes::begin(false, idle, 5);
        [stalled, idle, idle, idle].into_iter().for_each(|e| c.add(false, e));
        assert!(c.confirmed());
        c.add(false, busy);
        assert!(!c.confirmed());
        assert!(FailureVotes::begin(false, stalled, 3).confirmed());
    }

    #[test]
    fn servers_that_come_and_go_change_who_counts_by_a_hand_over() {
        let s = |n: &str, leaving, failing| ReplicaObservation {
            name: n.into(),
            draining: leaving,
            failing_for: failing,
        };
        let well = |n: &str| s(n, false, None);
        let must: Vec<Name> = ["a", "b", "c"].map(Name::from).into();
        let all = [well("a"), well("b"), well("c")];
        assert!(!strange(3, &all, &must) && !strange(3, &all, &[]));
        // One that crashed may come back: it counts on until another has taken its place.
        let crashed = [well("a"), well("b"), s("c", false, Some(90_000))];
        assert!(!strange(3, &crashed, &must));
        assert_eq!(to_count(3, &crashed, &must), must);
        let replaced = [well("a"), well("b"), s("c", false, Some(90_000)), well("d")];
        assert!(strange(3, &replaced, &must));
        assert_eq!(to_count(3, &replaced, &must), ["a", "b", "d"].map(Name::from));
        let four: Vec<Name> = ["a", "b", "c", "d"].map(Name::from).into();
        assert!(strange(3, &[well("a"), well("b"), s("c", true, Some(GONE)), well("d")], &four));
        assert!(!strange(3, &[well("a"), well("b"), s("c", true, Some(GONE - 1)), well("d")], &four));
    }

    #[test]
    fn a_hiccup_deposes_nobody() {
        assert_eq!(
            need(&GroupObservation { stalled_for: Some(STALLED - 1), ..led() }),
            PromotionNeed::Nothing
        );
        assert_eq!(need(&GroupObservation { stalled_for: Some(STALLED), ..led() }), PromotionNeed::Confirm);
    }

    #[test]
    fn a_minority_of_servers_is_no_ground_to_act() {
        let s = GroupObservation { servers: vec!["a".into()], primary: None, ..led() };
        assert_eq!(need(&s), PromotionNeed::Nothing);
        assert_eq!(need(&GroupObservation { primary: None, ..led() }), PromotionNeed::Now { planned: false });
    }

    #[test]
    fn leaving_is_planned_and_a_short_silence_is_nothing() {
        assert_eq!(need(&GroupObservation { draining: true, ..led() }), PromotionNeed::Now { planned: true });
        assert_eq!(
            need(&GroupObservation { failing_for: Some(SILENT - 1), ..led() }),
            PromotionNeed::Nothing
        );
        assert_eq!(
            need(&GroupObservation { failing_for: Some(DECLINED), connection_refused: true, ..led() }),
            PromotionNeed::Confirm
        );
    }
}
