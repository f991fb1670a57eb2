//! HTTP interface of the platform stand-in.

mod common;

use common::{get, post, run};
use lagoon_standin::platform;
use serde_json::json;

#[test]
fn transaction_is_atomic() {
    run(async {
        let platform = platform::start(platform::Settings::default()).unwrap();
        let address = platform.address();
        let first = json!({
            "checks": [{"key": "a", "version": 0}],
            "puts": [{"key": "a", "value": "1"}, {"key": "b", "value": "2"}],
        });
        assert_eq!(post(address, "/table/commit", first).await.1["versions"], json!([1, 1]));
        let second = json!({
            "checks": [{"key": "a", "version": 1}, {"key": "b", "version": 7}],
            "puts": [{"key": "a", "value": "3"}],
        });
        assert_eq!(post(address, "/table/commit", second).await.0, 409);
        let row = get(address, "/table/row?key=a").await.1;
        assert_eq!(row, json!({"key": "a", "value": "1", "version": 1}));
        let third = json!({"deletes": ["a"]});
        assert_eq!(post(address, "/table/commit", third).await.1["versions"], json!([0]));
        assert_eq!(get(address, "/table/row?key=a").await.0, 404);
    });
}

#[test]
fn rows_are_read_in_pages() {
    run(async {
        let platform = platform::start(platform::Settings::default()).unwrap();
        for key in ["section/a", "section/b", "section/c", "lease/x"] {
            platform.node().put(key, "{}");
        }
        let path = "/table/rows?prefix=section%2F&after=section%2Fa&limit=1";
        let rows = get(platform.address(), path).await.1;
        assert_eq!(rows["rows"].as_array().unwrap().len(), 1);
        assert_eq!(rows["rows"][0]["key"], "section/b");
    });
}

// The write takes effect but the connection closes before the response. Other tests use this fault
// to check that a writer reads the row back to learn the outcome.
#[test]
fn write_with_lost_response_takes_effect() {
    run(async {
        let platform = platform::start(platform::Settings::default()).unwrap();
        post(platform.address(), "/faults", json!({"lose_answer": true})).await;
        let write = json!({"puts": [{"key": "a", "value": "1"}]});
        assert_eq!(post(platform.address(), "/table/commit", write).await.0, 0);
        assert_eq!(get(platform.address(), "/table/row?key=a").await.0, 200);
    });
}

#[test]
fn write_during_an_outage_has_no_effect() {
    run(async {
        let platform = platform::start(platform::Settings::default()).unwrap();
        post(platform.address(), "/faults", json!({"down": true})).await;
        let write = json!({"puts": [{"key": "a", "value": "1"}]});
        assert_eq!(post(platform.address(), "/table/commit", write).await.0, 503);
        assert!(platform.node().rows("").is_empty());
        assert_eq!(platform.node().record().refused, 1);
    });
}

#[test]
fn writes_over_the_limit_are_refused() {
    run(async {
        let platform = platform::start(platform::Settings::default()).unwrap();
        post(platform.address(), "/faults", json!({"writes_per_second": 0.01})).await;
        let write = json!({"puts": [{"key": "a", "value": "1"}]});
        assert_eq!(post(platform.address(), "/table/commit", write.clone()).await.0, 200);
        assert_eq!(post(platform.address(), "/table/commit", write).await.0, 429);
        assert_eq!(platform.node().rows("a")[0].version, 1);
    });
}

#[test]
fn objects_are_read_as_written() {
    run(async {
        let platform = platform::start(platform::Settings::default()).unwrap();
        let client = ntex::client::Client::new().await;
        let uri = format!("http://{}/objects/answers/x", platform.address());
        let bytes: Vec<u8> = (0..=255).cycle().take(1 << 20).collect();
        let put = client.put(&uri).send_body(bytes.clone()).await.unwrap();
        assert_eq!(put.status().as_u16(), 200);
        let got = client.get(&uri).send().await.unwrap().body().limit(2 << 20).await.unwrap();
        assert_eq!(&got[..], bytes.as_slice());
        assert_eq!(get(platform.address(), "/objects/none").await.0, 404);
    });
}

#[test]
fn host_list_is_served_with_lag() {
    run(async {
        let platform = platform::start(platform::Settings::default()).unwrap();
        let entry = platform::HostEntry {
            name: "suva-1".to_owned(),
            zone: "suva".to_owned(),
            incarnation: 1,
            state: "live".to_owned(),
        };
        platform.node().set_hosts(vec![entry]);
        post(platform.address(), "/faults", json!({"hosts_lag_ms": 3_600_000})).await;
        assert_eq!(get(platform.address(), "/hosts").await.1["hosts"], json!([]));
        post(platform.address(), "/faults", json!({"hosts_lag_ms": 0})).await;
        assert_eq!(get(platform.address(), "/hosts").await.1["hosts"][0]["name"], "suva-1");
    });
}

#[test]
fn weight_store_limits_the_rate() {
    run(async {
        let settings = platform::Settings { weight_rate: 1.0, ..platform::Settings::default() };
        let platform = platform::start(settings).unwrap();
        let take = json!({"bytes": 100, "holder": "e"});
        assert_eq!(post(platform.address(), "/weights/take", take.clone()).await.0, 200);
        assert_eq!(post(platform.address(), "/weights/take", take).await.0, 429);
    });
}

// A cut applies to the requests of one zone: they get no response until the cut ends, while other
// zones are served.
#[test]
fn cut_zone_gets_no_response_until_the_cut_ends() {
    run(async {
        let platform = platform::start(platform::Settings::default()).unwrap();
        post(platform.address(), "/faults", json!({"cut": ["suva"]})).await;
        let client = ntex::client::Client::new().await;
        let uri = format!("http://{}/hosts", platform.address());
        let request = |zone| client.get(&uri).set_header("Lagoon-Zone", zone);
        assert_eq!(request("nausori").send().await.unwrap().status().as_u16(), 200);
        let wait = std::time::Duration::from_millis(60);
        assert!(tokio::time::timeout(wait, request("suva").send()).await.is_err());
        post(platform.address(), "/faults", json!({"cut": []})).await;
        assert_eq!(request("suva").send().await.unwrap().status().as_u16(), 200);
    });
}
