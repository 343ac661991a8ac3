//! The last quarter of the allowed disk size is reserved for small records.
mod cluster;
mod samples;

use assert_matches::assert_matches;
use cluster::Cluster;
use quincehatch_core::ErrorCode;
use quincehatch_store::disk_usage::DiskUsage;
use quincehatch_store::{Command, Reply, Request};
use samples::{adopt, document};

fn write(cluster: &mut Cluster, token: u64, key: &str, command: Command) -> Option<Reply> {
    cluster.request("a", token, Request::Write { key: key.into(), command });
    cluster.run_for(1_500);
    cluster.reply_to(token)
}

#[test]
fn new_documents_are_rejected_and_other_requests_are_answered_when_the_reserve_is_in_use() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    cluster.run_for(3_000);
    assert_matches!(write(&mut cluster, 1, "first", adopt(1, document(1))), Some(Reply::Answer { .. }));
    cluster.keepers.get_mut("a").unwrap().set_disk_usage(DiskUsage { used: 76, allowed: 100 });
    assert_matches!(
        write(&mut cluster, 2, "second", adopt(2, document(2))),
        Some(Reply::Rejected { error }) if error.has_code(ErrorCode::ChainUnavailable) && error.retry_after_ms.is_some()
    );
    assert_matches!(write(&mut cluster, 3, "first", adopt(1, document(1))), Some(Reply::Answer { .. }));
    let fence = Command::AcquireFence { duty: "duty".into(), by: "t".into() };
    assert_matches!(write(&mut cluster, 4, "fence", fence), Some(Reply::Answer { .. }));
    cluster.keepers.get_mut("a").unwrap().set_disk_usage(DiskUsage { used: 20, allowed: 100 });
    assert_matches!(write(&mut cluster, 5, "second", adopt(2, document(2))), Some(Reply::Answer { .. }));
}
