//! Tests the position that a read must reach to be fresh enough.
use quincehatch_core::Position;
use quincehatch_proxy::staleness::PrimaryPositions;

fn position(number: u64) -> Position {
    Position { fence: 1, number }
}

#[test]
fn a_read_must_reach_the_oldest_observation_within_the_bound() {
    let mut positions = PrimaryPositions::default();
    for i in 0..20 {
        positions.record(i * 100, position(i));
    }
    assert_eq!(positions.required_at(1_900, 1_500), Some(position(7)));
    assert_eq!(positions.required_at(3_099, 1_500), Some(position(19)));
    assert_eq!(
        positions.required_at(3_101, 1_500),
        None,
        "no observation is recent enough to prove anything"
    );
}

#[test]
fn an_observation_dates_from_when_its_request_was_sent() {
    let mut positions = PrimaryPositions::default();
    positions.record(1_000, position(5));
    positions.record(400, position(9));
    assert_eq!(positions.required_at(1_600, 1_500), Some(position(9)));
    assert_eq!(positions.required_at(2_000, 1_500), Some(position(5)));
}
