//! When a group needs a promotion (§5.5): the wanted state against what is seen. Sans-IO.
use qh_core::{Lead, Ms, Name};

/// STATUS unanswered this long, and others see the same: the breakdown is final.
pub const SILENT: Ms = 2_500;
/// Nobody listens at the server's address this long.
pub const DECLINED: Ms = 1_000;
/// The named server does not lead this long.
pub const WRONG: Ms = 1_500;
/// A change of hands that another began stands still this long.
pub const STUCK: Ms = 4_000;

/// What the duty's owner sees of the group at this moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sight {
    pub lead: Option<Lead>,
    /// How long the lead has stood as it is, as seen here.
    pub lead_for: Ms,
    /// Servers of the group known here.
    pub servers: Vec<Name>,
    pub copies: usize,
    /// STATUS of the lead's server has failed so long.
    pub failing: Option<Ms>,
    /// ... and nobody listened there.
    pub declined: bool,
    /// The judges set the lead's server aside for a stall.
    pub aside: bool,
    /// The lead's server says of itself that it does not lead under this fence, for so long.
    pub wrong: Option<Ms>,
    pub leaving: bool,
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

/// What the group needs.
pub fn need(s: &Sight) -> Need {
    if s.servers.len() * 2 <= s.copies {
        return Need::Nothing;
    }
    let Some(lead) = &s.lead else { return Need::Now { planned: false } };
    if lead.server.is_none() {
        return if s.lead_for >= STUCK { Need::Now { planned: false } } else { Need::Nothing };
    }
    let dead = s.failing.is_some_and(|ms| ms >= if s.declined { DECLINED } else { SILENT });
    if dead || s.aside {
        return Need::Confirm;
    }
    if s.wrong.is_some_and(|ms| ms >= WRONG) {
        return Need::Now { planned: false };
    }
    if s.leaving || s.asked.is_some() {
        return Need::Now { planned: true };
    }
    Need::Nothing
}

/// Do enough of the others that were asked see it as well? Those that did not answer do not count against it;
/// when nobody could be asked, this node alone decides only if there is nobody else.
pub fn confirmed(agree: usize, disagree: usize, others: usize) -> bool {
    if others == 0 { true } else { agree >= 1 && agree > disagree }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn led() -> Sight {
        let lead = Lead { fence: 1, server: Some("a".into()), ..Default::default() };
        let servers = vec!["a".into(), "b".into(), "c".into()];
        Sight { lead: Some(lead), servers, copies: 3, ..Default::default() }
    }

    #[test]
    fn one_node_alone_deposes_nobody() {
        let s = Sight { failing: Some(SILENT), ..led() };
        assert_eq!(need(&s), Need::Confirm);
        assert!(!confirmed(0, 3, 3) && !confirmed(1, 2, 3) && !confirmed(0, 0, 3));
        assert!(confirmed(2, 1, 3) && confirmed(0, 0, 0));
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
