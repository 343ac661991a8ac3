//! `quincehatch-keeper`: the process of a keeper, one replica of the replicated store, on a machine with a disk.
#![warn(
    missing_docs,
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::many_single_char_names,
    clippy::min_ident_chars
)]

mod args;

use args::{Args, FirstStart};
use quincehatch_config::settings::{KeeperSettings, read_file};
use quincehatch_core::{Error, ErrorCode, Name};
use quincehatch_runtime::now;
use quincehatch_runtime::signals::{ProcessSignal, ProcessSignals};
use quincehatch_store::driver::run_keeper;
use quincehatch_store::host::KeeperHost;
use quincehatch_store::storage::disk::{Disk, OpenedDisk};
use quincehatch_store::{Keeper, View, Voter};
use std::fmt::Display;
use std::path::Path;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// The number of runtime threads: one for the keeper itself, one for its connections.
const RUNTIME_THREADS: usize = 2;
/// The exit status if the arguments or the settings are invalid.
const EXIT_USAGE: i32 = 2;
/// The exit status if the keeper could not start or had to stop because of an error.
const EXIT_FAILURE: i32 = 1;

fn invalid_settings(reason: impl Display) -> Error {
    ErrorCode::InvalidSettings.with_detail(reason)
}

fn main() {
    let args = match args::parse() {
        Ok(Some(args)) => args,
        Ok(None) => return,
        Err(error) => exit_with(&error, EXIT_USAGE),
    };
    let settings = match read_settings(&args) {
        Ok(settings) => settings,
        Err(error) => exit_with(&error, EXIT_USAGE),
    };
    if args.check {
        println!("the settings are valid");
        return;
    }
    if let Err(error) = run(&args, &settings) {
        exit_with(&error, EXIT_FAILURE);
    }
}

fn exit_with(error: &Error, status: i32) -> ! {
    eprintln!("quincehatch-keeper: {error}");
    std::process::exit(status)
}

/// Reads the settings file. A log level on the command line overrides the one in the file.
fn read_settings(args: &Args) -> Result<KeeperSettings, Error> {
    let file = args.settings_file.as_ref().ok_or_else(|| invalid_settings("--settings is missing"))?;
    let mut settings: KeeperSettings = read_file(file)?;
    if let Some(level) = &args.log {
        settings.log = level.clone();
    }
    settings.validate()?;
    Ok(settings)
}

/// Returns the initial view of a new data directory: it names all voters on the first start of the chain, and none on a
/// machine that joins a running chain. `None` if the directory already exists.
fn first_view(first_start: Option<FirstStart>, settings: &KeeperSettings) -> Option<View> {
    match first_start? {
        FirstStart::Join => Some(View::default()),
        FirstStart::Init => {
            let voters: Vec<Voter> = settings
                .voters()
                .into_iter()
                .map(|voter| Voter { name: voter.name.into(), addr: voter.addr.into() })
                .collect();
            let members = voters.iter().map(|voter| voter.name.clone()).collect();
            Some(View { version: 1, members, voters })
        }
    }
}

fn run(args: &Args, settings: &KeeperSettings) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(RUNTIME_THREADS)
        .enable_all()
        .build()
        .map_err(invalid_settings)?;
    runtime.block_on(serve(args, settings))
}

async fn serve(args: &Args, settings: &KeeperSettings) -> Result<(), Error> {
    let _log = quincehatch_runtime::logging::start(&settings.log).map_err(invalid_settings)?;
    let signals = ProcessSignals::install().map_err(invalid_settings)?;
    let view = first_view(args.first_start, settings);
    let OpenedDisk { disk, state, .. } = Disk::open(Path::new(&settings.data_dir), &settings.name, view)?;
    let listener = TcpListener::bind(&settings.addr)
        .await
        .map_err(|error| ErrorCode::PortInUse.with_detail(format_args!("{}: {error}", settings.addr)))?;
    log::info!(target: "chain", "keeper {} listens on {}, view {}, change {}", settings.name, settings.addr,
        state.view.version, state.store.last_change);
    let name = Name::from(settings.name.as_str());
    let make_keeper = Box::new(move |state, now| Keeper::new(name.clone(), now, state));
    let host = KeeperHost::new(state, now(), make_keeper);
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(stop_on_signal(signals, stop));
    run_keeper(host, disk, listener, stopped).await
}

/// Stops the keeper when the process receives SIGTERM or SIGINT. Ignores SIGHUP, as the settings are read only at the
/// start.
async fn stop_on_signal(mut signals: ProcessSignals, stop: watch::Sender<bool>) {
    while signals.next().await == ProcessSignal::Reload {
        log::info!(target: "chain", "reload signal ignored: a keeper reads its settings only when it starts");
    }
    log::info!(target: "chain", "stopping");
    let _ = stop.send(true);
    // Keeps the sender alive: dropping it would count as a second change.
    std::future::pending::<()>().await;
}
