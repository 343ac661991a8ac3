//! A keeper without a majority gives no clear answer: it confirms nothing, refuses nothing and hands out no old
//! document (§5.3, docs/design-control.md).
mod kit;

use kit::Net;
use quincehatch_core::{Name, Role, ServerRecord};
use quincehatch_store::{Answer, Command, Reply, Request};

const CUT_MS: u64 = 20_000;
const STEP_MS: u64 = 100;
/// First token of the questions that are asked while a keeper is cut off.
const FIRST: u64 = 1_000;

fn adopt(number: u64, content: &str) -> Command {
    let source = format!("source {number} {content}");
    Command::AdoptDocument { number, text: source.clone(), source, by: "t".into() }
}

fn register(server: &str, seq: u64) -> Command {
    let (group, addr, district) = ("g".into(), format!("{server}:1").into(), "z".into());
    let (slots, leaving, role) = (5, false, Role::Replica);
    Command::RegisterServer {
        at: ServerRecord {
            server: server.into(),
            group,
            addr,
            zone: district,
            slots,
            draining: leaving,
            role,
            seq,
        },
    }
}

fn deregister(server: &str) -> Command {
    Command::DeregisterServer { server: server.into() }
}

fn write(net: &mut Net, to: &str, token: u64, key: &str, command: Command) {
    net.ask(to, token, Request::Write { key: key.into(), command: command });
}

fn answered(reply: &Reply) -> bool {
    matches!(reply, Reply::Answer { .. })
}

/// All that operators and servers may ask of a keeper: new, repeated and conflicting, and what alters nothing.
fn ask_everything(net: &mut Net, cut: &str, token: u64) {
    let writes = [
        ("adopt/7/a", adopt(7, "a")),
        ("adopt/7/a again", adopt(7, "a")),
        ("adopt/7/b", adopt(7, "b")),
        ("adopt/5/e", adopt(5, "e")),
        ("adopt/9/d", adopt(9, "d")),
        ("beat/s1/2", register("s1", 2)),
        ("beat/s2/1", register("s2", 1)),
        ("depart/s3", deregister("s3")),
    ];
    for (i, (key, command)) in (0..).zip(writes) {
        write(net, cut, token + i, key, command);
    }
    net.ask(cut, token + 8, Request::Adopted);
    net.ask(cut, token + 9, Request::ReadStore);
}

fn play(cut: &str) {
    let mut net = Net::new(&["k1", "k2", "k3"]);
    net.run(6_000);
    write(&mut net, "k1", 1, "adopt/7/a", adopt(7, "a"));
    write(&mut net, "k1", 2, "beat/s1/1", register("s1", 1));
    net.run(300);
    assert!(net.rep(1).is_some_and(|r| answered(&r)) && net.rep(2).is_some_and(|r| answered(&r)));

    net.cut = vec![cut.into()];
    let until = net.now + CUT_MS;
    let mut token = FIRST;
    let mut later = None;
    while net.now < until {
        ask_everything(&mut net, cut, token);
        token += 10;
        net.run(STEP_MS);
        let served: Option<Name> = net.tail().filter(|t| t != cut);
        let Some(tail) = served.filter(|t| !net.view(t).is_member(cut)) else { continue };
        if later.is_none() {
            // The others go on: another document, s1 leaves and s3 comes.
            let head = net.view(&tail).head().unwrap().to_string();
            write(&mut net, &head, 3, "adopt/8/c", adopt(8, "c"));
            write(&mut net, &head, 4, "depart/s1", deregister("s1"));
            write(&mut net, &head, 5, "beat/s3/1", register("s3", 1));
            later = Some(net.reps.len());
        }
    }
    assert!((3..=5).all(|t| net.rep(t).is_some_and(|r| answered(&r))), "the others go on without {cut}");
    for (token, reply) in net.reps.iter().filter(|r| r.0 >= FIRST) {
        assert!(!answered(reply), "{cut}, cut off, answers {token}: {reply:?}");
    }
    let handed_out = net.reps[later.unwrap()..].iter().filter(|r| r.0 >= FIRST);
    for (token, reply) in handed_out {
        let old = matches!(reply, Reply::Adopted { .. } | Reply::Store { .. });
        assert!(!old, "{cut}, cut off, hands out what is old for {token}: {reply:?}");
    }
    net.cut.clear();
    net.run(6_000);
    let tail = net.tail().unwrap();
    assert!(net.ks[&tail].store.servers.contains_key("s3"), "what was registered stays");
}

#[test]
fn a_head_that_is_cut_off_gives_no_clear_answer() {
    play("k1");
}

#[test]
fn a_middle_member_that_is_cut_off_gives_no_clear_answer() {
    play("k2");
}

#[test]
fn a_tail_that_is_cut_off_gives_no_clear_answer() {
    play("k3");
}

/// What alters nothing takes no entry, yet is answered soon where a majority is in reach.
#[test]
fn answers_without_an_entry_come_within_a_tenth_of_a_second() {
    let mut net = Net::new(&["k1", "k2", "k3"]);
    net.run(6_000);
    write(&mut net, "k1", 1, "beat/s1/1", register("s1", 1));
    net.run(300);
    let entries = net.ks["k1"].store.last_change;
    for token in 2..40 {
        write(&mut net, "k1", token, &format!("beat/s1/{token}"), register("s1", token));
        net.run(STEP_MS);
        let reply = net.rep(token);
        assert!(matches!(reply, Some(Reply::Answer { answer: Answer::Done, .. })), "{token}: {reply:?}");
    }
    assert_eq!(net.ks["k1"].store.last_change, entries);
}
