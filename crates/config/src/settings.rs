//! Settings files of the daemons (§8.1): read by `schematic`, every mistake listed before anything serves.
use quincehatch_core::{Error, ErrorCode};
use schematic::{Config, ConfigError, ConfigLoader};
use serde::{Deserialize, Serialize};

#[derive(Config, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeSettings {
    pub name: String,
    pub zone: String,
    /// Where origins and the platform call (HTTP).
    pub client_listener: String,
    /// Where servers beat and operators call (HTTP).
    pub operator_listener: String,
    /// Where the project's own processes call (borsh).
    pub gossip_listener: String,
    /// Mesh addresses of up to three other nodes.
    pub seeds: Vec<String>,
    /// Addresses of the keepers.
    pub keepers: Vec<String>,
    /// Where the platform takes promotions (HTTP).
    pub platform: String,
    pub token: String,
    #[setting(default = "info")]
    pub log: String,
    #[setting(default = 2)]
    pub threads: usize,
}

#[derive(Config, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeeperSettings {
    pub name: String,
    pub addr: String,
    /// Names and addresses of all disk machines, this one too: `name=ip:port`.
    pub keepers: Vec<String>,
    pub data_dir: String,
    #[setting(default = "info")]
    pub log: String,
}

/// A schematic error as one plain sentence: its whole chain, without colours.
pub fn plain(e: &ConfigError) -> String {
    let mut s = match e {
        ConfigError::Validator { error, .. } => format!("{error}"),
        _ => e.to_string(),
    };
    let mut src = std::error::Error::source(e);
    while let Some(c) = src {
        let t = c.to_string();
        if !s.contains(&t) {
            s = format!("{s}: {t}");
        }
        src = c.source();
    }
    let mut out = String::new();
    let mut esc = false;
    for ch in s.chars() {
        match (esc, ch) {
            (false, '\u{1b}') => esc = true,
            (true, 'm') => esc = false,
            (true, _) => {}
            (false, '\n') => out.push(' '),
            (false, c) => out.push(c),
        }
    }
    out
}

/// Reads a TOML settings file of kind `T`.
pub fn read_file<T: Config>(path: &str) -> Result<T, Error> {
    let wrong = |e: String| ErrorCode::InvalidSettings.with_detail(format_args!("{path}: {e}"));
    let text = std::fs::read_to_string(path).map_err(|e| wrong(e.to_string()))?;
    ConfigLoader::<T>::new()
        .code(text, "settings.toml")
        .and_then(|l| l.load())
        .map(|r| r.config)
        .map_err(|e| wrong(plain(&e)))
}

fn addr(w: &mut Vec<String>, at: &str, v: &str) {
    if v.parse::<std::net::SocketAddr>().is_err() {
        w.push(format!("{at}: {v:?} is not an ip:port"));
    }
}

fn done(w: Vec<String>) -> Result<(), Error> {
    if w.is_empty() { Ok(()) } else { Err(ErrorCode::InvalidSettings.with_detail(w.join("; "))) }
}

impl NodeSettings {
    pub fn validate(&self) -> Result<(), Error> {
        let mut w = Vec::new();
        for (at, v) in [("name", &self.name), ("district", &self.zone), ("token", &self.token)] {
            if v.is_empty() {
                w.push(format!("{at}: must be given"));
            }
        }
        for (at, v) in [
            ("door", &self.client_listener),
            ("desk", &self.operator_listener),
            ("mesh", &self.gossip_listener),
            ("platform", &self.platform),
        ] {
            addr(&mut w, at, v);
        }
        self.seeds.iter().for_each(|s| addr(&mut w, "seeds", s));
        self.keepers.iter().for_each(|s| addr(&mut w, "keepers", s));
        if self.keepers.is_empty() {
            w.push("keepers: at least one is needed".into());
        }
        if self.seeds.len() > 3 {
            w.push("seeds: at most three".into());
        }
        if !(1..=64).contains(&self.threads) {
            w.push(format!("threads: {} is outside 1 to 64", self.threads));
        }
        done(w)
    }
}

impl KeeperSettings {
    /// The disk machines as pairs of name and address.
    pub fn voters(&self) -> Vec<(String, String)> {
        self.keepers.iter().filter_map(|k| k.split_once('=')).map(|(n, a)| (n.into(), a.into())).collect()
    }
    pub fn validate(&self) -> Result<(), Error> {
        let mut w = Vec::new();
        addr(&mut w, "addr", &self.addr);
        if self.data_dir.is_empty() {
            w.push("data: a folder must be given".into());
        }
        for k in &self.keepers {
            match k.split_once('=') {
                Some((n, a)) if !n.is_empty() => addr(&mut w, "keepers", a),
                _ => w.push(format!("keepers: {k:?} is not name=ip:port")),
            }
        }
        let me = self.voters().into_iter().find(|(n, _)| *n == self.name);
        if me.is_none_or(|(_, a)| a != self.addr) {
            w.push(format!("keepers: does not list {}={}", self.name, self.addr));
        }
        done(w)
    }
}
