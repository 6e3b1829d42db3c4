//! The order of hits.

use super::object::Of;
use serde::de::{self, Deserializer};
use serde::{Deserialize, Serialize};
use serde_json::Value;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Order {
    #[default]
    Asc,
    Desc,
}

/// One key to sort by; `_score` is one, too.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "Of<Order>")]
pub struct SortKey {
    pub field: String,
    pub order: Order,
}

impl From<SortKey> for Of<Order> {
    fn from(key: SortKey) -> Of<Order> {
        Of {
            field: key.field,
            what: key.order,
        }
    }
}

impl<'de> Deserialize<'de> for SortKey {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(deny_unknown_fields)]
        struct Long {
            #[serde(default)]
            order: Option<Order>,
        }
        let value = Value::deserialize(deserializer)?;
        let natural = |field: &str| {
            if field == "_score" {
                Order::Desc
            } else {
                Order::Asc
            }
        };
        if let Value::String(field) = value {
            let order = natural(&field);
            return Ok(SortKey { field, order });
        }
        let Of { field, what }: Of<Value> =
            serde_json::from_value(value).map_err(de::Error::custom)?;
        let order = if what.is_object() {
            let Long { order } = serde_json::from_value(what).map_err(de::Error::custom)?;
            order.unwrap_or_else(|| natural(&field))
        } else {
            serde_json::from_value(what).map_err(de::Error::custom)?
        };
        Ok(SortKey { field, order })
    }
}
