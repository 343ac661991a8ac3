//! Compatibility: all contents of a data directory that version 8d4197c wrote are read.
use quincehatch_core::{PrimaryAssignment, Role, ServerRecord};
use quincehatch_store::storage::disk::Disk;
use quincehatch_store::store::IssuedFence;
use quincehatch_store::{Command, RecoveredState, Voter};
use std::path::{Path, PathBuf};

/// The configuration in force, as version 8d4197c stored it.
const STORED_CONFIGURATION: &str =
    include_str!("../../config/tests/fixtures/8d4197c/stored-configuration.json");
/// Number of the last entry. The entries are two pushes, two promotions with one list of voters, the enrollment of a
/// node and the registrations of three servers.
const LAST_CHANGE: u64 = 13;

/// A copy of the fixture, because opening a data directory may write to it.
struct DataDirectory(PathBuf);

impl DataDirectory {
    fn copy(name: &str) -> DataDirectory {
        let fixture = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/8d4197c/keeper.redb");
        let directory =
            std::env::temp_dir().join(format!("quincehatch-8d4197c-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        std::fs::copy(fixture, directory.join("keeper.redb")).unwrap();
        DataDirectory(directory)
    }

    fn recover(&self) -> RecoveredState {
        Disk::open(&self.0, "k1", None).unwrap().state
    }
}

impl Drop for DataDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn server(index: u64, role: Role) -> ServerRecord {
    ServerRecord {
        server: format!("g1s{index}").into(),
        group: "g1".into(),
        addr: format!("127.0.0.1:3420{index}").into(),
        zone: format!("d{index}").into(),
        slots: 5,
        draining: index == 3,
        role,
        seq: 7 + index,
    }
}

#[test]
fn a_keeper_finds_its_view_when_8d4197c_wrote_the_data_folder() {
    let directory = DataDirectory::copy("view");
    let recovered = directory.recover();
    assert_eq!((recovered.view.version, recovered.served_version), (1, 1));
    assert_eq!(recovered.view.members, ["k1"]);
    assert_eq!(recovered.view.voters, [Voter { name: "k1".into(), addr: "127.0.0.1:34102".into() }]);
    assert!(!recovered.catching_up);
}

#[test]
fn a_keeper_finds_configurations_fences_primaries_and_servers_when_8d4197c_wrote_the_data_folder() {
    let directory = DataDirectory::copy("store");
    let store = directory.recover().store;
    assert_eq!(store.last_change, LAST_CHANGE);
    let authors: Vec<_> = store.history.iter().map(|entry| (entry.version, entry.author.as_str())).collect();
    assert_eq!(authors, [(1, "qhlab"), (2, "operator")]);
    assert_eq!(store.configuration().unwrap().text, STORED_CONFIGURATION);
    assert_eq!(store.fences["lead/g1"], IssuedFence { fence: 2, holder: "n1".into() });
    let primary = PrimaryAssignment {
        fence: 2,
        server: Some("g1s2".into()),
        demoted: Some("g1s1".into()),
        assigned_by: "n1".into(),
        voters: vec!["g1s1".into(), "g1s2".into(), "g1s3".into()],
        previous_voters: vec![],
    };
    assert_eq!(store.primaries["g1"], primary);
    let servers: Vec<ServerRecord> = store.servers.into_values().collect();
    assert_eq!(servers, [server(1, Role::Replica), server(2, Role::Primary), server(3, Role::Replica)]);
    assert_eq!(store.nodes["n1"], 1);
    assert!(store.adopted.is_none());
}

#[test]
fn a_keeper_finds_every_entry_of_its_log_when_8d4197c_wrote_the_data_folder() {
    let directory = DataDirectory::copy("log");
    let log = directory.recover().log;
    let entries = log.entries_after(0, usize::MAX).unwrap();
    let entries: Vec<_> = entries.iter().map(|packed| packed.unpack().unwrap()).collect();
    let numbers: Vec<u64> = entries.iter().map(|entry| entry.number).collect();
    assert_eq!(numbers, (1..=LAST_CHANGE).collect::<Vec<u64>>());
    assert_eq!(entries[1].key, "push/first");
    let last = Command::RegisterServer { at: server(3, Role::Replica) };
    assert_eq!(entries[12].command, last);
}
