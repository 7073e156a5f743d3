//! Wire contract of the fake log.

use std::time::Duration;

use actix_http::StatusCode;
use awc::{Client, Connector, error::SendRequestError};
use bytes::Bytes;

use cj_standin::{Fault, LogOptions, Platform, PlatformOptions, ReadPage};

fn client() -> Client {
    Client::builder().connector(Connector::new()).timeout(Duration::from_secs(20)).finish()
}

async fn append(platform: &Platform, body: &[u8]) -> Result<(StatusCode, Bytes), SendRequestError> {
    let url = format!("http://{}/v1/streams/s/records", platform.log_address());
    let mut answer = client().post(url).send_body(body.to_vec()).await?;
    Ok((answer.status(), answer.body().await.expect("body")))
}

async fn read(platform: &Platform, from: u64, max_bytes: u64, wait_ms: u64) -> (StatusCode, Bytes) {
    let query = format!("from={from}&max_bytes={max_bytes}&wait_ms={wait_ms}");
    let url = format!("http://{}/v1/streams/s/records?{query}", platform.log_address());
    let mut answer = client().get(url).send().await.expect("an answer");
    (answer.status(), answer.body().limit(1 << 22).await.expect("body"))
}

async fn page(platform: &Platform, from: u64, wait_ms: u64) -> ReadPage {
    let (status, body) = read(platform, from, 1 << 20, wait_ms).await;
    assert_eq!(status, StatusCode::OK);
    postcard::from_bytes(&body).expect("a page")
}

fn offsets(page: &ReadPage) -> Vec<u64> {
    page.records.iter().map(|(offset, _)| offset.0).collect()
}

/// Guards against gaps, wrong offsets, ignored page limits and accepted records of excessive size.
#[actix_rt::test]
async fn appends_and_pages() {
    let platform = Platform::start(PlatformOptions::default()).expect("platform");
    for n in 0..5_u8 {
        let (status, body) = append(&platform, &[n; 10]).await.expect("append");
        assert_eq!((status, &body[..]), (StatusCode::OK, format!("{{\"offset\":{n}}}").as_bytes()));
    }
    for (from, max_bytes, expected) in [
        (0, 1000, vec![0, 1, 2, 3, 4]),
        (3, 1000, vec![3, 4]),
        (1, 25, vec![1, 2]),
        (2, 1, vec![2]),
    ] {
        let (_, body) = read(&platform, from, max_bytes, 0).await;
        let page: ReadPage = postcard::from_bytes(&body).expect("a page");
        assert_eq!((offsets(&page), page.end.0, page.oldest.0), (expected, 5, 0));
    }
    let too_large = append(&platform, &vec![0; 64 * 1024 + 1]).await.expect("an answer");
    assert_eq!(too_large.0, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(platform.log().appends(), 5);
    platform.stop();
}

/// Guards against a read below the retained records that succeeds, so that a reader skips records unnoticed.
#[actix_rt::test]
async fn reads_below_retention_are_gone() {
    let log = LogOptions { retention: 3, ..LogOptions::default() };
    let platform =
        Platform::start(PlatformOptions { log, ..Default::default() }).expect("platform");
    for n in 0..5 {
        append(&platform, &[n]).await.expect("append");
    }
    assert_eq!(read(&platform, 1, 100, 0).await.0, StatusCode::GONE);
    assert_eq!(offsets(&page(&platform, 2, 0).await), [2, 3, 4]);
    platform.inject(&Fault::LogForgets { keep: 1 });
    assert_eq!(read(&platform, 2, 100, 0).await.0, StatusCode::GONE);
    assert_eq!(offsets(&page(&platform, 4, 0).await), [4]);
    platform.stop();
}

/// Guards against a long poll that returns without records or misses the record that it waits for.
#[actix_rt::test]
async fn long_poll_returns_with_the_first_record() {
    let platform = Platform::start(PlatformOptions::default()).expect("platform");
    assert!(page(&platform, 0, 10).await.records.is_empty());
    let (page, appended) = futures::join!(page(&platform, 0, 15_000), append(&platform, b"x"));
    appended.expect("append");
    assert_eq!(page.records, [(cj_types::Offset(0), b"x".to_vec())]);
    platform.stop();
}

/// Guards against lost answers whose append is not carried out, and outages in which it is.
#[actix_rt::test]
async fn faults_lose_answers_or_appends() {
    let platform = Platform::start(PlatformOptions::default()).expect("platform");
    platform.inject(&Fault::LostAnswers { percent: 100 });
    assert!(append(&platform, b"a").await.is_err());
    platform.inject(&Fault::LostAnswers { percent: 0 });
    platform.inject(&Fault::LogDown { on: true });
    assert!(append(&platform, b"b").await.is_err());
    platform.inject(&Fault::LogDown { on: false });
    assert_eq!(page(&platform, 0, 0).await.records, [(cj_types::Offset(0), b"a".to_vec())]);
    assert_eq!(platform.log().lost_answers(), 1);

    let url = format!("http://{}/v1/faults", platform.control_address());
    let body = r#"{"fault":"log-slow","delay_ms":50}"#;
    let answer = client().post(url).send_body(body).await.expect("an answer");
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(platform.faults().active().log_delay, Duration::from_millis(50));
    append(&platform, b"c").await.expect("append");
    platform.stop();
}
