//! Strict deserialization of objects of a fixed form.

use serde::de::{self, Deserializer, MapAccess, Visitor};
use serde::ser::{SerializeMap, Serializer};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::marker::PhantomData;

/// A clause on one field, as in `{"FIELD": VALUE}`.
#[derive(Clone, Debug, PartialEq)]
pub struct FieldClause<T> {
    pub field: String,
    pub value: T,
}

impl<T: Serialize> Serialize for FieldClause<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(Some(1))?;
        map.serialize_entry(&self.field, &self.value)?;
        map.end()
    }
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for FieldClause<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct FieldClauseVisitor<T>(PhantomData<T>);
        impl<'de, T: Deserialize<'de>> Visitor<'de> for FieldClauseVisitor<T> {
            type Value = FieldClause<T>;

            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("an object with one field")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<FieldClause<T>, A::Error> {
                let (field, value) = map
                    .next_entry()?
                    .ok_or_else(|| de::Error::invalid_length(0, &self))?;
                match map.next_key::<String>()? {
                    None => Ok(FieldClause { field, value }),
                    Some(other) => Err(de::Error::custom(format!(
                        "one field is expected, and [{other}] is another"
                    ))),
                }
            }
        }
        deserializer.deserialize_map(FieldClauseVisitor(PhantomData))
    }
}

/// A value that has to be an object: a derived `Deserialize` would also accept an array, with its items as the fields in
/// their order.
pub(super) struct Object<T>(pub(super) T);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Object<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct ObjectVisitor<T>(PhantomData<T>);
        impl<'de, T: Deserialize<'de>> Visitor<'de> for ObjectVisitor<T> {
            type Value = Object<T>;

            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("an object")
            }

            fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Object<T>, A::Error> {
                T::deserialize(de::value::MapAccessDeserializer::new(map)).map(Object)
            }
        }
        deserializer.deserialize_map(ObjectVisitor(PhantomData))
    }
}

/// For `deserialize_with`: see [`Object`].
pub(super) fn object<'de, D: Deserializer<'de>, T: Deserialize<'de>>(
    deserializer: D,
) -> Result<T, D::Error> {
    Object::deserialize(deserializer).map(|object| object.0)
}

/// For `deserialize_with`: a field clause whose value has to be an object.
pub(super) fn field_clause_object<'de, D: Deserializer<'de>, T: Deserialize<'de>>(
    deserializer: D,
) -> Result<FieldClause<T>, D::Error> {
    let FieldClause { field, value } = FieldClause::<Object<T>>::deserialize(deserializer)?;
    Ok(FieldClause {
        field,
        value: value.0,
    })
}
