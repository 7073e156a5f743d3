//! Helpers that call the fakes over HTTP.

use std::{net::SocketAddr, time::Duration};

use actix_http::{Method, header::HeaderMap};
use awc::{Client, error::SendRequestError};
use serde_json::Value;

use cj_standin::{Platform, PlatformOptions, VmRow};
use cj_types::{Accelerators, Mebibytes, Millicores, Resources};

/// An answer: status, headers and body.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
}

impl Answer {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.body).expect("a JSON body")
    }

    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// Sends one request. Fails when the connection is closed without an answer.
pub(crate) async fn call(
    method: Method,
    address: SocketAddr,
    path: &str,
    headers: &[(&'static str, &str)],
    body: String,
) -> Result<Answer, SendRequestError> {
    let client = Client::builder().timeout(Duration::from_secs(20)).finish();
    let mut request = client.request(method, format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.insert_header((*name, *value));
    }
    let mut answer = request.send_body(body).await?;
    let body = answer.body().await.expect("the whole body");
    let body = String::from_utf8(body.to_vec()).expect("text");
    Ok(Answer { status: answer.status().as_u16(), headers: answer.headers().clone(), body })
}

pub(crate) async fn post(address: SocketAddr, path: &str, body: Value) -> Answer {
    call(Method::POST, address, path, &[], body.to_string()).await.expect("an answer")
}

pub(crate) async fn get(address: SocketAddr, path: &str) -> Answer {
    call(Method::GET, address, path, &[], String::new()).await.expect("an answer")
}

/// Two minions of service `proofs` with an availability budget of 1, one minion of `menus`, and two workers.
pub(crate) fn options() -> PlatformOptions {
    let resources = Resources {
        cores: Millicores(4000),
        memory: Mebibytes(4096),
        accelerators: Accelerators(0),
    };
    PlatformOptions {
        list_lag: Duration::from_secs(60),
        drain_time: Duration::ZERO,
        reboot_time: Duration::from_millis(30),
        assign_time: Duration::from_secs(60),
        slots: 1,
        ..PlatformOptions::default()
    }
    .with_minions("p", "proofs", 2, 1, &["dc-1", "dc-2"])
    .and_then(|all| all.with_minions("m", "menus", 1, 0, &["dc-1"]))
    .and_then(|all| all.with_workers("w", 2, 1, &["dc-1"], resources))
    .expect("valid names")
}

pub(crate) fn vm(platform: &Platform, name: &str) -> VmRow {
    platform.vms().into_iter().find(|row| row.vm.as_str() == name).expect("a VM")
}

/// Waits until the VM's boot id differs from `boot`.
pub(crate) async fn rebooted(platform: &Platform, name: &str, boot: u64) {
    while vm(platform, name).boot.0 == boot {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
