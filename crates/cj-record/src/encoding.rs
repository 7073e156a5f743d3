//! Encoding of entries: the number of the kind and a length-prefixed body. This lets a node skip an entry whose kind or
//! fields it doesn't know and still read the other entries of the batch.

use std::{borrow::Cow, fmt};

use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{
        self, DeserializeSeed, EnumAccess, IntoDeserializer, Visitor, value::EnumAccessDeserializer,
    },
    ser::{Error as _, SerializeTuple},
};

use crate::entry::Entry;

/// Serializes an entry with the derived implementation: variant number and fields.
struct DerivedEncoding<'a>(&'a Entry);

impl Serialize for DerivedEncoding<'_> {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        Entry::serialize(self.0, serializer)
    }
}

struct Body<'a>(Cow<'a, [u8]>);

impl Serialize for Body<'_> {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Body<'de> {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_bytes(BodyVisitor)
    }
}

struct BodyVisitor;

impl<'de> Visitor<'de> for BodyVisitor {
    type Value = Body<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the body of an entry")
    }

    fn visit_borrowed_bytes<E>(self, bytes: &'de [u8]) -> Result<Body<'de>, E> {
        Ok(Body(Cow::Borrowed(bytes)))
    }

    fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Body<'de>, E> {
        Ok(Body(Cow::Owned(bytes.to_vec())))
    }

    fn visit_byte_buf<E>(self, bytes: Vec<u8>) -> Result<Body<'de>, E> {
        Ok(Body(Cow::Owned(bytes)))
    }
}

impl Serialize for Entry {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        let encoded;
        let (kind, body) = match self {
            Entry::Unknown { kind, body } => (*kind, body.as_slice()),
            known => {
                encoded = postcard::to_stdvec(&DerivedEncoding(known)).map_err(S::Error::custom)?;
                let parts = postcard::take_from_bytes::<u32>(&encoded);
                let (number, body) = parts.map_err(S::Error::custom)?;
                (number.try_into().map_err(S::Error::custom)?, body)
            }
        };
        let mut tuple = serializer.serialize_tuple(2)?;
        tuple.serialize_element(&kind)?;
        tuple.serialize_element(&Body(body.into()))?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for Entry {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let (kind, body) = <(u16, Body<'de>)>::deserialize(deserializer)?;
        let decoded = decode_body(kind, &body.0);
        Ok(decoded.unwrap_or_else(|| Entry::Unknown { kind, body: body.0.into_owned() }))
    }
}

/// Decodes the body of a known kind. Returns `None` for an unknown kind, and for a body that doesn't match the kind
/// exactly and therefore comes from another software version.
fn decode_body(kind: u16, body: &[u8]) -> Option<Entry> {
    let mut body = postcard::Deserializer::from_bytes(body);
    let access = EntryAccess { kind, body: &mut body };
    let entry = Entry::deserialize(EnumAccessDeserializer::new(access)).ok()?;
    body.finalize().ok()?.is_empty().then_some(entry)
}

type BodyDeserializer<'a, 'de> =
    &'a mut postcard::Deserializer<'de, postcard::de_flavors::Slice<'de>>;

/// Passes the variant number and the bytes of its fields to the derived implementation.
struct EntryAccess<'a, 'de> {
    kind: u16,
    body: BodyDeserializer<'a, 'de>,
}

impl<'a, 'de> EnumAccess<'de> for EntryAccess<'a, 'de> {
    type Error = postcard::Error;
    type Variant = BodyDeserializer<'a, 'de>;

    fn variant_seed<V>(self, seed: V) -> Result<(V::Value, Self::Variant), postcard::Error>
    where
        V: DeserializeSeed<'de>,
    {
        let number: de::value::U32Deserializer<postcard::Error> =
            u32::from(self.kind).into_deserializer();
        Ok((seed.deserialize(number)?, self.body))
    }
}
