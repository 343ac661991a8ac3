//! The command line of the `quincehatch-node` process.
use std::process::{Command, Output};

const SETTINGS: [&str; 8] = [
    "--check",
    "--name=n1",
    "--token=t",
    "--keeper=127.0.0.1:1",
    "--platform=127.0.0.1:2",
    "--log",
    "off",
    "--threads=1",
];
const ADDRESSES: [&str; 4] = ["z1", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5"];

fn run(flags: &[String]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_quincehatch-node")).args(SETTINGS).args(flags).output().unwrap()
}

fn run_with_addresses(names: [&str; 4]) -> Output {
    let flags = names.iter().zip(ADDRESSES).map(|(name, value)| format!("--{name}={value}"));
    run(&flags.collect::<Vec<_>>())
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn settings_are_valid_when_all_flags_are_given() {
    let output = run_with_addresses(["zone", "client-listener", "operator-listener", "gossip-listener"]);
    assert!(output.status.success(), "{}", stderr(&output));
    assert_eq!(String::from_utf8_lossy(&output.stdout), "the settings are valid\n");
    assert_eq!(stderr(&output), "");
}

#[test]
fn deprecated_flags_are_read_and_reported_when_they_are_given() {
    let output = run_with_addresses(["district", "door", "desk", "mesh"]);
    assert!(output.status.success(), "{}", stderr(&output));
    for (old, new) in [
        ("district", "zone"),
        ("door", "client-listener"),
        ("desk", "operator-listener"),
        ("mesh", "gossip-listener"),
    ] {
        let notice = format!("--{old} is deprecated, use --{new}");
        assert!(stderr(&output).contains(&notice), "{}", stderr(&output));
    }
}

#[test]
fn the_process_exits_with_an_error_when_a_flag_or_setting_is_wrong() {
    for (flags, expected) in [
        (vec!["--unknown=1".to_owned()], "--unknown"),
        (vec!["--threads=many".to_owned()], "--threads: \"many\" is not a number"),
        (vec![], "zone: must be given"),
    ] {
        let output = run(&flags);
        assert_eq!(output.status.code(), Some(2));
        assert!(stderr(&output).contains(expected), "{}", stderr(&output));
    }
}
