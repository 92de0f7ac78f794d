//! Each hop of a request exports a span to the collector, in the caller's trace.

use hyper::{Request, Response};
use sillpin_http::IncomingBody;
use sillpin_http::{Body, Server, read_limited};
use sillpin_testsuite::wait::until;
use sillpin_testsuite::{Fleet, FleetShape};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio_util::sync::CancellationToken;

/// A collector that stores the bodies that it receives.
#[derive(Clone, Default)]
struct Collector {
    bodies: Arc<Mutex<Vec<u8>>>,
}

impl Collector {
    async fn receive(self, req: Request<IncomingBody>) -> Response<Body> {
        if let Ok(body) = read_limited(req.into_body(), 1 << 20).await {
            self.bodies.lock().unwrap().extend_from_slice(&body);
        }
        Response::new(Body::empty())
    }

    /// Returns whether any received body contains `bytes`.
    fn contains(&self, bytes: &[u8]) -> bool {
        self.bodies
            .lock()
            .unwrap()
            .windows(bytes.len())
            .any(|w| w == bytes)
    }
}

/// Starts a server for `collector` and returns its address.
async fn start_collector(collector: &Collector) -> SocketAddr {
    let server = Server::bind(([127, 0, 0, 1], 0).into()).await.unwrap();
    let addr = server.local_addr().unwrap();
    let collector = collector.clone();
    tokio::spawn(server.run(CancellationToken::new(), move |req| {
        collector.clone().receive(req)
    }));
    addr
}

#[tokio::test]
async fn every_hop_exports_a_span() {
    let collector = Collector::default();
    let addr = start_collector(&collector).await;
    let setting: &'static str = Box::leak(format!("telemetry.collector={addr}").into_boxed_str());
    let mut shape = FleetShape::default();
    shape.entry_settings.push(setting);
    shape.keeper_settings.push(setting);
    let fleet = Fleet::start(shape).await;
    let long = "A rider's whole history. ".repeat(800);
    assert!(fleet.ask(&fleet.boxes[0], &long).await.is_answered());
    for span in ["entry", "look up", "target", "transfer"] {
        until(&format!("span {span}"), || async {
            collector.contains(span.as_bytes()).then_some(())
        })
        .await;
    }
}

#[tokio::test]
async fn the_callers_trace_is_continued() {
    let collector = Collector::default();
    let addr = start_collector(&collector).await;
    let setting: &'static str = Box::leak(format!("telemetry.collector={addr}").into_boxed_str());
    let mut shape = FleetShape::default();
    shape.entry_settings.push(setting);
    let fleet = Fleet::start(shape).await;
    let entry = fleet.boxes[0].callers();
    let trace = [
        0x4b, 0xf9, 0x2f, 0x35, 0x77, 0xb3, 0x4d, 0xa6, 0xa3, 0xce, 0x92, 0x9d, 0x0e, 0x0e, 0x47,
        0x36,
    ];
    let req = Request::builder()
        .method(hyper::Method::POST)
        .uri(format!("http://{entry}/v1/completions"))
        .header("authorization", "Bearer key-riders")
        .header(
            "traceparent",
            "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
        )
        .body(Body::full(
            r#"{"model":"mfano","prompt":"a","max_tokens":1}"#,
        ))
        .unwrap();
    let resp = fleet.client.send("ask", entry, req).await.unwrap();
    assert_eq!(resp.status(), hyper::StatusCode::OK);
    until("the caller's trace", || async {
        collector.contains(&trace).then_some(())
    })
    .await;
}
