//! Tests of the metrics text and of the HTTP endpoint that exposes it.
use quincehatch_metrics::{Metric, MetricsEndpoint, render, serve};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

fn sample_metrics() -> Vec<Metric> {
    vec![
        Metric::gauge("lease_remaining_seconds", "Time until the lease ends").with_value(3.5),
        Metric::counter("frames", "Frames sent")
            .with_label("kind", "feed", 7.0)
            .with_label("kind", "write", 1.0),
    ]
}

#[test]
fn metrics_are_rendered_in_the_open_metrics_format() {
    let expected = "\
# HELP quincehatch_lease_remaining_seconds Time until the lease ends
# TYPE quincehatch_lease_remaining_seconds gauge
quincehatch_lease_remaining_seconds 3.5
# HELP quincehatch_frames Frames sent
# TYPE quincehatch_frames counter
quincehatch_frames_total{kind=\"feed\"} 7.0
quincehatch_frames_total{kind=\"write\"} 1.0
# EOF
";
    assert_eq!(render(sample_metrics()), expected);
}

#[test]
fn an_endpoint_is_parsed_from_a_port_and_a_path() {
    let endpoint: MetricsEndpoint = "9464/metrics".parse().unwrap();
    assert_eq!((endpoint.port, endpoint.path.as_str()), (9464, "/metrics"));
    for malformed in ["", "9464", "/metrics", "0/metrics", "70000/metrics", "x/metrics"] {
        assert!(malformed.parse::<MetricsEndpoint>().is_err(), "{malformed}");
    }
}

async fn fetch(addr: &str, request: &str) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut reply = String::new();
    stream.read_to_string(&mut reply).await.unwrap();
    reply
}

#[tokio::test]
async fn get_of_the_path_returns_the_metrics_and_other_requests_return_404() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let server = tokio::spawn(serve(listener, "/metrics".into(), || async { sample_metrics() }));
    let reply = fetch(&addr, "GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n").await;
    assert!(reply.starts_with("HTTP/1.1 200") && reply.ends_with("# EOF\n"), "{reply}");
    assert!(reply.contains("application/openmetrics-text"), "{reply}");
    for request in ["GET /other HTTP/1.1\r\nhost: x\r\n\r\n", "POST /metrics HTTP/1.1\r\nhost: x\r\n\r\n"] {
        assert!(fetch(&addr, request).await.starts_with("HTTP/1.1 404"), "{request}");
    }
    server.abort();
}
