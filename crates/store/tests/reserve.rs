//! The last part of a nearly full disk is left to small records (§5.7).
mod kit;
mod samples;

use assert_matches::assert_matches;
use kit::Net;
use quincehatch_core::ErrorCode;
use quincehatch_store::storage::disk_usage::DiskUsage;
use quincehatch_store::{Command, Reply, Request};
use samples::{adopt, document};

fn write(net: &mut Net, token: u64, key: &str, cmd: Command) -> Option<Reply> {
    net.ask("a", token, Request::Write { key: key.into(), command: cmd });
    net.run(1_500);
    net.rep(token)
}

#[test]
fn a_new_document_is_declined_and_a_fence_or_a_document_taken_before_is_answered() {
    let mut net = Net::new(&["a", "b", "c"]);
    net.run(3_000);
    assert_matches!(write(&mut net, 1, "first", adopt(1, document(1))), Some(Reply::Answer { .. }));
    net.ks.get_mut("a").unwrap().set_disk_usage(DiskUsage { used: 76, allowed: 100 });
    assert_matches!(
        write(&mut net, 2, "second", adopt(2, document(2))),
        Some(Reply::Rejected { error: why }) if why.has_code(ErrorCode::ChainUnavailable) && why.retry_after_ms.is_some()
    );
    assert_matches!(write(&mut net, 3, "first", adopt(1, document(1))), Some(Reply::Answer { .. }));
    let fence = Command::AcquireFence { duty: "duty".into(), by: "t".into() };
    assert_matches!(write(&mut net, 4, "fence", fence), Some(Reply::Answer { .. }));
    net.ks.get_mut("a").unwrap().set_disk_usage(DiskUsage { used: 20, allowed: 100 });
    assert_matches!(write(&mut net, 5, "second", adopt(2, document(2))), Some(Reply::Answer { .. }));
}
