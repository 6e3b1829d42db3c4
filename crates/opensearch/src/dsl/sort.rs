//! The sort keys of a search.

use super::object::FieldClause;
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

/// One sort key: a field, or `_score`.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "FieldClause<Order>")]
pub struct SortKey {
    pub field: String,
    pub order: Order,
}

impl From<SortKey> for FieldClause<Order> {
    fn from(key: SortKey) -> FieldClause<Order> {
        FieldClause {
            field: key.field,
            value: key.order,
        }
    }
}

impl<'de> Deserialize<'de> for SortKey {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(deny_unknown_fields)]
        struct ObjectForm {
            #[serde(default)]
            order: Option<Order>,
        }
        let value = Value::deserialize(deserializer)?;
        let default_order = |field: &str| {
            if field == "_score" {
                Order::Desc
            } else {
                Order::Asc
            }
        };
        if let Value::String(field) = value {
            let order = default_order(&field);
            return Ok(SortKey { field, order });
        }
        let FieldClause { field, value }: FieldClause<Value> =
            serde_json::from_value(value).map_err(de::Error::custom)?;
        let order = if value.is_object() {
            let ObjectForm { order } = serde_json::from_value(value).map_err(de::Error::custom)?;
            order.unwrap_or_else(|| default_order(&field))
        } else {
            serde_json::from_value(value).map_err(de::Error::custom)?
        };
        Ok(SortKey { field, order })
    }
}
