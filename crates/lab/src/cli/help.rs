//! The text of `--help`.

pub(super) const HELP: &str = "quincehatch-lab: the lab of quincehatch

usage: quincehatch-lab fleet up [--shape thin|small|scripwell|lensbridge|nodes:N] [--dir DIR] [--port N]
       quincehatch-lab try [--scenario NAME|all] [--shape ...] [--seconds N] [--callers N] [--pause-ms N] [--seed N]
                 [--untimed]
       quincehatch-lab soak [--seeds N] [--from SEED] [--seconds N] [--large-nodes N] [--untimed] [--dir DIR] [--port N]
       quincehatch-lab sim [--seeds N] [--from SEED] [--keepers N] [--nodes N] [--bug NAME]
                 [--final|--promotion-faults|--direct [--departures] [--slow-promoter] [--late-joins]]
       quincehatch-lab sim --control [--allow LIST] [--seeds N] [--from SEED] [--bug NAME]
       quincehatch-lab bench overhead|ejection|push|gossip|long-queries|replicas-stalled|faults
                 [--rounds N] [--shape ...]
       quincehatch-lab bench capacity [--rounds N] [--part parts|sessions|fleet|changes|counted|all]
       quincehatch-lab stand --name NAME --addr IP:PORT [--label K=V] [--peer IP:PORT]
                   [--operator-listener IP:PORT] [--data DIR] [--relay IP:PORT]
       quincehatch-lab platform --addr IP:PORT --client-listener ZONE=IP:PORT ...

  fleet up    starts a whole cluster on loopback, pushes a configuration, and runs until Enter or a signal
  try         starts a cluster, runs callers and a script of faults, and checks that no must-never happened
  soak        clusters of drawn sizes under drawn scripts of signals, restarts and changes that overlap, by seed;
              --large-nodes: each tenth seed has so many nodes
  sim         the seeded simulator; a failing seed replays exactly with --from SEED --seeds 1; --direct: servers over
              their own protocol (--departures: they leave while heartbeats are delayed; --slow-promoter: promotions are
              carried out late; --late-joins: servers join before they are heard of); --control: the control plane
              alone
  bench       measures: ratios, counts, pairs in turn; median and spread
  stand       one stand-in database server
  platform    the platform's stand-in

  -h, --help     this text
  -V, --version  the version
  Deprecated names are still read: --held, --hands, --door and --desk; bench front, judges, mesh, long and all-bad";
