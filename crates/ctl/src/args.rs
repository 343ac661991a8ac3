//! Flags of quincehatchctl.
use serde_json::{Value, json};

const HELP: &str = "quincehatchctl: looks after a quincehatch fleet

usage: quincehatchctl [--node IP:PORT] [--token WORD] [--json] COMMAND ...

  status                       the fleet at a glance: chain, leads, nodes
  nodes                        every node's account of itself
  servers                      database servers as the asked node sees them
  placements                   placements, their servers and rules
  push FILE [--dry-run] [--base N] [--key WORD]
                               push a blueprint (TOML or JSON); --dry-run only checks and shows the difference
  history                      versions that are kept
  rollback EDITION             a new version with an old one's content
  explain server NAME          why each node judges a server as it does
  explain visit ID             the path one visit took
  explain promotions           what promotions were done and why
  drain NODE [--undo]          no more origins are sent to the node; sessions it has go on
  promote GROUP [--to SERVER]  hand a group's lead over, drained first
  members [--add NAME=IP:PORT | --remove NAME]
                               the disk machines; one comes or goes at a time

  --node IP:PORT   desk of any node; else $QH_NODE
  --token WORD     the operators' token; else $QH_TOKEN
  --json           the answer as JSON
  -h, --help       this text
  -V, --version    the version

Exit: 0 done; 2 wrong usage; else the result code's hundreds (1601 gives 16), see docs/codes.md.";

pub struct Args {
    pub node: String,
    pub token: String,
    pub json: bool,
    pub cmd: String,
    pub body: Value,
}

pub fn read() -> Result<Option<Args>, String> {
    use lexopt::prelude::*;
    let mut p = lexopt::Parser::from_env();
    let env = |k: &str| std::env::var(k).unwrap_or_default();
    let (mut node, mut token, mut json_out) = (env("QH_NODE"), env("QH_TOKEN"), false);
    let mut words: Vec<String> = Vec::new();
    let mut body = json!({});
    while let Some(a) = p.next().map_err(|e| e.to_string())? {
        let val = |p: &mut lexopt::Parser| p.value().and_then(|v| v.string()).map_err(|e| e.to_string());
        match a {
            Short('h') | Long("help") => {
                println!("{HELP}");
                return Ok(None);
            }
            Short('V') | Long("version") => {
                println!("quincehatchctl {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            Long("node") => node = val(&mut p)?,
            Long("token") => token = val(&mut p)?,
            Long("json") => json_out = true,
            Long("undo") => body["undo"] = json!(true),
            Long("dry-run") => body["dry_run"] = json!(true),
            Long("base") => {
                let v = val(&mut p)?;
                body["base"] =
                    json!(v.parse::<u64>().map_err(|_| format!("--base: {v:?} is not a version"))?);
            }
            Long(k @ ("key" | "to" | "add" | "remove")) => {
                let k = k.to_owned();
                body[k] = json!(val(&mut p)?);
            }
            Value(v) => words.push(v.string().map_err(|e| e.to_string())?),
            other => return Err(other.unexpected().to_string()),
        }
    }
    let w: Vec<&str> = words.iter().map(String::as_str).collect();
    let cmd = match w.as_slice() {
        [c @ ("status" | "nodes" | "servers" | "placements" | "history" | "members")] => *c,
        ["push", file] => {
            let text = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
            body["text"] = json!(text);
            "push"
        }
        ["rollback", e] => {
            let n = e.parse::<u64>().map_err(|_| format!("{e:?} is not a version"))?;
            body["version"] = json!(n);
            "rollback"
        }
        ["explain", k @ ("server" | "visit"), v] => {
            body[*k] = json!(v);
            "explain"
        }
        ["explain", "promotions"] => {
            body["promotions"] = json!("all");
            "explain"
        }
        ["drain", n] => {
            body["name"] = json!(n);
            "drain"
        }
        ["promote", g] => {
            body["group"] = json!(g);
            "promote"
        }
        [] => return Err("a command is missing".into()),
        w => return Err(format!("`{}` is not a command", w.join(" "))),
    };
    if node.parse::<std::net::SocketAddr>().is_err() {
        return Err(format!("--node: {node:?} is not an ip:port"));
    }
    if ["push", "rollback"].contains(&cmd) && body.get("key").is_none() {
        // Of this one run: asked again within it under the same key, a push is taken once.
        let at =
            std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |d| d.as_nanos());
        body["key"] = json!(format!("quincehatchctl-{}-{at:x}", std::process::id()));
    }
    Ok(Some(Args { node, token, json: json_out, cmd: cmd.into(), body }))
}
