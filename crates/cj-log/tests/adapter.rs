//! Contract tests for every implementation of the log service: the in-memory log, and the HTTP client against a small
//! HTTP server that implements the published protocol.

mod common;

use std::{cell::RefCell, convert::Infallible, rc::Rc, time::Duration};

use actix_http::{HttpService, KeepAlive, Method, Request, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use common::{SECOND, region, run};
use futures::StreamExt;
use quickcheck::{Gen, QuickCheck};
use tokio::net::TcpListener;

use cj_log::{
    HttpLog, InjectedFaults, LogService, MemoryLog, ReadPage, RelayPage, http::decode_page,
};
use cj_types::{Error, ErrorKind, Offset, Result};

/// How the HTTP log handles calls.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mode {
    Work,
    Status(u16),
    StoreThenStatus(u16),
    StoreThenGarbage,
    StoreThenClose,
    Hang,
}

#[derive(Clone)]
struct HttpState {
    log: MemoryLog,
    mode: Rc<RefCell<Mode>>,
}

fn answer(status: u16, body: impl Into<Bytes>) -> Response<Bytes> {
    Response::with_body(StatusCode::from_u16(status).unwrap(), body.into())
}

async fn serve(state: HttpState, mut request: Request) -> Result<Response<Bytes>, Infallible> {
    let mode = *state.mode.borrow();
    if request.method() == Method::POST {
        let mut body = BytesMut::new();
        while let Some(Ok(chunk)) = request.payload().next().await {
            body.extend_from_slice(&chunk);
        }
        if let Mode::Status(status) = mode {
            return Ok(answer(status, ""));
        }
        let offset = state.log.store(&region(), body.to_vec());
        return match mode {
            Mode::StoreThenStatus(status) => Ok(answer(status, "")),
            Mode::StoreThenGarbage => Ok(answer(200, "{\"off")),
            _ => Ok(answer(200, format!("{{\"offset\":{offset}}}"))),
        };
    }
    let query = request.uri().query().unwrap_or_default();
    let number = |key: &str| -> u64 {
        let pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.filter(|(k, _)| *k == key).find_map(|(_, v)| v.parse().ok()).unwrap()
    };
    let wait = Duration::from_millis(number("wait_ms"));
    let (stream, from, bytes) = (region(), Offset(number("from")), number("max_bytes") as usize);
    let read = state.log.read(&stream, from, bytes, wait);
    let encode = |page: &ReadPage| postcard::to_stdvec(page).unwrap();
    Ok(match read.await {
        Ok(page) if mode == Mode::StoreThenGarbage => {
            let bytes = encode(&page);
            answer(200, bytes[..bytes.len() - 1].to_vec())
        }
        Ok(page) => answer(200, encode(&page)),
        Err(Error { kind: ErrorKind::Gap { oldest, .. }, .. }) => {
            answer(410, format!("{{\"oldest\":{oldest},\"end\":{oldest}}}"))
        }
        Err(_) => answer(500, ""),
    })
}

/// Starts an HTTP log on a loopback port. Returns a client of it and the switch of its mode.
async fn http_log(log: MemoryLog) -> (HttpLog, Rc<RefCell<Mode>>) {
    use actix_service::{Service, ServiceFactory};
    let mode = Rc::new(RefCell::new(Mode::Work));
    let state = HttpState { log, mode: mode.clone() };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::task::spawn_local(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            if *state.mode.borrow() == Mode::Hang {
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(60 * SECOND).await;
                    drop(stream);
                });
                continue;
            }
            if *state.mode.borrow() == Mode::StoreThenClose {
                let mut request = [0; 1024];
                let _ = stream.readable().await;
                let _ = stream.try_read(&mut request);
                state.log.store(&region(), b"x".to_vec());
                continue;
            }
            let state = state.clone();
            let handler = move |request: Request| serve(state.clone(), request);
            // A server that ends connections which seem idle resets calls when the machine stalls for that long.
            let factory = HttpService::build().keep_alive(KeepAlive::Os).finish(handler);
            let service = ServiceFactory::new_service(&factory.tcp(), ()).await.unwrap();
            tokio::task::spawn_local(async move { drop(service.call(stream).await) });
        }
    });
    (HttpLog::new(&address).unwrap(), mode)
}

/// Reads and appends that every implementation has to answer in the same way.
async fn contract<L: LogService>(log: &L, trim: &MemoryLog) {
    let stream = region();
    let read = async |from: u64, bytes: usize| -> Result<ReadPage> {
        log.read(&stream, Offset(from), bytes, Duration::ZERO).await
    };
    assert_eq!(read(0, 100).await.unwrap(), ReadPage::default(), "empty stream");
    for n in 0..10u8 {
        let offset = log.append(&stream, vec![n; 100]).await.unwrap();
        assert_eq!(offset, Offset(u64::from(n)));
    }
    // Start offset, maximum bytes, expected number of records.
    for (from, bytes, expected) in
        [(0, 10_000, 10), (0, 250, 2), (4, 1, 1), (9, 500, 1), (10, 9, 0)]
    {
        let page = read(from, bytes).await.unwrap();
        let offsets: Vec<u64> = page.records.iter().map(|(o, _)| o.0).collect();
        let wanted: Vec<u64> = (from..from + expected).collect();
        assert_eq!((offsets, page.end), (wanted, Offset(10)), "from {from}, {bytes} bytes");
        assert!(page.records.iter().all(|(o, r)| *r == vec![o.0 as u8; 100]));
    }
    let waiting = log.read(&stream, Offset(10), 100, 5 * SECOND);
    let (page, _) = tokio::join!(waiting, async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        log.append(&stream, b"late".to_vec()).await
    });
    assert_eq!(page.unwrap().records, [(Offset(10), b"late".to_vec())], "long poll");
    trim.trim(&stream, Offset(6));
    let gap = read(3, 100).await.map_err(|e| e.kind);
    let expected = ErrorKind::Gap { stream: stream.as_str().into(), wanted: 3, oldest: 6 };
    assert_eq!(gap, Err(expected));
    assert_eq!(read(6, 100).await.unwrap().oldest, Offset(6));
}

#[test]
fn memory_log_keeps_the_contract() {
    run(async {
        let log = MemoryLog::new(1);
        contract(&log, &log.clone()).await;
    });
}

#[test]
fn http_log_keeps_the_contract() {
    actix_rt::System::new().block_on(async {
        let memory = MemoryLog::new(1);
        let (log, _) = http_log(memory.clone()).await;
        contract(&log, &memory).await;
    });
}

/// Guards against a client that reports an append as refused although it may have been stored. The writer would then
/// withdraw proposals that took effect.
#[test]
fn failed_appends_are_told_apart() {
    // Behaviour of the log, whether the client reports a refusal, records stored.
    let cases = [
        (Mode::Status(400), true, 0),
        (Mode::Status(413), true, 0),
        (Mode::Status(429), true, 0),
        (Mode::Status(408), false, 0),
        (Mode::Status(500), false, 0),
        (Mode::Status(503), false, 0),
        (Mode::StoreThenStatus(502), false, 1),
        (Mode::StoreThenStatus(302), false, 1),
        (Mode::StoreThenGarbage, false, 1),
        (Mode::StoreThenClose, false, 1),
        (Mode::Hang, false, 0),
    ];
    for (mode, refused, stored) in cases {
        actix_rt::System::new().block_on(async {
            let memory = MemoryLog::new(1);
            let (log, current) = http_log(memory.clone()).await;
            *current.borrow_mut() = mode;
            let error = log.append(&region(), b"x".to_vec()).await.unwrap_err();
            assert_eq!(error.is_unanswered(), !refused, "{mode:?}: {error}");
            let is_refused = matches!(error.kind, ErrorKind::Refused { .. });
            assert_eq!(is_refused, refused, "{mode:?}: {error}");
            assert_eq!(memory.records(&region()).len(), stored, "{mode:?}");
        });
    }
}

/// Without a connection nothing was sent, so the call must be reported as refused.
#[test]
fn closed_port_refuses() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        drop(listener);
        let log = HttpLog::new(&address).unwrap();
        let error = log.append(&region(), b"x".to_vec()).await.unwrap_err();
        assert!(matches!(error.kind, ErrorKind::Refused { .. }), "{error}");
    });
}

/// Guards against a truncated page that is read as a valid one: its missing records would look like the end of the
/// stream.
#[test]
fn truncated_pages_are_errors() {
    actix_rt::System::new().block_on(async {
        let memory = MemoryLog::new(1);
        let (log, mode) = http_log(memory.clone()).await;
        memory.store(&region(), b"record".to_vec());
        *mode.borrow_mut() = Mode::StoreThenGarbage;
        let read = log.read(&region(), Offset(0), 100, Duration::ZERO).await;
        assert!(matches!(read.unwrap_err().kind, ErrorKind::Decode { .. }));
    });
    run(async {
        let memory = MemoryLog::new(1);
        memory.store(&region(), b"record".to_vec());
        memory.set_faults(InjectedFaults { truncate: 1.0, ..InjectedFaults::default() });
        let read = memory.read(&region(), Offset(0), 100, Duration::ZERO).await;
        assert!(matches!(read.unwrap_err().kind, ErrorKind::Decode { .. }));
    });
}

/// Decoders of arbitrary bytes must return an error or a value, without a panic or an unbounded allocation.
#[test]
fn decoders_take_arbitrary_bytes() {
    fn holds(bytes: Vec<u8>, cut: usize) -> bool {
        let _ = decode_page(&bytes);
        let _ = postcard::from_bytes::<RelayPage>(&bytes);
        let _ = cj_record::Batch::decode(&[b"cj\x01".as_slice(), &bytes].concat());
        let _ = cj_record::SignedSetting::decode(&bytes);
        let page =
            ReadPage { oldest: Offset(1), end: Offset(3), records: vec![(Offset(2), bytes)] };
        let encoded = postcard::to_stdvec(&page).unwrap();
        let cut = cut % encoded.len();
        decode_page(&encoded).unwrap() == page && decode_page(&encoded[..cut]).is_err()
    }
    let rng = Gen::from_size_and_seed(300, 20_261_204);
    QuickCheck::new().rng(rng).tests(2000).quickcheck(holds as fn(Vec<u8>, usize) -> bool);
}
