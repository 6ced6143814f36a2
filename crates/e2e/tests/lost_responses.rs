//! After a lost response, an operation that must not be repeated does not run again, and
//! no caller is told that its request has not run.

use std::cell::Cell;
use std::rc::Rc;

use clementine_e2e::{ApiResponse, Cluster, ClusterSpec, ScriptedServer, Step};

/// Starts a server that loses every response, in one of several ways, and refuses
/// connections after the first request if `crashes`.
async fn losing_server(steps: Vec<Step>, crashes: bool) -> (Rc<ScriptedServer>, Rc<Cell<u32>>) {
    let runs = Rc::new(Cell::new(0));
    let server: Rc<Cell<Option<Rc<ScriptedServer>>>> = Rc::default();
    let (counted, own) = (Rc::clone(&runs), Rc::clone(&server));
    let started = ScriptedServer::start(move |_| {
        counted.set(counted.get() + 1);
        if let Some(own) = own.take().filter(|_| crashes) {
            own.stop_accepting();
        }
        steps.clone()
    })
    .await;
    let started = Rc::new(started);
    server.set(Some(Rc::clone(&started)));
    (started, runs)
}

fn losses() -> Vec<(&'static str, Vec<Step>)> {
    let cut_off = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart";
    vec![
        ("closed", vec![Step::Close]),
        ("reset", vec![Step::Reset]),
        ("head cut off", vec![Step::send("HTTP/1.1 200 OK\r\nx"), Step::Close]),
        ("body cut off", vec![Step::send(cut_off), Step::Close]),
    ]
}

fn check_unknown(what: &str, response: &ApiResponse) {
    let (status, outcome) = (response.status, response.outcome.as_str());
    assert_eq!(outcome, "unknown", "{what}: status {status} {:?}", response.body);
}

/// Guards against a second run of an order whose response was lost. The fault cannot
/// occur here: the claim of its key stays.
#[actix_rt::test]
async fn order_whose_response_is_lost_runs_once_and_has_an_unknown_outcome() {
    for (loss, steps) in losses() {
        for crashes in [false, true] {
            let (server, runs) = losing_server(steps.clone(), crashes).await;
            let spec = ClusterSpec::new(1).backend_at("orders", server.address);
            let cluster = Cluster::start(spec).await;
            let what = format!("{loss}, crashes: {crashes}");
            for _ in 0..2 {
                let response = cluster.client(0).order("k", "{}").await.expect("no response");
                check_unknown(&what, &response);
            }
            assert_eq!(runs.get(), 1, "{what}");
        }
    }
}

/// Guards against reporting the last attempt, which did not run, instead of the first,
/// whose response was lost.
#[actix_rt::test]
async fn lookup_whose_response_is_lost_has_an_unknown_outcome() {
    for (loss, steps) in losses() {
        let (server, runs) = losing_server(steps, true).await;
        let spec = ClusterSpec::new(1).backend_at("orders", server.address);
        let cluster = Cluster::start(spec).await;
        let headers = [("clementine-deadline", "1500ms")];
        let response = cluster.client(0).send("GET", "/stock/x", &headers, "").await;
        assert!(runs.get() >= 1);
        check_unknown(loss, &response.expect("no response"));
    }
}
