//! `publish`: signs and publishes settings of an office.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use compact_str::CompactString;
use ed25519_dalek::SigningKey;
use lexopt::{Arg, Parser, ValueExt};
use serde_json::{Value, json};

use cj_record::{SettingPath, SettingRecord, SignedSetting};
use cj_settings::read_fleet_ini;
use cj_types::{Error, ErrorKind, OfficeId, Result, Version};

use crate::{
    client::{NodeClient, block_on},
    output::{Exit, ReportFormat, progress, usage_error},
};

use super::{
    bench::next_number,
    check::{next_value, read_file},
    command::{Command, argument_error},
    status::{missing_node, parse_address},
};

pub(super) const COMMAND: Command = Command { name: "publish", help: HELP, run };

const HELP: &str = "\
Publishes settings of an office, signed with its key, and reports whether each is accepted.

Usage: copperjunction publish --node IP:PORT --office OFFICE --key FILE SETTINGS [OPTIONS]

SETTINGS is one of:
  --file FILE         every setting of the file whose value differs from the one in force
  --set PATH VALUE    one setting; PATH is OFFICE/KIND/NAME/KEY
  --remove PATH       remove one setting

Options:
  --node IP:PORT      operator address of an entry node
  --office OFFICE     office that publishes
  --key FILE          secret key of the office, as written by `keygen`
  --expect VERSION    version that must be in force, else the setting is rejected; with --set or --remove
                      [the one in force]
  --wait              wait until the settings are in force on every live node; list the nodes that lag
  --timeout SECONDS   maximum time to wait [10]
  --report text|json  format of the report [text]
  -h, --help          show this help

Exits with 1 when a setting is rejected, or with --wait, not in force on all live nodes before the timeout.

Example:
  copperjunction publish --node 127.0.0.1:7003 --office capacity --key capacity.key --file examples/kartica.ini --wait
";

/// Interval at which verdicts and the status are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

struct Options {
    node: SocketAddr,
    office: OfficeId,
    key: SigningKey,
    changes: Vec<Change>,
    wait: bool,
    timeout: Duration,
    report: ReportFormat,
}

/// One setting to publish.
#[derive(Clone, Debug)]
struct Change {
    path: SettingPath,
    value: Option<CompactString>,
    expect: Option<Version>,
}

/// Result of publishing one change.
#[derive(Clone, Debug)]
struct Outcome {
    path: SettingPath,
    offset: Option<u64>,
    rejected: Option<String>,
}

fn run(parser: &mut Parser) -> Result<Exit> {
    match options(parser)? {
        Some(options) => block_on(publish(&options)),
        None => {
            print!("{HELP}");
            Ok(Exit::Ok)
        }
    }
}

fn options(parser: &mut Parser) -> Result<Option<Options>> {
    let (mut node, mut office, mut key, mut file) = (None, None, None, None);
    let (mut wait, mut timeout, mut report) = (false, 10, ReportFormat::Text);
    let mut changes = Vec::new();
    let mut expect = None;
    while let Some(arg) = parser.next().map_err(|e| argument_error(&e))? {
        match arg {
            Arg::Long("node") => node = Some(parse_address(&next_value(parser)?)?),
            Arg::Long("office") => office = Some(next_value(parser)?.parse::<OfficeId>()?),
            Arg::Long("key") => key = Some(read_key(&next_value(parser)?)?),
            Arg::Long("file") => file = Some(next_value(parser)?),
            Arg::Long("set") => {
                let path = next_value(parser)?.parse()?;
                let value = parser.value().map_err(|e| argument_error(&e))?;
                let value = value.string().map_err(|e| argument_error(&e))?;
                changes.push(Change { path, value: Some(value.into()), expect: None });
            }
            Arg::Long("remove") => {
                changes.push(Change {
                    path: next_value(parser)?.parse()?,
                    value: None,
                    expect: None,
                });
            }
            Arg::Long("expect") => expect = Some(Version(next_number(parser)?)),
            Arg::Long("wait") => wait = true,
            Arg::Long("timeout") => timeout = next_number(parser)?,
            Arg::Long("report") => report = next_value(parser)?.parse()?,
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            other => return Err(argument_error(&other.unexpected())),
        }
    }
    let node = node.ok_or_else(missing_node)?;
    let office = office.ok_or_else(|| usage_error("no office given", "name it with `--office`"))?;
    let key = key.ok_or_else(|| usage_error("no key given", "name its file with `--key`"))?;
    if let Some(file) = file {
        changes.extend(read_changes(&file, &office)?);
    }
    if changes.is_empty() {
        return Err(usage_error("no setting given", "use `--file`, `--set` or `--remove`"));
    }
    changes.iter_mut().for_each(|c| c.expect = expect);
    let timeout = Duration::from_secs(timeout);
    Ok(Some(Options { node, office, key, changes, wait, timeout, report }))
}

fn read_key(file: &str) -> Result<SigningKey> {
    let text = read_file(file)?;
    let text = text.trim();
    let invalid = || Error::invalid("office key", file, "use the file that `keygen` wrote");
    let pairs = text.as_bytes().chunks(2).map(std::str::from_utf8);
    let bytes: Option<Vec<u8>> =
        pairs.map(|p| p.ok().and_then(|p| u8::from_str_radix(p, 16).ok())).collect();
    let bytes: [u8; 32] = bytes.and_then(|b| b.try_into().ok()).ok_or_else(invalid)?;
    Ok(SigningKey::from_bytes(&bytes))
}

fn read_changes(file: &str, office: &OfficeId) -> Result<Vec<Change>> {
    let values = read_fleet_ini(file, &read_file(file)?, office).map_err(|errors| {
        let list: Vec<String> = errors.iter().map(ToString::to_string).collect();
        let help = "correct the file; `check` reports the errors as well";
        Error::new(ErrorKind::Failed(list.join("\n").into()), help)
    })?;
    let change = |(path, value)| Change { path, value: Some(value), expect: None };
    Ok(values.into_iter().map(change).collect())
}

async fn publish(options: &Options) -> Result<Exit> {
    let operator = NodeClient::new(options.node);
    let in_force = settings_in_force(&operator).await?;
    let started = Instant::now();
    let mut outcomes = Vec::new();
    for change in &options.changes {
        let known = in_force.get(&change.path);
        if change.expect.is_none() && known.is_some_and(|(value, _)| *value == change.value) {
            continue;
        }
        let version = known.map_or(Version(0), |(_, version)| *version);
        let expected = change.expect.unwrap_or(version);
        let record = SettingRecord {
            path: change.path.clone(),
            value: change.value.clone(),
            expected,
            nonce: rand::random(),
        };
        outcomes.push(send(&operator, options, &record).await?);
    }
    progress(&format!("{} settings published", outcomes.len()));
    for outcome in &mut outcomes {
        wait_for_verdict(&operator, outcome, started + options.timeout).await?;
    }
    let highest = outcomes.iter().filter_map(|o| o.offset).max();
    let lagging = match (options.wait, highest) {
        (true, Some(offset)) => {
            Some(wait_for_rollout(&operator, offset, started + options.timeout).await?)
        }
        _ => None,
    };
    Ok(print_report(options, &outcomes, lagging.as_ref(), started.elapsed()))
}

type InForce = BTreeMap<SettingPath, (Option<CompactString>, Version)>;

async fn settings_in_force(operator: &NodeClient) -> Result<InForce> {
    let (_, answer) = operator.get("/settings").await?;
    let mut in_force = BTreeMap::new();
    for entry in answer["values"].as_array().into_iter().flatten() {
        let Some(path) = entry["path"].as_str() else { continue };
        let value = entry["value"].as_str().map(CompactString::from);
        let version = Version(entry["version"].as_u64().unwrap_or_default());
        in_force.insert(path.parse()?, (value, version));
    }
    Ok(in_force)
}

/// Sends one record. Without an offset in the answer, sends the same record again: should both copies be appended, the
/// second one is stale and has no effect.
async fn send(operator: &NodeClient, options: &Options, record: &SettingRecord) -> Result<Outcome> {
    const TRIES: u32 = 5;
    let mut signed = SignedSetting::sign(record, &options.key)?;
    signed.office = options.office.clone();
    let body = signed.encode()?;
    let path = record.path.clone();
    for _ in 0..TRIES {
        let (code, answer) = operator.post("/settings", body.clone()).await?;
        match answer["offset"].as_u64() {
            Some(offset) => return Ok(Outcome { path, offset: Some(offset), rejected: None }),
            None if code == 400 => {
                let reason = answer["error"].as_str().unwrap_or("refused").to_owned();
                return Ok(Outcome { path, offset: None, rejected: Some(reason) });
            }
            None => actix_rt::time::sleep(POLL_INTERVAL * 4).await,
        }
    }
    let reason = "the log did not take the record; publish again".to_owned();
    Ok(Outcome { path, offset: None, rejected: Some(reason) })
}

async fn wait_for_verdict(
    operator: &NodeClient,
    outcome: &mut Outcome,
    until: Instant,
) -> Result<()> {
    let Some(offset) = outcome.offset else { return Ok(()) };
    loop {
        let (_, answer) = operator.get(&format!("/settings/verdict/{offset}")).await?;
        match answer["verdict"].as_str() {
            Some("pending") if Instant::now() < until => actix_rt::time::sleep(POLL_INTERVAL).await,
            Some("pending") => {
                outcome.rejected = Some("no verdict within the time".into());
                return Ok(());
            }
            Some("rejected") => {
                outcome.rejected = answer["reason"].as_str().map(str::to_owned);
                return Ok(());
            }
            _ => return Ok(()),
        }
    }
}

/// Names of the nodes on which the settings are in force, and of the nodes that lag.
struct Rollout {
    applied: Vec<String>,
    lagging: Vec<String>,
}

async fn wait_for_rollout(operator: &NodeClient, offset: u64, until: Instant) -> Result<Rollout> {
    loop {
        let (_, status) = operator.get("/status").await?;
        let mut rollout = Rollout { applied: Vec::new(), lagging: Vec::new() };
        let own = std::iter::once(&status);
        for node in own.chain(status["peers"].as_array().into_iter().flatten()) {
            let name = node["node"].as_str().unwrap_or("?").to_owned();
            let next = node["settings_offset"].as_u64().unwrap_or_default();
            if next > offset { rollout.applied.push(name) } else { rollout.lagging.push(name) }
        }
        if rollout.lagging.is_empty() || Instant::now() >= until {
            return Ok(rollout);
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

fn print_report(
    options: &Options,
    outcomes: &[Outcome],
    rollout: Option<&Rollout>,
    took: Duration,
) -> Exit {
    let rejected = outcomes.iter().filter(|o| o.rejected.is_some()).count();
    let lagging = rollout.is_some_and(|s| !s.lagging.is_empty());
    let ok = rejected == 0 && !lagging;
    match options.report {
        ReportFormat::Json => println!("{}", json_report(outcomes, rollout, took, ok)),
        ReportFormat::Text => print(outcomes, rollout, took),
    }
    if ok { Exit::Ok } else { Exit::Failed }
}

fn json_report(outcomes: &[Outcome], rollout: Option<&Rollout>, took: Duration, ok: bool) -> Value {
    let list: Vec<Value> = outcomes
        .iter()
        .map(|o| json!({ "path": o.path.to_string(), "offset": o.offset, "rejected": o.rejected }))
        .collect();
    json!({
        "ok": ok,
        "settings": list,
        "in_force_on": rollout.map(|s| &s.applied),
        "lagging": rollout.map(|s| &s.lagging),
        "seconds": took.as_secs_f64(),
    })
}

fn print(outcomes: &[Outcome], rollout: Option<&Rollout>, took: Duration) {
    for outcome in outcomes {
        match &outcome.rejected {
            None => println!("accepted  {}", outcome.path),
            Some(reason) => println!("rejected  {}: {reason}", outcome.path),
        }
    }
    if outcomes.is_empty() {
        println!("nothing to publish: all settings are in force already");
    }
    if let Some(rollout) = rollout {
        let seconds = took.as_secs_f64();
        println!("in force on {} nodes after {seconds:.1} s", rollout.applied.len());
        if !rollout.lagging.is_empty() {
            println!("lagging: {}", rollout.lagging.join(", "));
        }
    }
}
