//! Nodes that act as one: leaving upstreams, fresh nodes.

#![allow(clippy::unwrap_used)]

use std::time;

use arbutusfold_standin::{fault, fleet};

async fn start(name: &str) -> fleet::TestFleet {
    fleet::TestFleet::start_joined(name, 9).await.unwrap()
}

async fn complete(node: &fleet::FleetNode, request: &str) -> u16 {
    let order = serde_json::json!({"model": "assistant", "prompt": request, "max_tokens": 5});
    let answer = fleet::call(
        node.callers,
        http::Method::POST,
        "/v1/completions",
        fleet::CALLER_KEY,
        &[("x-request-id", request)],
        order.to_string(),
    )
    .await
    .unwrap();
    answer.0
}

async fn routes_of(node: &fleet::FleetNode, request: &str) -> String {
    let path = format!("/v1/explain/{request}");
    let method = http::Method::GET;
    let token = fleet::OPERATOR_TOKEN;
    let asked = fleet::call(node.operators, method, &path, token, &[], String::new());
    asked.await.unwrap().1
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_upstream_gets_no_new_work_on_any_node() {
    let fleet = start("leaving").await;
    let (name, address, _) = &fleet.runners[0];
    let mut used = 0;
    for (index, node) in fleet.nodes.iter().enumerate() {
        for call in 0..4 {
            let request = format!("before-{index}-{call}");
            assert_eq!(complete(node, &request).await, 200);
            used += usize::from(routes_of(node, &request).await.contains(name.as_str()));
        }
    }
    assert!(used > 0, "the upstream got no work before it left");
    let plan = fault::FaultPlan {
        leaving: true,
        ..fault::FaultPlan::default()
    };
    fleet::set_faults(*address, &plan).await.unwrap();
    tokio::time::sleep(time::Duration::from_secs(3)).await;
    for (index, node) in fleet.nodes.iter().enumerate() {
        for call in 0..6 {
            let request = format!("after-{index}-{call}");
            assert_eq!(complete(node, &request).await, 200);
            let routes = routes_of(node, &request).await;
            assert!(!routes.contains(name.as_str()), "{}: {routes}", node.name);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn fresh_node_enters_the_answers_only_when_it_can_serve() {
    let mut fleet = start("fresh").await;
    let begun = tokio::time::Instant::now();
    let node = fleet.start_node(9).unwrap();
    fleet::await_http(node.operators, "/health").await.unwrap();
    loop {
        let named = fleet::serving_members(fleet.nodes[0].operators)
            .await
            .unwrap();
        if named.contains(&node.name) {
            break;
        }
        assert!(begun.elapsed() < time::Duration::from_secs(10));
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    println!("a fresh node was named after {:?}", begun.elapsed());
    for call in 0..5 {
        assert_eq!(complete(&node, &format!("fresh-{call}")).await, 200);
    }
    fleet.nodes.push(node);
    fleet
        .await_members(time::Duration::from_secs(2))
        .await
        .unwrap();
}
