//! Copies of settings records: checks signature, version, office and value, and puts the setting into force.

use std::collections::BTreeMap;

use compact_str::{CompactString, ToCompactString, format_compact};
use ed25519_dalek::VerifyingKey;

use cj_record::{SettingPath, SettingRecord, SignedSetting};
use cj_settings::{ObjectValues, PoolSettings, SettingsObject};
use cj_types::{OfficeId, Offset, PoolId, Version};

use super::{EntryResult, EntrySource, reject, truncate_reason};
use crate::{
    rules::{MAX_SETTING_BYTES, MAX_SETTING_VERDICTS},
    state::{SettingValue, SettingVerdict, State, VmPhase},
};

/// Largest sum of the guaranteed shares of a pool's classes, in percent.
const FULL_SHARE_PERCENT: u32 = 100;

impl State {
    /// Folds the copy of the next settings record. The entry is accepted even if the setting is rejected; the verdict
    /// on the setting is kept in `verdicts`.
    pub(super) fn copy_setting(
        &mut self,
        source: EntrySource<'_>,
        offset: Offset,
        payload: &[u8],
    ) -> EntryResult {
        if offset != self.settings_next {
            return reject(format_compact!("the next settings offset is {}", self.settings_next));
        }
        self.settings_next = offset.next();
        let mut path = None;
        let result = self.apply_setting(offset, payload, &mut path);
        let rejected = result.err().map(truncate_reason);
        let text = match &rejected {
            None => "in force".into(),
            Some(reason) => format_compact!("refused: {reason}"),
        };
        match &path {
            Some(path) => self.record_decision(source, path, text),
            None => self.record_decision(source, format_args!("settings {offset}"), text),
        }
        if self.verdicts.len() == MAX_SETTING_VERDICTS {
            self.verdicts.pop_front();
        }
        self.verdicts.push_back(SettingVerdict { offset, path, rejected });
        source.accepted()
    }

    /// Checks a settings record and puts it into force. Sets `path` once the signature is verified.
    fn apply_setting(
        &mut self,
        offset: Offset,
        payload: &[u8],
        path: &mut Option<SettingPath>,
    ) -> Result<(), CompactString> {
        if payload.len() > MAX_SETTING_BYTES {
            return reject("the record is larger than 16 KiB");
        }
        let signed = SignedSetting::decode(payload).map_err(|e| e.kind.to_compact_string())?;
        let (record, signer) = self.verify(&signed)?;
        *path = Some(record.path.clone());
        let version = self.settings.get(&record.path).map_or(Version(0), |s| s.version);
        if record.expected != version {
            return reject(format_compact!("stale: the version in force is {version}"));
        }
        if record.path.kind == "key" {
            self.rotate_key(&record, signer)?;
        } else {
            self.put_object(&record)?;
        }
        let value = SettingValue { value: record.value, version: version.next(), offset };
        self.settings.insert(record.path, value);
        Ok(())
    }

    /// Verifies the signature with the office's keys. Returns the record and the public key that verifies it.
    fn verify(&self, signed: &SignedSetting) -> Result<(SettingRecord, [u8; 32]), CompactString> {
        let Some(keys) = self.keys.get(&signed.office) else {
            return reject(format_compact!("office `{}` has no key", signed.office));
        };
        let mut reason = CompactString::from("no valid key of the office");
        for bytes in keys {
            let Ok(key) = VerifyingKey::from_bytes(bytes) else {
                continue;
            };
            match signed.verify(&key) {
                Ok(record) => return Ok((record, *bytes)),
                Err(error) => reason = error.kind.to_compact_string(),
            }
        }
        Err(reason)
    }

    /// Replaces the key that signed the record with the new key.
    fn rotate_key(
        &mut self,
        record: &SettingRecord,
        signer: [u8; 32],
    ) -> Result<(), CompactString> {
        let Some(text) = &record.value else {
            return reject("a key can be replaced but not removed");
        };
        let path = &record.path;
        let values = ObjectValues::from([(path.key.as_str(), text.as_str())]);
        let Some(SettingsObject::Key(new)) = parse_object(path, &values)? else {
            return reject("the record holds no key");
        };
        if self.keys.values().any(|keys| keys.contains(&new)) {
            return reject("the key is in use already");
        }
        let keys = self.keys.entry(path.office.clone()).or_default();
        keys.retain(|key| *key != signer);
        keys.push(new);
        Ok(())
    }

    /// Updates the object that the path belongs to, or removes it if it becomes incomplete.
    fn put_object(&mut self, record: &SettingRecord) -> Result<(), CompactString> {
        let path = &record.path;
        let mut values = self.object_values(path);
        match &record.value {
            Some(value) => drop(values.insert(&path.key, value)),
            None if values.remove(path.key.as_str()).is_none() => {
                return reject("the setting is not set");
            }
            None => {}
        }
        let object = parse_object(path, &values)?;
        self.check_owner(path)?;
        match object {
            Some(object) => {
                self.check_guarantees(&object)?;
                if let SettingsObject::Pool(id, pool) = &object {
                    self.bill_old_owner(id, pool);
                }
                self.fleet.insert(object);
            }
            None => self.remove_object(path)?,
        }
        Ok(())
    }

    /// Values in force for the object that the path belongs to.
    fn object_values(&self, path: &SettingPath) -> ObjectValues<'_> {
        let first = SettingPath { key: CompactString::default(), ..path.clone() };
        let is_same_object =
            |p: &SettingPath| p.office == path.office && p.kind == path.kind && p.name == path.name;
        let object = self.settings.range(first..).take_while(|(p, _)| is_same_object(p));
        let values = object.filter_map(|(p, s)| Some((p.key.as_str(), s.value.as_deref()?)));
        values.collect()
    }

    fn check_owner(&self, path: &SettingPath) -> Result<(), CompactString> {
        match self.fleet.owning_office(&path.kind, &path.name) {
            Some(owner) if *owner != path.office => {
                reject(format_compact!("{} `{}` is of office `{owner}`", path.kind, path.name))
            }
            _ => Ok(()),
        }
    }

    fn check_guarantees(&self, object: &SettingsObject) -> Result<(), CompactString> {
        match object {
            SettingsObject::Pool(id, pool) => {
                let size = self.owned_size(id);
                if size > 0 && pool.min_available > size {
                    let min = pool.min_available;
                    return reject(format_compact!("min_available {min} exceeds {size} VMs"));
                }
                let share = |class| self.fleet.classes.get(class).map_or(0, |c| c.share.0);
                check_shares(id, pool.classes.iter().map(share).sum())
            }
            SettingsObject::Class(id, class) => {
                let share = |other| match other == id {
                    true => class.share.0,
                    false => self.fleet.classes.get(other).map_or(0, |c| c.share.0),
                };
                let mut pools = self.fleet.pools.iter().filter(|(_, p)| p.classes.contains(id));
                pools
                    .try_for_each(|(p, pool)| check_shares(p, pool.classes.iter().map(share).sum()))
            }
            _ => Ok(()),
        }
    }

    /// Number of VMs that belong to the pool, including those lent to others and excluding borrowed ones and those out
    /// of rotation.
    fn owned_size(&self, pool: &PoolId) -> u32 {
        let is_owned = |vm: &&crate::state::Vm| vm.home.as_ref().unwrap_or(&vm.pool) == pool;
        let owned = self.vms.values().filter(is_owned);
        owned.filter(|vm| !matches!(vm.phase, VmPhase::OutOfRotation { .. })).count() as u32
    }

    fn remove_object(&mut self, path: &SettingPath) -> Result<(), CompactString> {
        let in_force = self.fleet.owning_office(&path.kind, &path.name).is_some();
        if in_force && path.kind == "pool" {
            let pool: PoolId = path.name.parse().map_err(|_| "invalid pool name")?;
            let size = self.members(&pool).count();
            if size > 0 {
                return reject(format_compact!("the pool still has {size} VMs"));
            }
        }
        if in_force {
            self.fleet.remove(&path.kind, &path.name);
        }
        Ok(())
    }

    fn bill_old_owner(&mut self, id: &PoolId, new: &PoolSettings) {
        let old = self.fleet.pools.get(id);
        if old.is_some_and(|old| old.owner != new.owner) {
            self.bill_pool(id);
        }
    }

    /// Rebuilds the typed settings from the values in force, to check the incremental updates.
    pub(crate) fn rebuild_fleet(&self) -> cj_settings::FleetSettings {
        let mut objects: BTreeMap<(&OfficeId, &str, &str), ObjectValues<'_>> = BTreeMap::new();
        for (path, setting) in &self.settings {
            if let Some(value) = &setting.value {
                let key = (&path.office, path.kind.as_str(), path.name.as_str());
                objects.entry(key).or_default().insert(&path.key, value);
            }
        }
        let mut fleet = cj_settings::FleetSettings::default();
        for ((office, kind, name), values) in objects {
            if let Ok(Some(object)) = SettingsObject::parse_if_complete(office, kind, name, &values)
            {
                fleet.insert(object);
            }
        }
        fleet
    }
}

fn check_shares(pool: &PoolId, total: u32) -> Result<(), CompactString> {
    if total > FULL_SHARE_PERCENT {
        return reject(format_compact!("shares in pool `{pool}` add up to {total}%"));
    }
    Ok(())
}

fn parse_object(
    path: &SettingPath,
    values: &ObjectValues<'_>,
) -> Result<Option<SettingsObject>, CompactString> {
    SettingsObject::parse_if_complete(&path.office, &path.kind, &path.name, values).map_err(
        |errors| {
            let text: Vec<String> =
                errors.iter().map(|e| format!("`{}`: {}; {}", e.key, e.problem, e.help)).collect();
            text.join(", ").into()
        },
    )
}
