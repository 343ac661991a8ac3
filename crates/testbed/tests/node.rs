//! Tests of a node's data plane against stand-in servers with injected faults, in one process (§4).
mod kit;
use kit::{Kit, order_body};
use quincehatch_proxy::evidence::HealthSignal;
use quincehatch_proxy::state::HealthState;
use serde_json::json;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_order_whose_answer_is_lost_is_resolved_as_committed_and_applied_once() {
    let kit = Kit::new("").await;
    kit.set_fault(0, json!({"lose_answers": 1}));
    let reply = kit.post("/v1/order", order_body("t1", "append l $1", json!(["t1"]))).await;
    assert_eq!(reply["end"], "kept", "{reply}");
    assert_eq!(reply["stamp"]["server"], "s1");
    let retried = kit.post("/v1/order", order_body("t1", "append l $1", json!(["t1"]))).await;
    assert_eq!(retried["end"], "kept");
    assert_eq!(kit.primary_value("l"), json!(["t1"]));
    let reused = kit.post("/v1/order", order_body("t1", "append l $1", json!(["t2"]))).await;
    assert_eq!(reused["error"]["code"], 1006);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_unknown_idempotency_key_is_reported_as_unknown_until_it_is_sealed() {
    let kit = Kit::new("").await;
    let query = |seal| json!({"try": "t9", "labels": {"db": "g1"}, "seal": seal, "deadline_ms": 500});
    let open = kit.post("/v1/outcome", query(false)).await;
    assert_eq!(open["end"], "unknown", "{open}");
    let sealed = kit.post("/v1/outcome", query(true)).await;
    assert_eq!((&sealed["end"], &sealed["error"]["code"]), (&json!("nothing"), &json!(1407)));
    let late = kit.post("/v1/order", order_body("t9", "append l $1", json!(["t9"]))).await;
    assert_eq!(late["error"]["code"], 1407);
    assert!(kit.primary_value("l").is_null());
    kit.lease_ms(0);
    let reply = kit.post("/v1/outcome", json!({"try": "t9", "labels": {"db": "g1"}, "seal": true})).await;
    assert_eq!((&reply["end"], &reply["error"]["code"]), (&json!("unknown"), &json!(1502)), "{reply}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_success_without_the_servers_stamp_is_not_forwarded() {
    let kit = Kit::new("").await;
    kit.commit_order("t1").await;
    for index in 0..3 {
        kit.set_fault(index, json!({"forge": 1}));
    }
    let reply = kit.post("/v1/lookup", json!({"text": "get l", "labels": {"db": "g1"}})).await;
    assert!(reply["end"] != "kept" || reply["stamp"]["server"] == reply["where"]["server"], "{reply}");
    let primary_reply =
        kit.post("/v1/lookup", json!({"text": "get l", "labels": {"db": "g1"}, "order_side": true})).await;
    assert!(primary_reply["end"] != "kept" || primary_reply["stamp"]["server"] == "s1", "{primary_reply}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_order_is_unknown_when_the_nodes_lease_expires_before_the_reply() {
    let kit = Kit::new("").await;
    kit.set_fault(0, json!({"stall": true}));
    let order = kit.post("/v1/order", order_body("t1", "append l $1", json!(["t1"])));
    let meanwhile = async {
        kit.wait_until("the order to be in flight", || kit.pending_requests("s1") == 1).await;
        kit.lease_ms(0);
        kit.set_fault(0, json!({"stall": false}));
    };
    let (reply, ()) = tokio::join!(order, meanwhile);
    assert_eq!((&reply["end"], &reply["error"]["code"]), (&json!("unknown"), &json!(1502)), "{reply}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_pooled_connection_carries_only_the_state_of_the_current_session() {
    let kit = Kit::new("[links]\nper_replica = 1\nper_primary = 4\n").await;
    let mut sessions = Vec::new();
    for tag in ["a", "b"] {
        let open = kit.post("/v1/open", json!({})).await;
        let set =
            json!({"session": open["session"], "version": open["version"], "text": format!("tag={tag}")});
        let reply = kit.post("/v1/set", set).await;
        assert_eq!((&reply["end"], &reply["stamp"]), (&json!("promised"), &json!(null)), "{reply}");
        sessions.push((open["session"].clone(), reply["version"].clone(), tag));
    }
    for _ in 0..6 {
        for (id, version, tag) in &sessions {
            let body = json!({"session": id, "version": version, "text": "show tag", "labels": {"db": "g1"}});
            let reply = kit.post("/v1/lookup", body).await;
            assert_eq!(reply["rows"], json!([[tag]]), "{reply}");
        }
        let bare = kit.post("/v1/lookup", json!({"text": "show tag", "labels": {"db": "g1"}})).await;
        assert_eq!(bare["rows"], json!([[null]]), "{bare}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_session_with_an_unknown_or_missing_version_is_rejected() {
    let kit = Kit::new("").await;
    let open = kit.post("/v1/open", json!({})).await;
    let body = json!({"session": open["session"], "version": 99, "text": "show tag", "labels": {"db": "g1"}});
    assert_eq!(kit.post("/v1/lookup", body).await["error"]["code"], 1202);
    let body = json!({"session": open["session"], "text": "show tag", "labels": {"db": "g1"}});
    assert_eq!(kit.post("/v1/lookup", body).await["error"]["code"], 1001);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_transaction_is_not_applied_when_its_connection_breaks_before_the_commit() {
    let kit = Kit::new("").await;
    let reply = kit.post("/v1/open", json!({})).await;
    let session = json!({"session": reply["session"], "version": reply["version"], "labels": {"db": "g1"}});
    let with_session = |fields: serde_json::Value| {
        let mut request = session.clone();
        request.as_object_mut().unwrap().extend(fields.as_object().unwrap().clone());
        request
    };
    assert_eq!(kit.post("/v1/begin", session.clone()).await["end"], "kept");
    assert_eq!(kit.post("/v1/run", with_session(json!({"text": "append l x"}))).await["end"], "kept");
    kit.set_fault(0, json!({"reset": true}));
    kit.wait_until("the connection to be closed", || kit.open_connections(0) == 0).await;
    let commit = kit.post("/v1/commit", with_session(json!({"try": "t1"}))).await;
    assert_eq!(commit["end"], "nothing", "{commit}");
    assert!(kit.primary_value("l").is_null());
    assert_eq!(kit.post("/v1/run", with_session(json!({"text": "get l"}))).await["error"]["code"], 1204);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_rollback_succeeds_only_with_the_servers_stamped_reply() {
    let kit = Kit::new("").await;
    for (fault, end, code) in [
        (json!({}), "kept", json!(null)),
        (json!({"forge": 1}), "nothing", json!(1208)),
        (json!({"lose_answers": 1}), "nothing", json!(1208)),
        (json!({"mute": 1}), "nothing", json!(1208)),
    ] {
        let open = kit.post("/v1/open", json!({})).await;
        let session = json!({"session": open["session"], "version": open["version"], "labels": {"db": "g1"}, "deadline_ms": 700});
        let begun = kit.post("/v1/begin", session.clone()).await;
        assert_eq!((&begun["end"], &begun["rows"][0][0]), (&json!("kept"), &json!("begun")), "{begun}");
        kit.set_fault(0, fault.clone());
        let reply = kit.post(
            "/v1/rollback",
            json!({"session": open["session"], "version": open["version"], "deadline_ms": 700}),
        );
        let reply = reply.await;
        assert_eq!((&reply["end"], &reply["error"]["code"]), (&json!(end), &code), "{fault}: {reply}");
        assert_eq!(reply["stamp"]["server"] == "s1", end == "kept", "{fault}: {reply}");
        if end == "kept" {
            assert_eq!(reply["rows"], json!([["rolled back", begun["rows"][0][1]]]), "{reply}");
        }
        // The transaction has ended whatever the reply was.
        let reply =
            kit.post("/v1/rollback", json!({"session": open["session"], "version": open["version"]})).await;
        assert_eq!(reply["error"]["code"], 1204);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn lookups_use_a_share_of_the_primarys_connections_when_all_replicas_are_ejected() {
    let kit = Kit::new("[links]\nper_primary = 4\nlookup_share = 25\n[holding]\nmost = 1\n").await;
    kit.commit_order("t1").await;
    for server in ["s2", "s3"] {
        kit.eject(server);
    }
    let v = kit.post("/v1/lookup", json!({"text": "get l", "labels": {"db": "g1"}})).await;
    assert_eq!((&v["where"]["health"], &v["rows"]), (&json!("primary-share"), &json!([[["t1"]]])), "{v}");
    // The share is one connection: while one lookup uses it, a second one waits and the third is rejected immediately.
    let slow = json!({"text": "sleep 800", "labels": {"db": "g1"}});
    let (a, b, c) = tokio::join!(
        kit.post("/v1/lookup", slow.clone()),
        kit.post("/v1/lookup", slow.clone()),
        kit.post("/v1/lookup", slow.clone())
    );
    let codes: Vec<u64> = [a, b, c].iter().map(|v| v["error"]["code"].as_u64().unwrap_or(0)).collect();
    assert_eq!(codes.iter().filter(|code| **code == 1301).count(), 1, "{codes:?}");
    assert_eq!(kit.post("/v1/order", order_body("t2", "append l $1", json!(["t2"]))).await["end"], "kept");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_lookup_is_retried_until_its_deadline_while_the_primary_is_starting() {
    let kit = Kit::new("").await;
    kit.commit_order("t1").await;
    let reply = kit.post("/v1/open", json!({})).await;
    let session = json!({"session": reply["session"], "version": reply["version"], "labels": {"db": "g1"}, "text": "get l"});
    assert_eq!(
        kit.post(
            "/v1/begin",
            json!({"session": reply["session"], "version": reply["version"], "labels": {"db": "g1"}})
        )
        .await["end"],
        "kept"
    );
    kit.eject("s2");
    kit.eject("s3");
    kit.set_starting(0, true);
    let lookup = json!({"text": "get l", "labels": {"db": "g1"}});
    let primary_lookup = json!({"text": "get l", "labels": {"db": "g1"}, "order_side": true});
    let step = json!({"session": session["session"], "version": session["version"], "text": "get l"});
    let short = json!({"text": "get l", "labels": {"db": "g1"}, "order_side": true, "deadline_ms": 60});
    let reply = kit.post("/v1/lookup", short).await;
    assert_eq!((&reply["end"], &reply["error"]["code"]), (&json!("nothing"), &json!(1408)), "{reply}");
    let finish_start = async {
        kit.wait_until("four reads to have been rejected", || kit.rejected_reads(0) >= 4).await;
        kit.set_starting(0, false);
    };
    let (first, second, third, ()) = tokio::join!(
        kit.post("/v1/lookup", lookup),
        kit.post("/v1/lookup", primary_lookup),
        kit.post("/v1/run", step),
        finish_start
    );
    for reply in [first, second, third] {
        assert_eq!((&reply["end"], &reply["rows"]), (&json!("kept"), &json!([[["t1"]]])), "{reply}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_server_with_stalled_storage_is_ejected_although_status_calls_succeed() {
    let kit = Kit::new("").await;
    kit.commit_order("t1").await;
    kit.set_fault(1, json!({"stall": true}));
    for _ in 0..12 {
        let v = kit
            .post("/v1/lookup", json!({"text": "get l", "labels": {"db": "g1"}, "deadline_ms": 900}))
            .await;
        assert_ne!(v["where"]["server"], "s2", "a stalled server answered: {v}");
    }
    kit.wait_until("s2 to be ejected", || kit.health_state("s2") == HealthState::Ejected).await;
    assert!(kit.ejection_signals("s2").contains(&HealthSignal::Stall), "{:?}", kit.ejection_signals("s2"));
    assert!(kit.status_succeeds("s2"), "STATUS calls must not fail");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_server_that_resets_idle_connections_is_ejected() {
    let kit = Kit::new("").await;
    kit.post("/v1/lookup", json!({"text": "get l", "labels": {"db": "g1"}})).await;
    assert_eq!(kit.health_state("s2"), HealthState::Healthy);
    kit.set_fault(1, json!({"reset": true}));
    kit.wait_until("s2 to be ejected", || kit.health_state("s2") == HealthState::Ejected).await;
    assert!(kit.ejection_signals("s2").contains(&HealthSignal::Reset), "{:?}", kit.ejection_signals("s2"));
    assert_eq!(kit.health_state("s3"), HealthState::Healthy);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_draining_server_gets_no_new_work_and_its_reset_does_not_eject_it() {
    let kit = Kit::new("").await;
    for _ in 0..6 {
        kit.post("/v1/lookup", json!({"text": "get l", "labels": {"db": "g1"}})).await;
    }
    kit.start_draining(1);
    kit.wait_until("the node to see s2 draining", || kit.is_draining("s2")).await;
    kit.set_fault(1, json!({"reset": true}));
    for _ in 0..12 {
        let reply = kit.post("/v1/lookup", json!({"text": "get l", "labels": {"db": "g1"}})).await;
        assert_ne!(reply["where"]["server"], "s2", "{reply}");
    }
    assert_ne!(kit.health_state("s2"), HealthState::Ejected);
}
