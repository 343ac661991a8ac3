//! quincehatch-keeper: a chain keeper, on a machine with a disk (§5).
use quincehatch_config::settings::{KeeperSettings, read_file};
use quincehatch_core::{Error, ErrorCode, Name};
use quincehatch_runtime::now;
use quincehatch_store::disk::Disk;
use quincehatch_store::host::KeeperHost;
use quincehatch_store::{Keeper, View, Voter, driver};

const HELP: &str = "quincehatch-keeper: a chain keeper of quincehatch

usage: quincehatch-keeper --settings FILE [--init | --join | --check]

  --settings FILE   the settings file (TOML)
  --init            first start of the whole chain: make the data folder
  --join            first start of a machine that `quincehatchctl members --add` brings in
  --check           check the settings and end
  --log SPEC        like info, or debug,chain=trace; wins over the file
  -h, --help        this text
  -V, --version     the version";

#[derive(Default)]
struct Args {
    file: Option<String>,
    log: Option<String>,
    init: bool,
    join: bool,
    check: bool,
}

fn bad(e: impl std::fmt::Display) -> Error {
    ErrorCode::InvalidSettings.with_detail(e)
}

fn args() -> Result<Option<Args>, Error> {
    use lexopt::prelude::*;
    let mut p = lexopt::Parser::from_env();
    let mut a = Args::default();
    while let Some(x) = p.next().map_err(bad)? {
        match x {
            Short('h') | Long("help") => {
                println!("{HELP}");
                return Ok(None);
            }
            Short('V') | Long("version") => {
                println!("quincehatch-keeper {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            Long("settings") => a.file = Some(p.value().and_then(|v| v.string()).map_err(bad)?),
            Long("log") => a.log = Some(p.value().and_then(|v| v.string()).map_err(bad)?),
            Long("init") => a.init = true,
            Long("join") => a.join = true,
            Long("check") => a.check = true,
            other => return Err(bad(other.unexpected())),
        }
    }
    if a.init && a.join {
        return Err(bad("--init and --join exclude each other"));
    }
    Ok(Some(a))
}

fn settings(a: &Args) -> Result<KeeperSettings, Error> {
    let file = a.file.as_ref().ok_or_else(|| bad("--settings is missing"))?;
    let mut s: KeeperSettings = read_file(file)?;
    if let Some(l) = &a.log {
        s.log = l.clone();
    }
    s.validate().map(|()| s)
}

/// The view a fresh folder begins with: all machines at first, none for one that joins.
fn first(a: &Args, s: &KeeperSettings) -> Option<View> {
    let machines: Vec<Voter> =
        s.voters().into_iter().map(|v| Voter { name: v.name.into(), addr: v.addr.into() }).collect();
    let members = machines.iter().map(|m| m.name.clone()).collect();
    match (a.init, a.join) {
        (true, _) => Some(View { version: 1, members, voters: machines }),
        (_, true) => Some(View::default()),
        _ => None,
    }
}

fn main() {
    let a = match args() {
        Ok(Some(a)) => a,
        Ok(None) => return,
        Err(b) => {
            eprintln!("quincehatch-keeper: {b}");
            std::process::exit(2);
        }
    };
    let set = match settings(&a) {
        Ok(s) => s,
        Err(b) => {
            eprintln!("quincehatch-keeper: {b}");
            std::process::exit(2);
        }
    };
    if a.check {
        println!("the settings are valid");
        return;
    }
    let rt = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    if let Err(b) = rt.map_err(bad).and_then(|rt| rt.block_on(serve(&a, &set))) {
        eprintln!("quincehatch-keeper: {b}");
        std::process::exit(1);
    }
}

async fn serve(a: &Args, set: &KeeperSettings) -> Result<(), Error> {
    let _log = quincehatch_runtime::logging::start(&set.log).map_err(bad)?;
    let (disk, found) = Disk::open(std::path::Path::new(&set.data_dir), &set.name, first(a, set))?;
    let lst = tokio::net::TcpListener::bind(&set.addr)
        .await
        .map_err(|e| ErrorCode::PortInUse.with_detail(format_args!("{}: {e}", set.addr)))?;
    log::info!(target: "chain", "keeper {} listens on {}, view {}, change {}", set.name, set.addr,
        found.view.version, found.store.last_change);
    let me = Name::from(set.name.as_str());
    let host = KeeperHost::new(found, now(), Box::new(move |state, now| Keeper::new(me.clone(), now, state)));
    let (tx, rx) = tokio::sync::watch::channel(false);
    tokio::spawn(async move {
        use tokio::signal::unix::{SignalKind, signal};
        let (Ok(mut t), Ok(mut i)) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
        else {
            return;
        };
        tokio::select! { _ = t.recv() => {}, _ = i.recv() => {} }
        log::info!(target: "chain", "stopping");
        let _ = tx.send(true);
        std::future::pending::<()>().await;
    });
    driver::run_keeper(host, disk, lst, rx).await
}
