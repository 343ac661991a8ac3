//! Whole checks of a blueprint (§7.3): they refer to nothing but the blueprint itself.
use crate::configuration::{Configuration, Selector};
use crate::shadow::Earlier;
use quincehatch_core::{Millis, Name};
use std::collections::BTreeSet;

impl Configuration {
    /// All that is wrong, each with its path.
    pub fn validate(&self) -> Vec<String> {
        let mut w = Vec::new();
        let mut seen = BTreeSet::new();
        if self.placements.is_empty() {
            w.push("placements: at least one is needed".into());
        }
        for (i, p) in self.placements.iter().enumerate() {
            let at = format!("placements[{i}]");
            name_ok(&mut w, &format!("{at}.name"), &p.name, &mut seen);
            selector_ok(&mut w, &format!("{at}.select"), &p.select, true);
            selector_ok(&mut w, &format!("{at}.except"), &p.except, false);
            let shadowed = !p.except.is_empty()
                && p.except
                    .iter()
                    .all(|(k, vs)| p.select.get(k).is_some_and(|s| s.iter().all(|x| vs.contains(x))));
            if shadowed {
                w.push(format!("{at}.except: leaves nothing of what select takes"));
            }
        }
        seen.clear();
        for (i, d) in self.zones.iter().enumerate() {
            let at = format!("districts[{i}]");
            name_ok(&mut w, &format!("{at}.name"), &d.name, &mut seen);
            for (k, v) in &d.labels {
                let one: Selector = [(k.clone(), vec![v.clone()])].into();
                selector_ok(&mut w, &format!("{at}.labels"), &one, false);
                if ["district", "group", "copies"].contains(&k.as_str()) {
                    w.push(format!("{at}.labels.{k}: is a server's own label, a district cannot bear it"));
                }
                if k.is_empty() || k.len() > 64 || v.is_empty() || v.len() > 64 {
                    w.push(format!("{at}.labels.{k}: a label and its value have 1 to 64 signs"));
                }
            }
        }
        seen.clear();
        let mut earlier = Earlier::default();
        for (i, r) in self.routes.iter().enumerate() {
            let at = format!("rules[{i}]");
            name_ok(&mut w, &format!("{at}.name"), &r.name, &mut seen);
            selector_ok(&mut w, &format!("{at}.when"), &r.when, false);
            if !["order", "lookup"].contains(&r.class.as_str()) {
                w.push(format!("{at}.class: {:?} is neither \"order\" nor \"lookup\"", r.class));
            }
            match self.placement(&r.placement) {
                None => w.push(format!("{at}.placement: no placement is named {:?}", r.placement)),
                // Orders go to one primary, so to one group.
                Some(p) if r.class == "order" && p.select.get("group").is_none_or(|g| g.len() != 1) => {
                    w.push(format!("{at}.placement: orders need a placement that selects exactly one group"));
                }
                Some(_) => {}
            }
            range(&mut w, &format!("{at}.timeout_ms"), r.timeout_ms, 50, 60_000);
            range(&mut w, &format!("{at}.fresh_ms"), r.max_staleness_ms, 500, 1_500);
            let q = r.query_timeout_ms.unwrap_or(self.health.query_timeout_ms);
            range(&mut w, &format!("{at}.query_timeout_ms"), q, 100, 600_000);
            if r.query_timeout_ms.is_some_and(|q| q < r.timeout_ms) {
                w.push(format!("{at}.query_timeout_ms: is shorter than the rule's timeout_ms"));
            }
            if r.long_running && r.class == "order" {
                w.push(format!("{at}.long: only a lookup can be long"));
            }
            if earlier.takes_all(&self.routes, r) {
                w.push(format!("{at}.when: an earlier rule takes all of these visits"));
            }
            earlier.add(i, r);
        }
        seen.clear();
        for (i, g) in self.groups.iter().enumerate() {
            let at = format!("groups[{i}]");
            name_ok(&mut w, &format!("{at}.name"), &g.name, &mut seen);
            range(&mut w, &format!("{at}.links"), g.connections, 1, 100_000);
        }
        self.check_districts(&mut w);
        self.check_sums(&mut w);
        w
    }

    /// Where districts are listed, a selector can name no other; and one that names a district together with a label
    /// that this district bears otherwise contradicts itself.
    fn check_districts(&self, w: &mut Vec<String>) {
        let of = |at: &str, i: usize, key: &str| format!("{at}[{i}].{key}");
        let places =
            self.placements.iter().enumerate().map(|(i, p)| (of("placements", i, "select"), &p.select));
        let rules = self.routes.iter().enumerate().map(|(i, r)| (of("rules", i, "when"), &r.when));
        for (at, sel) in places.chain(rules).filter(|_| !self.zones.is_empty()) {
            let Some(named) = sel.get("district") else { continue };
            for n in named.iter().filter(|n| self.zone(n).is_none()) {
                w.push(format!("{at}.district: {n:?} is not among the districts"));
            }
            for (k, vs) in sel {
                let bears = |n: &String| self.zone(n).and_then(|d| d.labels.get(k));
                let other = named.iter().all(|n| bears(n).is_some_and(|v| !vs.contains(v)));
                if other && !named.is_empty() {
                    w.push(format!("{at}.{k}: every district that is named bears another {k}"));
                }
            }
        }
    }

    fn check_sums(&self, w: &mut Vec<String>) {
        let j = &self.health;
        range(w, "judges.query_timeout_ms", j.query_timeout_ms, 100, 600_000);
        range(w, "judges.keepalive_idle_ms", j.keepalive_idle_ms, 1_000, 300_000);
        range(w, "judges.user_timeout_ms", j.user_timeout_ms, 500, 4_000);
        range(w, "judges.return_after_ms", j.probation_after_ms, 500, 600_000);
        range(w, "judges.trial_good", j.probation_successes, 1, 100);
        range(w, "judges.aside_at", j.eject_at, 1, 1_000);
        range(w, "judges.evidence_ms", j.evidence_ms, 100, 600_000);
        for (k, v) in [("reset", j.reset_weight), ("overdue", j.overdue_weight)] {
            if v < j.eject_at {
                w.push(format!(
                    "judges.{k}_weight: {v} is under aside_at {}; this judge must suffice",
                    j.eject_at
                ));
            }
        }
        if j.probation_after_max_ms < j.probation_after_ms {
            w.push("judges.return_most_ms: is shorter than return_after_ms".into());
        }
        range(w, "links.per_replica", self.connections.per_replica, 1, 1_024);
        range(w, "links.per_primary", self.connections.per_primary, 2, 1_024);
        range(w, "links.lookup_share", self.connections.primary_lookup_percent, 1, 90);
        range(w, "holding.most", self.queue.max_waiting, 1, 65_536);
        range(w, "holding.sessions", self.queue.max_sessions, 1, 1_000_000);
        range(w, "holding.txn_idle_ms", self.queue.txn_idle_ms, 100, 600_000);
    }
}

fn range(w: &mut Vec<String>, at: &str, v: Millis, lo: u64, hi: u64) {
    if v < lo || v > hi {
        w.push(format!("{at}: {v} is outside {lo} to {hi}"));
    }
}

fn name_ok(w: &mut Vec<String>, at: &str, n: &str, seen: &mut BTreeSet<Name>) {
    if n.is_empty() || n.len() > 64 {
        w.push(format!("{at}: a name of 1 to 64 signs is needed"));
    }
    if !seen.insert(n.into()) {
        w.push(format!("{at}: {n:?} is used twice"));
    }
}

/// A selector speaks of labels; a host's name or address in one is declined (§7.1).
fn selector_ok(w: &mut Vec<String>, at: &str, s: &Selector, needed: bool) {
    if needed && s.is_empty() {
        w.push(format!("{at}: at least one label is needed"));
    }
    for (k, vs) in s {
        if ["host", "addr", "address", "ip", "server"].contains(&k.as_str()) {
            w.push(format!("{at}.{k}: servers are chosen by labels, not by name or address"));
        }
        if vs.is_empty() {
            w.push(format!("{at}.{k}: matches nothing, as no value is listed"));
        }
        for v in vs {
            let host = v.rsplit_once(':').map_or(v.as_str(), |(h, _)| h);
            if host.parse::<std::net::IpAddr>().is_ok() || v.parse::<std::net::SocketAddr>().is_ok() {
                w.push(format!("{at}.{k}: {v:?} is an address; servers are chosen by labels"));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use crate::configuration::Configuration;
    use quincehatch_core::ErrorCode;

    const GOOD: &str = "[[placements]]\nname=\"p\"\nselect={group=[\"g\"]}\n[[rules]]\nname=\"r\"\n\
                        class=\"order\"\nplacement=\"p\"\n";

    fn wrong(text: &str, want: &str) {
        let b = Configuration::parse(text).expect_err("it was taken");
        assert!(b.has_code(ErrorCode::ConfigurationInvalid) && b.text.contains(want), "{b} lacks {want:?}");
    }

    #[test]
    fn a_good_one_is_read_from_toml_and_json_alike() {
        let a = Configuration::parse(GOOD).unwrap();
        assert_eq!(Configuration::parse(&a.to_stored_json()).unwrap(), a);
        assert_eq!(a.health.query_timeout_ms, 30_000);
    }

    #[test]
    fn districts_bear_labels_that_selectors_use_beside_the_servers_own() {
        let t = "[[placements]]\nname=\"west\"\nselect={group=[\"g\"],coast=[\"west\"]}\n[[rules]]\nname=\"r\"\n\
                 class=\"lookup\"\nplacement=\"west\"\nwhen={coast=[\"west\"]}\n[[districts]]\nname=\"d1\"\n\
                 labels={coast=\"west\"}\n[[districts]]\nname=\"d2\"\nlabels={coast=\"east\"}\n";
        let bp = Configuration::parse(t).unwrap();
        let l = |own: &[(&str, &str)]| own.iter().map(|(k, v)| ((*k).into(), (*v).into())).collect();
        let p = &bp.placements[0];
        assert!(bp.placement_includes(p, &l(&[("group", "g"), ("district", "d1")])));
        assert!(!bp.placement_includes(p, &l(&[("group", "g"), ("district", "d2")])));
        assert!(
            bp.placement_includes(p, &l(&[("group", "g"), ("district", "d2"), ("coast", "west")])),
            "its own label wins"
        );
        assert!(bp.route_for("lookup", &l(&[("district", "d1")])).is_some());
        assert!(bp.route_for("lookup", &l(&[("district", "d2")])).is_none());
        wrong(&t.replace("name=\"d2\"", "name=\"d1\""), "districts[1].name: \"d1\" is used twice");
        wrong(&t.replace("coast=\"east\"", "group=\"east\""), "districts[1].labels.group: is a server's own");
        wrong(
            &t.replace("select={", "select={district=[\"d9\"],"),
            "placements[0].select.district: \"d9\" is not among",
        );
        wrong(
            &t.replace("select={", "select={district=[\"d2\"],"),
            "placements[0].select.coast: every district",
        );
        wrong(&t.replace("when={", "when={district=[\"d2\"],"), "rules[0].when.coast: every district");
        wrong(&t.replace("coast=\"east\"", "coast=\"10.0.0.1\""), "is an address");
    }

    #[test]
    fn every_kind_of_mistake_is_named_with_its_path() {
        wrong("nonsense", "");
        wrong(&format!("{GOOD}colour = 1\n"), "colour");
        wrong(&format!("{GOOD}[links]\nper_replica = 0\n"), "links.per_replica: 0 is outside");
        wrong(&GOOD.replace("group=", "host="), "chosen by labels");
        wrong(&GOOD.replace("[\"g\"]", "[\"10.0.0.1:5432\"]"), "is an address");
        wrong(&GOOD.replace("[\"g\"]", "[]"), "matches nothing");
        wrong(&GOOD.replace("placement=\"p\"", "placement=\"q\""), "no placement is named");
        wrong(&GOOD.replace("[\"g\"]", "[\"g\",\"h\"]"), "exactly one group");
        wrong(&format!("{GOOD}timeout_ms = 5\n"), "rules[0].timeout_ms: 5 is outside");
        wrong(&format!("{GOOD}query_timeout_ms = 200\n"), "shorter than the rule's");
        wrong(&format!("{GOOD}[judges]\nreset_weight = 1\n"), "this judge must suffice");
        let twice = format!("{GOOD}[[rules]]\nname=\"r\"\nclass=\"order\"\nplacement=\"p\"\n");
        wrong(&twice, "used twice");
        wrong(&twice, "an earlier rule takes all");
        let p = GOOD.replace("select={group=[\"g\"]}", "select={group=[\"g\"]}\nexcept={group=[\"g\"]}");
        wrong(&p, "leaves nothing");
    }
}
