//! The last part of a nearly full disk is reserved for small records.
mod kit;
mod samples;

use assert_matches::assert_matches;
use kit::Net;
use quincehatch_core::ErrorCode;
use quincehatch_store::disk_port::DiskUsage;
use quincehatch_store::{Command, Reply, Request};
use samples::{adopt, document};

fn write(net: &mut Net, token: u64, key: &str, command: Command) -> Option<Reply> {
    net.ask("a", token, Request::Write { key: key.into(), command });
    net.run(1_500);
    net.rep(token)
}

#[test]
fn new_documents_are_rejected_and_all_else_is_answered_when_the_reserve_is_touched() {
    let mut net = Net::new(&["a", "b", "c"]);
    net.run(3_000);
    assert_matches!(write(&mut net, 1, "first", adopt(1, document(1))), Some(Reply::Answer { .. }));
    net.ks.get_mut("a").unwrap().set_disk_usage(DiskUsage { used: 76, allowed: 100 });
    assert_matches!(
        write(&mut net, 2, "second", adopt(2, document(2))),
        Some(Reply::Rejected { error }) if error.has_code(ErrorCode::ChainUnavailable) && error.retry_after_ms.is_some()
    );
    assert_matches!(write(&mut net, 3, "first", adopt(1, document(1))), Some(Reply::Answer { .. }));
    let fence = Command::AcquireFence { duty: "duty".into(), by: "t".into() };
    assert_matches!(write(&mut net, 4, "fence", fence), Some(Reply::Answer { .. }));
    net.ks.get_mut("a").unwrap().set_disk_usage(DiskUsage { used: 20, allowed: 100 });
    assert_matches!(write(&mut net, 5, "second", adopt(2, document(2))), Some(Reply::Answer { .. }));
}
