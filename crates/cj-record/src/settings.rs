//! Records of the `settings` stream: a new value of one setting, signed with the key of the office that owns it.

use std::{fmt, str::FromStr};

use compact_str::CompactString;
use ed25519_dalek::{Signature, Signer, SigningKey, Verifier, VerifyingKey};
use serde::{Deserialize, Serialize};

use cj_types::{Error, OfficeId, Result, Version};

/// Path of a setting: `OFFICE/KIND/NAME/KEY`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SettingPath {
    /// Office that owns the subtree.
    pub office: OfficeId,
    /// Kind of object, such as `pool`.
    pub kind: CompactString,
    /// Name of the object.
    pub name: CompactString,
    /// Key within the object.
    pub key: CompactString,
}

impl fmt::Display for SettingPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}/{}", self.office, self.kind, self.name, self.key)
    }
}

impl FromStr for SettingPath {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let parts: Vec<&str> = text.split('/').collect();
        let [office, kind, name, key] = parts[..] else {
            return Err(Error::invalid("setting path", text, "use OFFICE/KIND/NAME/KEY"));
        };
        if [kind, name, key].iter().any(|p| p.is_empty()) {
            return Err(Error::invalid("setting path", text, "no part may be empty"));
        }
        Ok(SettingPath {
            office: office.parse()?,
            kind: kind.into(),
            name: name.into(),
            key: key.into(),
        })
    }
}

/// A new value for one setting.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingRecord {
    /// Path of the setting.
    pub path: SettingPath,
    /// New value; `None` removes the setting.
    pub value: Option<CompactString>,
    /// Version of the setting that the publisher based the change on; 0 for a setting that was never set.
    pub expected: Version,
    /// Random number that distinguishes two publications of the same value.
    pub nonce: u64,
}

/// A settings record with the signature of its office.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignedSetting {
    /// Encoded [`SettingRecord`]; the signature covers exactly these bytes.
    pub body: Vec<u8>,
    /// Office whose key signed the record.
    pub office: OfficeId,
    /// ed25519 signature, 64 bytes.
    pub signature: Vec<u8>,
}

impl SignedSetting {
    /// Signs a record with the key of its office. Fails when the record can't be encoded.
    pub fn sign(record: &SettingRecord, key: &SigningKey) -> Result<Self> {
        let body = encode(record)?;
        let signature = key.sign(&body).to_vec();
        Ok(SignedSetting { body, office: record.path.office.clone(), signature })
    }

    /// Verifies the signature and returns the record. Fails when the signature is invalid, when the body can't be
    /// decoded or when the path is outside the subtree of the signing office.
    pub fn verify(&self, key: &VerifyingKey) -> Result<SettingRecord> {
        let invalid = |problem: &str| Error::decode("settings record", problem);
        let signature =
            Signature::from_slice(&self.signature).map_err(|_| invalid("malformed signature"))?;
        key.verify(&self.body, &signature)
            .map_err(|_| invalid("signature does not match the office's key"))?;
        let record: SettingRecord =
            postcard::from_bytes(&self.body).map_err(|e| invalid(&e.to_string()))?;
        if record.path.office != self.office {
            return Err(invalid("path is outside the office's subtree"));
        }
        Ok(record)
    }

    /// Encodes the signed record for the log.
    pub fn encode(&self) -> Result<Vec<u8>> {
        encode(self)
    }

    /// Decodes a record of the `settings` stream without verifying it.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        postcard::from_bytes(bytes).map_err(|e| Error::decode("settings record", e.to_string()))
    }
}

fn encode<T>(value: &T) -> Result<Vec<u8>>
where
    T: Serialize,
{
    postcard::to_stdvec(value).map_err(|e| Error::decode("settings record", e.to_string()))
}
