//! The keepers of the cluster, each on its own thread.
use super::{Bound, single_thread_runtime};
use crate::cpu::current_thread;
use quincehatch_core::Name;
use quincehatch_runtime::now;
use quincehatch_store::host::KeeperHost;
use quincehatch_store::storage::disk::{Disk, OpenedDisk};
use quincehatch_store::{Keeper, View, Voter, driver};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread;
use tokio::sync::watch;

/// Starts a keeper for each address. Returns the directories of the threads in `/proc`.
pub(super) fn start(dir: &Path, bound: Vec<Bound>) -> Vec<PathBuf> {
    let voters: Vec<Voter> = bound
        .iter()
        .enumerate()
        .map(|(index, keeper)| Voter { name: keeper_name(index), addr: keeper.addr.as_str().into() })
        .collect();
    let members = voters.iter().map(|voter| voter.name.clone()).collect();
    let view = View { version: 1, members, voters };
    let mut threads = Vec::new();
    for (index, keeper) in bound.into_iter().enumerate() {
        threads.push(start_one(dir, keeper_name(index), view.clone(), keeper.listener));
    }
    threads
}

fn keeper_name(index: usize) -> Name {
    format!("k{index}").into()
}

fn start_one(dir: &Path, name: Name, view: View, listener: TcpListener) -> PathBuf {
    let (thread_tx, thread_rx) = mpsc::channel();
    let data_dir = dir.join(name.as_str());
    thread::spawn(move || {
        let _ = thread_tx.send(current_thread());
        single_thread_runtime().block_on(run(data_dir, name, view, listener));
    });
    thread_rx.recv().unwrap_or_default()
}

async fn run(data_dir: PathBuf, name: Name, view: View, listener: TcpListener) {
    let _ = std::fs::create_dir_all(&data_dir);
    let Ok(opened) = Disk::open(&data_dir, &name, Some(view)) else { return };
    let OpenedDisk { disk, state, .. } = opened;
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
    // The keeper is never stopped. It ends with the process.
    let (_stop, stopped) = watch::channel(false);
    let start = Box::new(move |state, now| Keeper::new(name.clone(), now, state));
    let host = KeeperHost::new(state, now(), start);
    let _ = driver::run_keeper(host, disk, listener, stopped).await;
}
