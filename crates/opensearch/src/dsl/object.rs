//! Objects of a fixed form, read strictly.

use serde::de::{self, Deserializer, MapAccess, Visitor};
use serde::ser::{SerializeMap, Serializer};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::marker::PhantomData;

/// One field with what is asked of it, as in `{"FIELD": ...}`.
#[derive(Clone, Debug, PartialEq)]
pub struct Of<T> {
    pub field: String,
    pub what: T,
}

impl<T: Serialize> Serialize for Of<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(Some(1))?;
        map.serialize_entry(&self.field, &self.what)?;
        map.end()
    }
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Of<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct One<T>(PhantomData<T>);
        impl<'de, T: Deserialize<'de>> Visitor<'de> for One<T> {
            type Value = Of<T>;

            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("an object with one field")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Of<T>, A::Error> {
                let (field, what) = map
                    .next_entry()?
                    .ok_or_else(|| de::Error::invalid_length(0, &self))?;
                match map.next_key::<String>()? {
                    None => Ok(Of { field, what }),
                    Some(other) => Err(de::Error::custom(format!(
                        "one field is expected, and [{other}] is another"
                    ))),
                }
            }
        }
        deserializer.deserialize_map(One(PhantomData))
    }
}

/// An object and nothing else: an array would pass for one, its items for the fields in their order.
pub(super) struct Object<T>(pub(super) T);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Object<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Only<T>(PhantomData<T>);
        impl<'de, T: Deserialize<'de>> Visitor<'de> for Only<T> {
            type Value = Object<T>;

            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("an object")
            }

            fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Object<T>, A::Error> {
                T::deserialize(de::value::MapAccessDeserializer::new(map)).map(Object)
            }
        }
        deserializer.deserialize_map(Only(PhantomData))
    }
}

pub(super) fn object<'de, D: Deserializer<'de>, T: Deserialize<'de>>(
    deserializer: D,
) -> Result<T, D::Error> {
    Object::deserialize(deserializer).map(|object| object.0)
}

pub(super) fn of_object<'de, D: Deserializer<'de>, T: Deserialize<'de>>(
    deserializer: D,
) -> Result<Of<T>, D::Error> {
    let Of { field, what } = Of::<Object<T>>::deserialize(deserializer)?;
    Ok(Of {
        field,
        what: what.0,
    })
}
