//! Assignments of primaries: the store decides which voter sets of a group are valid, whichever node writes an
//! assignment.
use quincehatch_core::{ErrorCode, FencingToken, Name, PrimaryAssignment};
use quincehatch_store::store::promotion_role_key;
use quincehatch_store::{Answer, Command, Entry, PrimaryState, Store};

const GROUP: &str = "g";

#[derive(Default)]
struct TestStore(Store);

impl TestStore {
    fn write(&mut self, command: Command) -> Answer {
        let number = self.0.last_change + 1;
        self.0.apply(&Entry { number, key: format!("{number}").into(), command }).unwrap()
    }

    fn acquire_fence(&mut self) -> FencingToken {
        let command = Command::AcquireFence { duty: promotion_role_key(GROUP), by: "n".into() };
        match self.write(command) {
            Answer::Fence(fence) => fence,
            other => panic!("{other:?}"),
        }
    }

    fn acquire_fence_if_unchanged(&mut self, expected: &PrimaryState) -> Answer {
        let expected = expected.clone();
        self.write(Command::AcquireFenceIfUnchanged { group: GROUP.into(), by: "n".into(), expected })
    }

    fn assign(&mut self, fence: FencingToken, server: Option<&str>, voters: &[&str]) -> Answer {
        let primary = PrimaryAssignment {
            fence,
            server: server.map(Name::from),
            voters: names(voters),
            ..Default::default()
        };
        self.write(Command::AssignPrimary { group: GROUP.into(), primary })
    }

    fn drop_previous_voters(&mut self, fence: FencingToken) -> Answer {
        self.write(Command::DropPreviousVoters { group: GROUP.into(), fence })
    }

    /// Returns all voter sets that are valid now.
    fn voter_sets(&self) -> Vec<Vec<Name>> {
        let primary = &self.0.primaries[GROUP];
        let all = primary.previous_voters.iter().chain(Some(&primary.voters));
        all.filter(|set| !set.is_empty()).cloned().collect()
    }
}

fn names(names: &[&str]) -> Vec<Name> {
    names.iter().map(|name| Name::from(*name)).collect()
}

fn assigned_voter_sets(answer: Answer) -> Vec<Vec<Name>> {
    match answer {
        Answer::Primary(primary) => primary.voter_sets(),
        other => panic!("{other:?}"),
    }
}

fn assert_stale(answer: &Answer) {
    let is_stale = matches!(answer, Answer::Rejected(error) if error.has_code(ErrorCode::StaleFence));
    assert!(is_stale, "{answer:?}");
}

/// Simulator seed 700294: a node that was partitioned during a promotion wrote, long after, the voters that it knew
/// when the promotion began.
#[test]
fn no_voter_set_is_dropped_when_a_close_names_an_older_one() {
    let mut store = TestStore::default();
    let first = store.acquire_fence();
    store.assign(first, Some("a"), &["a", "b", "c"]);
    let second = store.acquire_fence();
    store.assign(second, Some("a"), &["a", "c", "d"]);
    let third = store.acquire_fence();
    store.assign(third, None, &["a", "b", "c"]);
    let sets = store.voter_sets();
    assert!(sets.contains(&names(&["a", "c", "d"])), "{sets:?}");
}

#[test]
fn a_close_answers_the_sets_that_hold_and_a_new_set_is_added_to_them() {
    let mut store = TestStore::default();
    let first = store.acquire_fence();
    store.assign(first, Some("a"), &["a", "b", "c"]);
    let second = store.acquire_fence();
    let closed = store.assign(second, None, &[]);
    assert_eq!(assigned_voter_sets(closed), [names(&["a", "b", "c"])]);
    // The promotion is abandoned after its voter set was written; the next promotion must include that set.
    let abandoned = store.assign(second, None, &["a", "b", "d"]);
    assert_eq!(assigned_voter_sets(abandoned).len(), 2);
    let third = store.acquire_fence();
    let both = [names(&["a", "b", "c"]), names(&["a", "b", "d"])];
    let closed = store.assign(third, None, &[]);
    assert_eq!(assigned_voter_sets(closed), both);
    let named = store.assign(third, Some("b"), &["a", "b", "c"]);
    assert_eq!(assigned_voter_sets(named), [both[1].clone(), both[0].clone()]);
}

#[test]
fn previous_voters_are_dropped_only_for_the_primary_that_is_named() {
    let mut store = TestStore::default();
    let first = store.acquire_fence();
    store.assign(first, Some("a"), &["a", "b", "c"]);
    let second = store.acquire_fence();
    store.assign(second, None, &["b", "c", "d"]);
    for fence in [first, second] {
        assert_stale(&store.drop_previous_voters(fence));
    }
    store.assign(second, Some("b"), &["b", "c", "d"]);
    store.drop_previous_voters(second);
    assert_eq!(store.voter_sets(), [names(&["b", "c", "d"])]);
}

/// Simulator seed 101: two nodes began a promotion at the same time. The later one acquired a higher token, found that
/// the other had begun, and abandoned its promotion; the higher token made the other's assignment stale, again and
/// again.
#[test]
fn no_fence_is_issued_when_another_one_was_issued_meanwhile() {
    let mut store = TestStore::default();
    let first = store.acquire_fence();
    let expected = PrimaryState { fence: first, primary: None };
    assert_eq!(store.acquire_fence_if_unchanged(&expected), Answer::Fence(first + 1));
    assert_stale(&store.acquire_fence_if_unchanged(&expected));
    assert_eq!(store.0.fence(&promotion_role_key(GROUP)), first + 1);
}

/// Simulator seed 154: a node that had seen another node's token, but planned before that node closed the primary,
/// acquired a higher token and only then found that the primary was not the one it had planned for.
#[test]
fn no_fence_is_issued_when_the_primary_is_not_the_one_planned_for() {
    let mut store = TestStore::default();
    let first = store.acquire_fence();
    store.assign(first, Some("a"), &["a", "b", "c"]);
    let fence = store.acquire_fence();
    let expected = PrimaryState { fence, primary: store.0.primaries.get(GROUP).cloned() };
    store.assign(fence, None, &[]);
    assert_stale(&store.acquire_fence_if_unchanged(&expected));
    let Answer::Primary(named) = store.assign(fence, Some("b"), &[]) else {
        panic!("a newer token was issued")
    };
    let expected = PrimaryState { fence, primary: Some(named) };
    assert_eq!(store.acquire_fence_if_unchanged(&expected), Answer::Fence(fence + 1));
}
