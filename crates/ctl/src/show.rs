//! Answers as tables for people.
use serde_json::Value;

/// A table with a heading; columns are as wide as their widest cell.
fn rows(head: &[&str], body: Vec<Vec<String>>) -> String {
    let mut all: Vec<Vec<String>> = vec![head.iter().map(|h| (*h).to_owned()).collect()];
    all.extend(body);
    let wide: Vec<usize> = (0..head.len())
        .map(|i| all.iter().map(|r| r.get(i).map_or(0, |c| c.chars().count())).max().unwrap_or(0))
        .collect();
    let mut out = String::new();
    for r in all {
        let line: Vec<String> = r.iter().zip(&wide).map(|(c, w)| format!("{c:w$}", w = w)).collect();
        out.push_str(line.join("  ").trim_end());
        out.push('\n');
    }
    out
}

fn s(v: &Value) -> String {
    match v {
        Value::Null => "-".into(),
        Value::String(t) if t.is_empty() => "-".into(),
        Value::String(t) => t.clone(),
        v => v.to_string(),
    }
}

fn cells(v: &Value, keys: &[&str]) -> Vec<String> {
    keys.iter().map(|k| s(&v[*k])).collect()
}

fn list<'a>(v: &'a Value, k: &str) -> impl Iterator<Item = &'a Value> {
    v[k].as_array().into_iter().flatten()
}

fn nodes(v: &Value) -> String {
    const KEYS: [&str; 10] = [
        "district", "ready", "version", "change", "lease_ms", "sessions", "kept", "nothing", "unknown", "why",
    ];
    let mut head = vec!["NODE"];
    let up: Vec<String> = KEYS.iter().map(|k| k.to_uppercase()).collect();
    head.extend(up.iter().map(String::as_str));
    let body = list(v, "nodes").map(|n| {
        let mut r = vec![s(&n["node"])];
        if n["silent"] == true {
            r.extend(["-".into(), "silent".into()]);
        } else {
            r.extend(cells(&n["answer"], &KEYS));
        }
        r
    });
    rows(&head, body.collect())
}

/// Size of a keeper's data folder, and the size it may have.
fn disk_usage(disk: &Value) -> String {
    let megabytes = |bytes: &Value| bytes.as_f64().map(|b| b / 1e6);
    match (megabytes(&disk["used"]), megabytes(&disk["allowed"])) {
        (Some(used), Some(allowed)) => format!("{used:.1} of {allowed:.0} MB"),
        _ => String::new(),
    }
}

/// Whether a keeper votes on views, and whether it is in the chain.
fn place(view: &Value, keeper: &Value) -> String {
    let is_voter = list(view, "machines").any(|m| m["name"] == keeper["name"]);
    let is_member = list(view, "members").any(|m| *m == keeper["name"]);
    match (is_member, is_voter) {
        (true, _) => "member".into(),
        (false, true) => "votes only".into(),
        (false, false) => "outside".into(),
    }
}

/// How many changes a keeper lacks of what the furthest one holds.
fn behind(status: &Value, keeper: &Value) -> String {
    let held = |k: &Value| k["n"].as_u64();
    let most = list(status, "keepers").filter_map(held).max();
    most.zip(held(keeper)).map_or_else(String::new, |(most, n)| (most - n).to_string())
}

fn status(v: &Value) -> String {
    let view = &v["view"];
    let members: Vec<String> = list(view, "members").map(s).collect();
    let mut out = format!(
        "version {}  change {}  view {}: {}\n\n",
        v["version"],
        v["change"],
        view["version"],
        members.join(" -> ")
    );
    let ks = list(v, "keepers").map(|k| {
        let why = if k["silent"] == true { "silent".into() } else { s(&k["why"]) };
        let disk = disk_usage(&k["disk"]);
        let (place, behind) = (place(view, k), behind(v, k));
        let held = ["n", "committed", "in_force"].map(|field| s(&k[field]));
        let mut row = vec![s(&k["name"]), s(&k["addr"]), place];
        row.extend(held);
        row.extend([behind, disk, why]);
        row
    });
    let head = ["KEEPER", "ADDRESS", "PLACE", "CHANGE", "COMMITTED", "IN FORCE", "BEHIND", "DISK", "STATE"];
    out += &rows(&head, ks.collect());
    let ls = list(v, "leads").map(|l| cells(l, &["group", "server", "fence", "by"]));
    out += "\n";
    out += &rows(&["GROUP", "LEAD", "FENCE", "BY"], ls.collect());
    out += "\n";
    out + &nodes(v)
}

fn servers(v: &Value) -> String {
    let body = list(v, "servers").map(|r| {
        let p = &r["position"];
        let mut c = cells(r, &["server", "addr"]);
        c.push(s(&r["labels"]["group"]));
        c.push(s(&r["labels"]["district"]));
        c.push(if r["leads"] == true { "lead".into() } else { s(&r["role"]).to_lowercase() });
        c.push(s(&r["state"]).to_lowercase());
        c.push(format!("{}.{}", p["fence"], p["n"]));
        c.extend(cells(r, &["verdict", "asides", "owing", "links", "idle", "held", "failing_ms"]));
        c
    });
    let head = [
        "SERVER",
        "ADDRESS",
        "GROUP",
        "DISTRICT",
        "ROLE",
        "STATE",
        "POSITION",
        "VERDICT",
        "ASIDES",
        "OWING",
        "LINKS",
        "IDLE",
        "HELD",
        "FAILING MS",
    ];
    format!("as node {} sees them\n{}", s(&v["node"]), rows(&head, body.collect()))
}

fn explain(v: &Value) -> String {
    let mut out = String::new();
    for n in list(v, "nodes") {
        let a = &n["answer"];
        if n["silent"] == true {
            out += &format!("{}: silent\n", s(&n["node"]));
        } else if let Some(t) = a["turns"].as_array() {
            out += &format!("{}: {} is {}", s(&n["node"]), s(&a["server"]), s(&a["verdict"]));
            out += &a["trial_in_ms"]
                .as_u64()
                .map_or_else(|| "\n".to_owned(), |ms| format!(", trial in {ms} ms\n"));
            for t in t {
                out += &format!("  {} ms ago to {}: {}\n", t["ago_ms"], s(&t["to"]), s(&t["why"]));
                for e in list(t, "evidence") {
                    out += &format!("    {} weight {} {} ms ago\n", s(&e["sign"]), e["weight"], e["ago_ms"]);
                }
            }
        } else if a["visit"].is_u64() {
            out += &format!(
                "{}: {} took {} ms, code {}, on {}\n",
                s(&n["node"]),
                s(&a["what"]),
                a["ms"],
                a["code"],
                s(&a["where"]["server"])
            );
            out += &format!("  {}\n", list(a, "path").map(s).collect::<Vec<_>>().join(" -> "));
        } else if let Some(lines) = a.as_array() {
            out += &lines.iter().map(|l| format!("{}: {}\n", s(&n["node"]), s(l))).collect::<String>();
        }
    }
    if out.is_empty() { "no node has a word on that\n".into() } else { out }
}

pub fn table(cmd: &str, v: &Value) -> String {
    match cmd {
        "status" => status(v),
        "nodes" => nodes(v),
        "servers" => servers(v),
        "explain" => explain(v),
        "placements" => {
            let join = |r: &Value, k: &str| list(r, k).map(s).collect::<Vec<_>>().join(" ");
            let body = list(v, "placements")
                .map(|r| vec![s(&r["placement"]), s(&r["select"]), join(r, "servers"), join(r, "rules")]);
            let mut out = rows(&["PLACEMENT", "SELECT", "SERVERS", "RULES"], body.collect());
            for d in list(v, "unknown_districts") {
                out +=
                    &format!("note: district {} is not in the blueprint, so it has no labels there\n", s(d));
            }
            out
        }
        "history" => {
            let body = list(v, "history").map(|r| cells(r, &["version", "by", "bytes"]));
            rows(&["EDITION", "BY", "BYTES"], body.collect())
        }
        "push" | "rollback" => {
            let mut out: String = list(v, "diff").map(|l| format!("{}\n", s(l))).collect();
            for p in list(v, "no_server_yet") {
                out += &format!("note: no known server is in placement {}\n", s(p));
            }
            let said = v["version"].as_u64().map_or_else(
                || format!("valid; it would build on version {}\n", v["builds_on"]),
                |e| format!("version {e} is in force\n"),
            );
            out + &said
        }
        "drain" => {
            let a = &v["answer"];
            let word = if a["draining"] == true { "is drained" } else { "takes origins again" };
            format!(
                "node {} {word}: {} sessions, {} visits in hand\n",
                s(&v["node"]),
                a["sessions"],
                a["in_hand"]
            )
        }
        "promote" => format!(
            "node {} hands the lead of {} over; see `quincehatchctl explain promotions`\n",
            s(&v["asked"]),
            s(&v["group"])
        ),
        "members" => {
            let m: Vec<String> = list(&v["view"], "members").map(s).collect();
            let body = list(&v["view"], "machines").map(|r| {
                let name = s(&r["name"]);
                let at = m.iter().position(|x| *x == name);
                vec![
                    name,
                    s(&r["addr"]),
                    at.map_or_else(|| "outside".into(), |i| format!("{} in the chain", i + 1)),
                ]
            });
            rows(&["MACHINE", "ADDRESS", "PLACE"], body.collect())
        }
        _ => format!("{v:#}\n"),
    }
}
