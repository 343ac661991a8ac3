//! Which lists of counting servers hold is kept by the chain, whoever writes what (§5.5).
use quincehatch_core::{ErrorCode, FencingToken, Name, PrimaryAssignment};
use quincehatch_store::store::promotion_duty_key;
use quincehatch_store::{Answer, Command, Entry, PrimaryState, Store};

#[derive(Default)]
struct Chain(Store);

impl Chain {
    fn write(&mut self, cmd: Command) -> Answer {
        let n = self.0.last_change + 1;
        self.0.apply(&Entry { number: n, key: format!("{n}").into(), command: cmd }).unwrap()
    }
    fn take(&mut self) -> FencingToken {
        match self.write(Command::AcquireFence { duty: promotion_duty_key("g"), by: "n".into() }) {
            Answer::Fence(f) => f,
            a => panic!("{a:?}"),
        }
    }
    fn lead(&mut self, fence: FencingToken, server: Option<&str>, counts: &[&str]) -> Answer {
        let lead = PrimaryAssignment {
            fence,
            server: server.map(Name::from),
            voters: names(counts),
            ..Default::default()
        };
        self.write(Command::AssignPrimary { group: "g".into(), primary: lead })
    }
    /// All lists that hold now.
    fn lists(&self) -> Vec<Vec<Name>> {
        let l = &self.0.primaries["g"];
        let all = l.previous_voters.iter().chain(Some(&l.voters));
        all.filter(|l| !l.is_empty()).cloned().collect()
    }
}

fn names(of: &[&str]) -> Vec<Name> {
    of.iter().map(|n| Name::from(*n)).collect()
}

/// Drawn seed 700294: a promoter that was cut off wrote, long after, what had counted when it began.
#[test]
fn a_close_by_who_knew_an_older_list_takes_no_list_away() {
    let mut c = Chain::default();
    let one = c.take();
    c.lead(one, Some("a"), &["a", "b", "c"]);
    let two = c.take();
    c.lead(two, Some("a"), &["a", "c", "d"]);
    let three = c.take();
    c.lead(three, None, &["a", "b", "c"]);
    assert!(c.lists().contains(&names(&["a", "c", "d"])), "{:?}", c.lists());
}

#[test]
fn a_close_tells_the_lists_that_hold_and_a_list_comes_on_top() {
    let mut c = Chain::default();
    let one = c.take();
    c.lead(one, Some("a"), &["a", "b", "c"]);
    let two = c.take();
    let told = |a: Answer| match a {
        Answer::Primary(l) => l.voter_sets(),
        a => panic!("{a:?}"),
    };
    assert_eq!(told(c.lead(two, None, &[])), [names(&["a", "b", "c"])]);
    // Abandoned after its list was written: whoever comes next meets it.
    assert_eq!(told(c.lead(two, None, &["a", "b", "d"])).len(), 2);
    let three = c.take();
    let all = [names(&["a", "b", "c"]), names(&["a", "b", "d"])];
    assert_eq!(told(c.lead(three, None, &[])), all);
    assert_eq!(told(c.lead(three, Some("b"), &["a", "b", "c"])), [all[1].clone(), all[0].clone()]);
}

#[test]
fn only_the_lead_that_is_named_settles_its_list() {
    let mut c = Chain::default();
    let one = c.take();
    c.lead(one, Some("a"), &["a", "b", "c"]);
    let two = c.take();
    c.lead(two, None, &["b", "c", "d"]);
    let settle = |fence| Command::DropPreviousVoters { group: "g".into(), fence };
    for fence in [one, two] {
        let got = c.write(settle(fence));
        assert!(matches!(&got, Answer::Rejected(b) if b.has_code(ErrorCode::StaleFence)), "{got:?}");
    }
    c.lead(two, Some("b"), &["b", "c", "d"]);
    c.write(settle(two));
    assert_eq!(c.lists(), [names(&["b", "c", "d"])]);
}

fn next_fence(c: &mut Chain, over: &PrimaryState) -> Answer {
    c.write(Command::AcquireFenceIfUnchanged { group: "g".into(), by: "n".into(), expected: over.clone() })
}

/// Drawn seed 101: of two promoters that began at once, the later one took a higher fence, saw that it had come too
/// late, and gave up; the other was overtaken by it, again and again.
#[test]
fn a_fence_is_not_taken_over_one_that_its_taker_has_not_seen() {
    let mut c = Chain::default();
    let one = c.take();
    let over = PrimaryState { fence: one, primary: None };
    assert_eq!(next_fence(&mut c, &over), Answer::Fence(one + 1));
    assert!(matches!(next_fence(&mut c, &over), Answer::Rejected(b) if b.has_code(ErrorCode::StaleFence)));
    assert_eq!(c.0.fence(&promotion_duty_key("g")), one + 1);
}

/// Drawn seed 154: a promoter that had seen the other's fence, but planned before its close, took a higher one and then
/// saw that the lead was not the one it had planned for.
#[test]
fn a_fence_is_not_taken_over_a_lead_that_is_not_the_one_planned_for() {
    let mut c = Chain::default();
    let one = c.take();
    c.lead(one, Some("a"), &["a", "b", "c"]);
    let over = PrimaryState { fence: c.take(), primary: c.0.primaries.get("g").cloned() };
    c.lead(over.fence, None, &[]);
    assert!(matches!(next_fence(&mut c, &over), Answer::Rejected(b) if b.has_code(ErrorCode::StaleFence)));
    let Answer::Primary(named) = c.lead(over.fence, Some("b"), &[]) else { panic!("it was overtaken") };
    let over = PrimaryState { primary: Some(named), ..over };
    assert_eq!(next_fence(&mut c, &over), Answer::Fence(over.fence + 1));
}
