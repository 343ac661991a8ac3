//! When a group needs a promotion (§5.5): the wanted state against what is seen. Sans-IO.
use quincehatch_core::{PrimaryAssignment, Millis, Name};

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
pub struct Sight {
    pub lead: Option<PrimaryAssignment>,
    /// How long the lead has stood as it is, as seen here.
    pub lead_for: Millis,
    /// A fence above the lead's was taken so long ago, by another node's promotion that wrote nothing since.
    pub begun: Option<Millis>,
    /// Servers of the group known here.
    pub servers: Vec<Name>,
    pub copies: usize,
    /// STATUS of the lead's server has failed so long.
    pub failing: Option<Millis>,
    /// ... and nobody listened there.
    pub declined: bool,
    /// The lead has stalled for so long, as judged here or told by another.
    pub stalled: Option<Millis>,
    /// The lead's server says of itself that it does not lead under this fence, for so long.
    pub wrong: Option<Millis>,
    pub leaving: bool,
    /// For so long a server has been there that does not count, or one that counts has gone in order.
    pub strange: Option<Millis>,
    /// An operator asked for a hand-over.
    pub asked: Option<Option<Name>>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Need {
    Nothing,
    /// Others must see it too before anything is done.
    Confirm,
    Now {
        planned: bool,
    },
}

impl Sight {
    /// Another node's change of hands was begun lately: it goes first (§5.5).
    pub fn others_turn(&self) -> bool {
        self.begun.is_some_and(|ms| ms < STUCK)
    }
}

/// What the group needs.
pub fn need(s: &Sight) -> Need {
    if s.servers.len() * 2 <= s.copies || s.others_turn() {
        return Need::Nothing;
    }
    let Some(lead) = &s.lead else { return Need::Now { planned: false } };
    if lead.server.is_none() {
        return if s.lead_for >= STUCK { Need::Now { planned: false } } else { Need::Nothing };
    }
    if dead(s) || s.stalled.is_some_and(|ms| ms >= STALLED) {
        return Need::Confirm;
    }
    if s.wrong.is_some_and(|ms| ms >= WRONG) {
        return Need::Now { planned: false };
    }
    if s.leaving || s.asked.is_some() || s.strange.is_some_and(|ms| ms >= STRANGE) {
        return Need::Now { planned: true };
    }
    Need::Nothing
}

/// What one node sees of a server when it is asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Eye {
    /// It knows the server at all.
    pub heard: bool,
    /// STATUS fails.
    pub failing: bool,
    /// Replies are owed and overdue.
    pub stalled: bool,
    /// Statements were answered lately.
    pub answering: bool,
}

/// The count over what nodes see of a lead that this node holds to be broken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    pub agree: usize,
    pub disagree: usize,
    /// Others that were asked.
    pub others: usize,
}

/// A change among a group's servers is taken up after so long.
pub const STRANGE: Millis = 1_500;
/// A server that said it leaves and has not answered for so long has gone in order.
pub const GONE: Millis = 2_500;

/// How a server looks to whoever looks after its group.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    pub name: Name,
    pub leaving: bool,
    pub failing: Option<Millis>,
}

impl Seen {
    fn up(&self) -> bool {
        !self.leaving && self.failing.is_none()
    }
    fn gone(&self) -> bool {
        self.leaving && self.failing.is_some_and(|ms| ms >= GONE)
    }
}

/// Who is to count under the next lead: all that are up; where these are fewer than the group says it has, others that
/// counted so far, as they may come back.
pub fn to_count(label: usize, seen: &[Seen], must: &[Name]) -> Vec<Name> {
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
pub fn strange(label: usize, seen: &[Seen], must: &[Name]) -> bool {
    let come = seen.iter().any(|s| s.up() && !must.contains(&s.name));
    let enough = seen.iter().filter(|s| s.up()).count() >= label;
    let gone = enough && seen.iter().any(|s| s.gone() && must.contains(&s.name));
    !must.is_empty() && (come || gone)
}

impl Count {
    /// Begins with what this node sees itself: that counts for a stall, where a node without visits there has
    /// nothing to say. For a silence every node asks STATUS, so others must see it too.
    pub fn begin(dead: bool, me: Eye, others: usize) -> Count {
        Count { agree: usize::from(!dead && me.stalled), disagree: 0, others }
    }
    pub fn add(&mut self, dead: bool, e: Eye) {
        let (yes, no) = if dead { (e.failing, !e.failing) } else { (e.stalled, e.answering && !e.stalled) };
        self.agree += usize::from(e.heard && yes);
        self.disagree += usize::from(e.heard && no && !yes);
    }
    /// Those that did not answer count for neither side; one node that is cut off deposes nobody.
    pub fn confirmed(&self) -> bool {
        self.others == 0 || (self.agree >= 1 && self.agree > self.disagree)
    }
}

/// Is the lead dead by its STATUS, rather than stalled?
pub fn dead(s: &Sight) -> bool {
    s.failing.is_some_and(|ms| ms >= if s.declined { DECLINED } else { SILENT })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn led() -> Sight {
        let lead = PrimaryAssignment { fence: 1, server: Some("a".into()), ..Default::default() };
        let servers = vec!["a".into(), "b".into(), "c".into()];
        Sight { lead: Some(lead), servers, copies: 3, ..Default::default() }
    }

    #[test]
    fn one_node_alone_deposes_nobody() {
        let s = Sight { failing: Some(SILENT), ..led() };
        assert_eq!(need(&s), Need::Confirm);
        let eye = |failing| Eye { heard: true, failing, ..Default::default() };
        let count = |others: &[bool]| {
            let mut c = Count::begin(true, eye(true), others.len());
            others.iter().for_each(|f| c.add(true, eye(*f)));
            c.confirmed()
        };
        assert!(!count(&[false, false]) && !count(&[true, false, false]) && !count(&[true, false]));
        assert!(count(&[true, true, false]) && count(&[]));
    }

    /// Callers of a group may all be in one district: the other nodes have nothing to say of a stall.
    #[test]
    fn nodes_without_visits_there_do_not_speak_against_a_stall() {
        let idle = Eye { heard: true, ..Default::default() };
        let stalled = Eye { stalled: true, ..idle };
        let busy = Eye { answering: true, ..idle };
        let mut c = Count::begin(false, idle, 5);
        [stalled, idle, idle, idle].into_iter().for_each(|e| c.add(false, e));
        assert!(c.confirmed());
        c.add(false, busy);
        assert!(!c.confirmed());
        assert!(Count::begin(false, stalled, 3).confirmed());
    }

    #[test]
    fn servers_that_come_and_go_change_who_counts_by_a_hand_over() {
        let s = |n: &str, leaving, failing| Seen { name: n.into(), leaving, failing };
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
        assert_eq!(need(&Sight { stalled: Some(STALLED - 1), ..led() }), Need::Nothing);
        assert_eq!(need(&Sight { stalled: Some(STALLED), ..led() }), Need::Confirm);
    }

    #[test]
    fn a_minority_of_servers_is_no_ground_to_act() {
        let s = Sight { servers: vec!["a".into()], lead: None, ..led() };
        assert_eq!(need(&s), Need::Nothing);
        assert_eq!(need(&Sight { lead: None, ..led() }), Need::Now { planned: false });
    }

    #[test]
    fn leaving_is_planned_and_a_short_silence_is_nothing() {
        assert_eq!(need(&Sight { leaving: true, ..led() }), Need::Now { planned: true });
        assert_eq!(need(&Sight { failing: Some(SILENT - 1), ..led() }), Need::Nothing);
        assert_eq!(need(&Sight { failing: Some(DECLINED), declined: true, ..led() }), Need::Confirm);
    }
}
