//! A node before stand-ins, in one process: what the data plane promises when servers misbehave (§4).
mod kit;
use kit::{Kit, body};
use quincehatch_proxy::evidence::HealthSignal;
use quincehatch_proxy::state::HealthState;
use serde_json::json;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_answer_lost_after_the_work_is_found_again_and_kept_once() {
    let k = Kit::new("").await;
    k.fault(0, json!({"lose_answers": 1}));
    let v = k.post("/v1/order", body("t1", "append l $1", json!(["t1"]))).await;
    assert_eq!(v["end"], "kept", "{v}");
    assert_eq!(v["stamp"]["server"], "s1");
    let again = k.post("/v1/order", body("t1", "append l $1", json!(["t1"]))).await;
    assert_eq!(again["end"], "kept");
    assert_eq!(k.value("l"), json!(["t1"]));
    let other = k.post("/v1/order", body("t1", "append l $1", json!(["t2"]))).await;
    assert_eq!(other["error"]["code"], 1006);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nothing_is_said_of_a_try_before_its_seal() {
    let k = Kit::new("").await;
    let ask = |seal| json!({"try": "t9", "labels": {"db": "g1"}, "seal": seal, "deadline_ms": 500});
    let open = k.post("/v1/outcome", ask(false)).await;
    assert_eq!(open["end"], "unknown", "{open}");
    let sealed = k.post("/v1/outcome", ask(true)).await;
    assert_eq!((&sealed["end"], &sealed["error"]["code"]), (&json!("nothing"), &json!(1407)));
    let late = k.post("/v1/order", body("t9", "append l $1", json!(["t9"]))).await;
    assert_eq!(late["error"]["code"], 1407);
    assert!(k.value("l").is_null());
    k.lease_ms(0);
    let v = k.post("/v1/outcome", json!({"try": "t9", "labels": {"db": "g1"}, "seal": true})).await;
    assert_eq!((&v["end"], &v["error"]["code"]), (&json!("unknown"), &json!(1502)), "{v}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_success_without_the_servers_stamp_is_never_passed_on() {
    let k = Kit::new("").await;
    k.order("t1").await;
    for i in 0..3 {
        k.fault(i, json!({"forge": 1}));
    }
    let v = k.post("/v1/lookup", json!({"text": "get l", "labels": {"db": "g1"}})).await;
    assert!(v["end"] != "kept" || v["stamp"]["server"] == v["where"]["server"], "{v}");
    let side =
        k.post("/v1/lookup", json!({"text": "get l", "labels": {"db": "g1"}, "order_side": true})).await;
    assert!(side["end"] != "kept" || side["stamp"]["server"] == "s1", "{side}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_node_whose_lease_ran_out_before_the_reply_does_not_say_kept() {
    let k = Kit::new("").await;
    k.fault(0, json!({"stall": true}));
    let asked = k.post("/v1/order", body("t1", "append l $1", json!(["t1"])));
    let meanwhile = async {
        k.until("the order to be on its way", || k.owing("s1") == 1).await;
        k.lease_ms(0);
        k.fault(0, json!({"stall": false}));
    };
    let (v, ()) = tokio::join!(asked, meanwhile);
    assert_eq!((&v["end"], &v["error"]["code"]), (&json!("unknown"), &json!(1502)), "{v}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_link_wears_exactly_its_sessions_context() {
    let k = Kit::new("[links]\nper_replica = 1\nper_primary = 4\n").await;
    let mut sessions = Vec::new();
    for tag in ["a", "b"] {
        let v = k.post("/v1/open", json!({})).await;
        let set = json!({"session": v["session"], "version": v["version"], "text": format!("tag={tag}")});
        let w = k.post("/v1/set", set).await;
        assert_eq!((&w["end"], &w["stamp"]), (&json!("promised"), &json!(null)), "{w}");
        sessions.push((v["session"].clone(), w["version"].clone(), tag));
    }
    for _ in 0..6 {
        for (id, e, tag) in &sessions {
            let b = json!({"session": id, "version": e, "text": "show tag", "labels": {"db": "g1"}});
            let v = k.post("/v1/lookup", b).await;
            assert_eq!(v["rows"], json!([[tag]]), "{v}");
        }
        let bare = k.post("/v1/lookup", json!({"text": "show tag", "labels": {"db": "g1"}})).await;
        assert_eq!(bare["rows"], json!([[null]]), "{bare}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_session_that_is_not_whole_is_declined_as_lost() {
    let k = Kit::new("").await;
    let v = k.post("/v1/open", json!({})).await;
    let b = json!({"session": v["session"], "version": 99, "text": "show tag", "labels": {"db": "g1"}});
    assert_eq!(k.post("/v1/lookup", b).await["error"]["code"], 1202);
    let b = json!({"session": v["session"], "text": "show tag", "labels": {"db": "g1"}});
    assert_eq!(k.post("/v1/lookup", b).await["error"]["code"], 1001);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_broken_transaction_keeps_nothing_and_says_so() {
    let k = Kit::new("").await;
    let v = k.post("/v1/open", json!({})).await;
    let s = json!({"session": v["session"], "version": v["version"], "labels": {"db": "g1"}});
    let with = |m: serde_json::Value| {
        let mut b = s.clone();
        b.as_object_mut().unwrap().extend(m.as_object().unwrap().clone());
        b
    };
    assert_eq!(k.post("/v1/begin", s.clone()).await["end"], "kept");
    assert_eq!(k.post("/v1/run", with(json!({"text": "append l x"}))).await["end"], "kept");
    k.fault(0, json!({"reset": true}));
    k.until("the link to be gone", || k.links(0) == 0).await;
    let c = k.post("/v1/commit", with(json!({"try": "t1"}))).await;
    assert_eq!(c["end"], "nothing", "{c}");
    assert!(k.value("l").is_null());
    assert_eq!(k.post("/v1/run", with(json!({"text": "get l"}))).await["error"]["code"], 1204);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_rollback_is_kept_only_with_the_servers_own_word() {
    let k = Kit::new("").await;
    for (fault, end, code) in [
        (json!({}), "kept", json!(null)),
        (json!({"forge": 1}), "nothing", json!(1208)),
        (json!({"lose_answers": 1}), "nothing", json!(1208)),
        (json!({"mute": 1}), "nothing", json!(1208)),
    ] {
        let v = k.post("/v1/open", json!({})).await;
        let s = json!({"session": v["session"], "version": v["version"], "labels": {"db": "g1"}, "deadline_ms": 700});
        let b = k.post("/v1/begin", s.clone()).await;
        assert_eq!((&b["end"], &b["rows"][0][0]), (&json!("kept"), &json!("begun")), "{b}");
        k.fault(0, fault.clone());
        let r = k.post(
            "/v1/rollback",
            json!({"session": v["session"], "version": v["version"], "deadline_ms": 700}),
        );
        let r = r.await;
        assert_eq!((&r["end"], &r["error"]["code"]), (&json!(end), &code), "{fault}: {r}");
        assert_eq!(r["stamp"]["server"] == "s1", end == "kept", "{fault}: {r}");
        if end == "kept" {
            assert_eq!(r["rows"], json!([["rolled back", b["rows"][0][1]]]), "{r}");
        }
        // Whatever was said, the session is out of its transaction.
        let r = k.post("/v1/rollback", json!({"session": v["session"], "version": v["version"]})).await;
        assert_eq!(r["error"]["code"], 1204);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn all_replicas_bad_sends_lookups_to_a_share_of_the_primary() {
    let k = Kit::new("[links]\nper_primary = 4\nlookup_share = 25\n[holding]\nmost = 1\n").await;
    k.order("t1").await;
    for s in ["s2", "s3"] {
        k.set_aside(s);
    }
    let v = k.post("/v1/lookup", json!({"text": "get l", "labels": {"db": "g1"}})).await;
    assert_eq!((&v["where"]["health"], &v["rows"]), (&json!("primary-share"), &json!([[["t1"]]])), "{v}");
    // One link is the share: beside a long one, one more is held and the next is declined at once.
    let slow = json!({"text": "sleep 800", "labels": {"db": "g1"}});
    let (a, b, c) = tokio::join!(
        k.post("/v1/lookup", slow.clone()),
        k.post("/v1/lookup", slow.clone()),
        k.post("/v1/lookup", slow.clone())
    );
    let codes: Vec<u64> = [a, b, c].iter().map(|v| v["error"]["code"].as_u64().unwrap_or(0)).collect();
    assert_eq!(codes.iter().filter(|c| **c == 1301).count(), 1, "{codes:?}");
    assert_eq!(k.post("/v1/order", body("t2", "append l $1", json!(["t2"]))).await["end"], "kept");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_starting_primary_is_asked_again_and_no_statement_is_called_declined() {
    let k = Kit::new("").await;
    k.order("t1").await;
    let v = k.post("/v1/open", json!({})).await;
    let s =
        json!({"session": v["session"], "version": v["version"], "labels": {"db": "g1"}, "text": "get l"});
    assert_eq!(
        k.post(
            "/v1/begin",
            json!({"session": v["session"], "version": v["version"], "labels": {"db": "g1"}})
        )
        .await["end"],
        "kept"
    );
    k.set_aside("s2");
    k.set_aside("s3");
    k.starting(0, true);
    let get = json!({"text": "get l", "labels": {"db": "g1"}});
    let side = json!({"text": "get l", "labels": {"db": "g1"}, "order_side": true});
    let step = json!({"session": s["session"], "version": s["version"], "text": "get l"});
    let short = json!({"text": "get l", "labels": {"db": "g1"}, "order_side": true, "deadline_ms": 60});
    let v = k.post("/v1/lookup", short).await;
    assert_eq!((&v["end"], &v["error"]["code"]), (&json!("nothing"), &json!(1408)), "{v}");
    let soon = async {
        k.until("all three to have been declined", || k.declined(0) >= 4).await;
        k.starting(0, false);
    };
    let (a, b, c, ()) =
        tokio::join!(k.post("/v1/lookup", get), k.post("/v1/lookup", side), k.post("/v1/run", step), soon);
    for v in [a, b, c] {
        assert_eq!((&v["end"], &v["rows"]), (&json!("kept"), &json!([[["t1"]]])), "{v}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_stall_in_storage_sets_aside_while_the_socket_looks_well() {
    let k = Kit::new("").await;
    k.order("t1").await;
    k.fault(1, json!({"stall": true}));
    for _ in 0..12 {
        let v =
            k.post("/v1/lookup", json!({"text": "get l", "labels": {"db": "g1"}, "deadline_ms": 900})).await;
        assert_ne!(v["where"]["server"], "s2", "a stalled server answered: {v}");
    }
    k.until("s2 to be set aside", || k.verdict("s2") == HealthState::Ejected).await;
    assert!(k.signs("s2").contains(&HealthSignal::Stall), "{:?}", k.signs("s2"));
    assert!(k.status_answers("s2"), "STATUS answers all along");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_reset_of_idle_links_sets_aside_at_once() {
    let k = Kit::new("").await;
    k.post("/v1/lookup", json!({"text": "get l", "labels": {"db": "g1"}})).await;
    assert_eq!(k.verdict("s2"), HealthState::Healthy);
    k.fault(1, json!({"reset": true}));
    k.until("s2 to be set aside", || k.verdict("s2") == HealthState::Ejected).await;
    assert!(k.signs("s2").contains(&HealthSignal::Reset), "{:?}", k.signs("s2"));
    assert_eq!(k.verdict("s3"), HealthState::Healthy);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_server_that_leaves_gets_no_new_work_and_its_close_is_no_reset() {
    let k = Kit::new("").await;
    for _ in 0..6 {
        k.post("/v1/lookup", json!({"text": "get l", "labels": {"db": "g1"}})).await;
    }
    k.leave(1);
    k.until("the word to get about", || k.leaving("s2")).await;
    k.fault(1, json!({"reset": true}));
    for _ in 0..12 {
        let v = k.post("/v1/lookup", json!({"text": "get l", "labels": {"db": "g1"}})).await;
        assert_ne!(v["where"]["server"], "s2", "{v}");
    }
    assert_ne!(k.verdict("s2"), HealthState::Ejected);
}
