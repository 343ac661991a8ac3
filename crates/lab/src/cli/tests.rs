//! Tests of the command line's interpretation.
use super::{Command, SimulatedWorld, command};
use crate::cli::flags::Flags;

fn parse(line: &str) -> Result<Command, String> {
    let parser = lexopt::Parser::from_args(line.split(' '));
    let flags = Flags::read(parser)?.expect("a command");
    command(&flags)
}

fn simulated_world(line: &str) -> SimulatedWorld {
    match parse(line) {
        Ok(Command::Simulate(options)) => options.world,
        _ => panic!("{line}: not a simulation"),
    }
}

#[test]
fn a_world_is_simulated_when_its_flag_is_given_under_its_new_or_deprecated_name() {
    assert_eq!(simulated_world("sim --seeds 3"), SimulatedWorld::Pooled);
    assert_eq!(simulated_world("sim --direct"), SimulatedWorld::Direct);
    assert_eq!(simulated_world("sim --held"), SimulatedWorld::Direct);
    assert_eq!(simulated_world("sim --control"), SimulatedWorld::ControlPlane);
    for line in ["sim --promotion-faults", "sim --hands"] {
        let Ok(Command::Simulate(options)) = parse(line) else { panic!("{line}") };
        assert!(options.promotion_faults, "{line}");
    }
}

#[test]
fn listeners_are_read_when_their_flags_have_new_or_deprecated_names() {
    for line in ["platform --addr a --client-listener z1=b", "platform --addr a --door z1=b"] {
        let Ok(Command::StandInPlatform { addr, nodes }) = parse(line) else { panic!("{line}") };
        assert_eq!((addr.as_str(), nodes), ("a", vec![("z1".into(), "b".into())]));
    }
    for line in ["stand --name s --addr a --operator-listener b", "stand --name s --addr a --desk b"] {
        let Ok(Command::StandInServer(options)) = parse(line) else { panic!("{line}") };
        assert_eq!(options.operator_addresses, ["b"]);
    }
}

#[test]
fn the_last_value_counts_when_a_flag_is_given_twice() {
    let Ok(Command::Simulate(options)) = parse("sim --seeds 3 --seeds 4") else { panic!("not a simulation") };
    assert_eq!((options.seeds, options.first_seed), (4, 1));
}

#[test]
fn a_command_line_is_rejected_when_a_word_flag_or_number_is_not_known() {
    let error = |line: &str| parse(line).err().unwrap_or_default();
    assert_eq!(error("fly"), "`fly` is not a command");
    assert_eq!(error("sim --colour red"), "invalid option '--colour'");
    assert_eq!(error("sim --seeds many"), "--seeds: \"many\" is not a number in range");
    assert_eq!(error("stand --name s"), "--addr is missing");
}
