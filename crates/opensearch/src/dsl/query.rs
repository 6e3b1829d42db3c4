//! Query clauses.

use super::object::{field_clause_object, object, FieldClause};
use serde::de::{self, Deserializer, MapAccess, Visitor};
use serde::{Deserialize, Serialize};
use serde_json::{Number, Value};
use std::fmt;

/// A scalar to compare with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Scalar {
    Boolean(bool),
    Number(Number),
    Text(String),
}

/// A clause that is either a scalar or an object with the scalar and its options: clients send both forms.
macro_rules! scalar_or_object {
    ($name:ident, $key:literal, $field:ident: $type:ty, { $($option:ident: $option_type:ty),* $(,)? }) => {
        #[derive(Clone, Debug, PartialEq, Serialize)]
        pub struct $name {
            #[serde(rename = $key)]
            pub $field: $type,
            $(#[serde(skip_serializing_if = "Option::is_none")] pub $option: Option<$option_type>,)*
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                #[derive(Deserialize)]
                #[serde(deny_unknown_fields)]
                struct ObjectForm {
                    #[serde(rename = $key)]
                    $field: $type,
                    $(#[serde(default)] $option: Option<$option_type>,)*
                }
                // An untagged enum would hide the errors of the object form from the client.
                let value = Value::deserialize(deserializer)?;
                if value.is_object() {
                    let ObjectForm { $field, $($option),* } = serde_json::from_value(value).map_err(de::Error::custom)?;
                    Ok($name { $field, $($option),* })
                } else {
                    let $field = serde_json::from_value(value).map_err(de::Error::custom)?;
                    Ok($name { $field, $($option: None),* })
                }
            }
        }
    };
}

scalar_or_object!(Match, "query", query: Scalar, { operator: Operator, boost: f64 });
scalar_or_object!(Term, "value", value: Scalar, { boost: f64 });
scalar_or_object!(Prefix, "value", value: String, { boost: f64 });

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Operator {
    #[serde(alias = "OR")]
    Or,
    #[serde(alias = "AND")]
    And,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MatchAll {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub boost: Option<f64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MultiMatch {
    pub query: Scalar,
    pub fields: Vec<String>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Range {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gt: Option<Scalar>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gte: Option<Scalar>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lt: Option<Scalar>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lte: Option<Scalar>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub boost: Option<f64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Field {
    pub field: String,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ids {
    pub values: Vec<String>,
}

/// One clause or an array of clauses.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Clauses(pub Vec<Query>);

impl<'de> Deserialize<'de> for Clauses {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct ClausesVisitor;
        impl<'de> Visitor<'de> for ClausesVisitor {
            type Value = Clauses;

            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a clause or an array of clauses")
            }

            fn visit_seq<A: de::SeqAccess<'de>>(self, seq: A) -> Result<Clauses, A::Error> {
                Vec::deserialize(de::value::SeqAccessDeserializer::new(seq)).map(Clauses)
            }

            fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Clauses, A::Error> {
                Query::deserialize(de::value::MapAccessDeserializer::new(map))
                    .map(|clause| Clauses(vec![clause]))
            }
        }
        deserializer.deserialize_any(ClausesVisitor)
    }
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bool {
    #[serde(skip_serializing_if = "Clauses::is_empty")]
    pub must: Clauses,
    #[serde(skip_serializing_if = "Clauses::is_empty")]
    pub filter: Clauses,
    #[serde(skip_serializing_if = "Clauses::is_empty")]
    pub should: Clauses,
    #[serde(skip_serializing_if = "Clauses::is_empty")]
    pub must_not: Clauses,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub minimum_should_match: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub boost: Option<f64>,
}

impl Clauses {
    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConstantScore {
    pub filter: Box<Query>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub boost: Option<f64>,
}

/// The `function_score` clause with a weight as its only function: it multiplies the score of the query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FunctionScore {
    pub query: Box<Query>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub boost: Option<f64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Query {
    #[serde(deserialize_with = "object")]
    MatchAll(MatchAll),
    Match(FieldClause<Match>),
    #[serde(deserialize_with = "object")]
    MultiMatch(MultiMatch),
    Term(FieldClause<Term>),
    Terms(FieldClause<Vec<Scalar>>),
    #[serde(deserialize_with = "field_clause_object")]
    Range(FieldClause<Range>),
    #[serde(deserialize_with = "object")]
    Exists(Field),
    #[serde(deserialize_with = "object")]
    Ids(Ids),
    Prefix(FieldClause<Prefix>),
    #[serde(deserialize_with = "object")]
    Bool(Box<Bool>),
    #[serde(deserialize_with = "object")]
    ConstantScore(ConstantScore),
    #[serde(deserialize_with = "object")]
    FunctionScore(FunctionScore),
}
