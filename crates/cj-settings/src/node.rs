//! The INI settings file of a node.

use std::{collections::BTreeMap, net::SocketAddr};

use compact_str::{CompactString, format_compact};
use log::LevelFilter;

use cj_types::{DataCentreId, Error, NodeId, OfficeId, RegionId};

use crate::{
    fields::{FieldParser, ObjectValues, hex_key, public_key, typed},
    ini::{IniItem, error_at, read_items},
    object::suggestion,
};

/// Settings of a node, read from its INI file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    /// Id of the node.
    pub node: NodeId,
    /// Region of the node, whose stream it folds.
    pub region: RegionId,
    /// Data centre of the node.
    pub centre: DataCentreId,
    /// Name of the cluster. Nodes of another cluster aren't accepted as peers.
    pub cluster: CompactString,
    /// Listen address for callers.
    pub caller_address: SocketAddr,
    /// Listen address for other nodes.
    pub peer_address: SocketAddr,
    /// Listen address for operators.
    pub operator_address: SocketAddr,
    /// Listen address for metrics.
    pub metrics_address: SocketAddr,
    /// Address of the platform's log service.
    pub log_address: SocketAddr,
    /// Address of the platform's VM control service.
    pub control_address: SocketAddr,
    /// Peer addresses of other nodes.
    pub peer_addresses: Vec<SocketAddr>,
    /// Shared key that authenticates nodes to each other.
    pub peer_key: PeerKey,
    /// Initial public key of each office. Later keys are introduced by key rotation.
    pub office_keys: BTreeMap<OfficeId, [u8; 32]>,
    /// Most verbose level that is logged.
    pub log_level: LevelFilter,
    /// Destination of log lines.
    pub log_target: LogTarget,
}

/// A shared secret key. `Debug` hides its bytes, so that it is never written to a log.
#[derive(Clone, PartialEq, Eq)]
pub struct PeerKey(pub [u8; 32]);

impl std::fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PeerKey(..)")
    }
}

/// Destination of log lines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum LogTarget {
    /// Standard output.
    Stdout,
    /// Standard error.
    #[default]
    Stderr,
    /// A file to which lines are appended.
    File(CompactString),
}

const SECTIONS: &[(&str, &[&str])] = &[
    ("node", &["id", "region", "data_centre", "cluster"]),
    ("listen", &["caller", "peer", "operator", "metrics"]),
    ("platform", &["log", "vm_control"]),
    ("peers", &["addresses", "key"]),
    ("offices", &[]),
    ("logging", &["level", "target"]),
];

/// Reads the settings of a node. Returns all errors, with file, line, section, key and remedy.
pub fn read_node_ini(file: &str, text: &str) -> Result<NodeSettings, Vec<Error>> {
    let reader = NodeFileReader { file, items: read_items(file, text)?, errors: Vec::new() };
    reader.read()
}

struct NodeFileReader<'a> {
    file: &'a str,
    items: Vec<IniItem>,
    errors: Vec<Error>,
}

impl NodeFileReader<'_> {
    fn read(mut self) -> Result<NodeSettings, Vec<Error>> {
        self.check_keys();
        let settings = self.settings();
        match settings {
            Some(settings) if self.errors.is_empty() => Ok(settings),
            _ => Err(self.errors),
        }
    }

    fn check_keys(&mut self) {
        for IniItem { section, key, line, .. } in &self.items {
            let known = SECTIONS.iter().find(|(name, _)| *name == section.as_str());
            let (problem, help) = match known {
                None => ("unknown section", suggestion(section, SECTIONS.iter().map(|(s, _)| *s))),
                Some(("offices", _)) => continue,
                Some((_, keys)) if !keys.contains(&key.as_str()) => {
                    ("unknown key", suggestion(key, keys.iter().copied()))
                }
                Some(_) => continue,
            };
            self.errors.push(error_at(self.file, *line, section, key, problem, help));
        }
    }

    fn settings(&mut self) -> Option<NodeSettings> {
        let node = self.required("node", "id", typed);
        let region = self.required("node", "region", typed);
        let centre = self.required("node", "data_centre", typed);
        let cluster = self.required("node", "cluster", cluster_name);
        let caller = self.required("listen", "caller", address);
        let peer = self.required("listen", "peer", address);
        let operator = self.required("listen", "operator", address);
        let metrics = self.required("listen", "metrics", address);
        let log = self.required("platform", "log", address);
        let control = self.required("platform", "vm_control", address);
        let peers = self.optional("peers", "addresses", addresses).unwrap_or_default();
        let key = self.required("peers", "key", |text| hex_key(text).map(PeerKey));
        let offices = self.offices();
        let level = self.optional("logging", "level", level).unwrap_or(LevelFilter::Info);
        let target = self.optional("logging", "target", target).unwrap_or_default();
        Some(NodeSettings {
            node: node?,
            region: region?,
            centre: centre?,
            cluster: cluster?,
            caller_address: caller?,
            peer_address: peer?,
            operator_address: operator?,
            metrics_address: metrics?,
            log_address: log?,
            control_address: control?,
            peer_addresses: peers,
            peer_key: key?,
            office_keys: offices,
            log_level: level,
            log_target: target,
        })
    }

    fn required<T, F>(&mut self, section: &str, key: &str, parse: F) -> Option<T>
    where
        F: Fn(&str) -> Result<T, CompactString>,
    {
        self.field(section, key, |fields| fields.required(key, &parse))
    }

    fn optional<T, F>(&mut self, section: &str, key: &str, parse: F) -> Option<T>
    where
        F: Fn(&str) -> Result<T, CompactString>,
    {
        self.field(section, key, |fields| fields.optional(key, &parse))
    }

    fn field<T, F>(&mut self, section: &str, key: &str, get: F) -> Option<T>
    where
        F: Fn(&mut FieldParser<'_>) -> Option<T>,
    {
        let items = self.items.iter().filter(|i| i.section == section);
        let first = items.clone().map(|i| i.line).min().unwrap_or(0);
        let item = items.clone().find(|i| i.key == key);
        let line = item.map_or(first, |i| i.line);
        let values: ObjectValues<'_> = items.map(|i| (i.key.as_str(), i.value.as_str())).collect();
        let mut fields = FieldParser::new(&values);
        let value = get(&mut fields);
        let errors = fields.errors.into_iter();
        let errors = errors.map(|e| error_at(self.file, line, section, key, e.problem, e.help));
        self.errors.extend(errors);
        value
    }

    fn offices(&mut self) -> BTreeMap<OfficeId, [u8; 32]> {
        let mut offices = BTreeMap::new();
        for item in self.items.iter().filter(|i| i.section == "offices") {
            let parsed = typed::<OfficeId>(&item.key)
                .and_then(|office| public_key(&item.value).map(|key| (office, key)));
            match parsed {
                Ok((office, key)) => drop(offices.insert(office, key)),
                Err(help) => {
                    let problem = format_compact!("invalid office or key `{}`", item.value);
                    let error = error_at(self.file, item.line, "offices", &item.key, problem, help);
                    self.errors.push(error);
                }
            }
        }
        if offices.is_empty() {
            let help = "add `[offices]` with a line `NAME = PUBLIC_KEY` for each office";
            self.errors.push(error_at(self.file, 0, "offices", "", "no office is listed", help));
        }
        offices
    }
}

fn cluster_name(text: &str) -> Result<CompactString, CompactString> {
    typed::<RegionId>(text).map(|id| id.as_str().into())
}

fn address(text: &str) -> Result<SocketAddr, CompactString> {
    text.trim().parse().map_err(|_| "use IP:PORT, such as `10.0.1.5:7001`".into())
}

fn addresses(text: &str) -> Result<Vec<SocketAddr>, CompactString> {
    text.split(',').filter(|item| !item.trim().is_empty()).map(address).collect()
}

fn level(text: &str) -> Result<LevelFilter, CompactString> {
    text.trim().parse().map_err(|_| "use off, error, warn, info, debug or trace".into())
}

fn target(text: &str) -> Result<LogTarget, CompactString> {
    match text.trim() {
        "stdout" => Ok(LogTarget::Stdout),
        "stderr" => Ok(LogTarget::Stderr),
        path if path.starts_with('/') => Ok(LogTarget::File(path.into())),
        _ => Err("use stdout, stderr or an absolute file name".into()),
    }
}
