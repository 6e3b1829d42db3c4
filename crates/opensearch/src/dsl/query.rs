//! Query clauses.

use super::object::{object, of_object, Of};
use serde::de::{self, Deserializer, MapAccess, Visitor};
use serde::{Deserialize, Serialize};
use serde_json::{Number, Value};
use std::fmt;

/// A plain value to compare with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Scalar {
    Flag(bool),
    Number(Number),
    Text(String),
}

/// Either the value alone or an object that holds it: both are written in the field.
macro_rules! short_or_long {
    ($name:ident, $key:literal, $field:ident: $type:ty, { $($more:ident: $of:ty),* $(,)? }) => {
        #[derive(Clone, Debug, PartialEq, Serialize)]
        pub struct $name {
            #[serde(rename = $key)]
            pub $field: $type,
            $(#[serde(skip_serializing_if = "Option::is_none")] pub $more: Option<$of>,)*
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                #[derive(Deserialize)]
                #[serde(deny_unknown_fields)]
                struct Long {
                    #[serde(rename = $key)]
                    $field: $type,
                    $(#[serde(default)] $more: Option<$of>,)*
                }
                // An object is the long form; its own errors are what the client should see.
                let value = Value::deserialize(deserializer)?;
                if value.is_object() {
                    let Long { $field, $($more),* } = serde_json::from_value(value).map_err(de::Error::custom)?;
                    Ok($name { $field, $($more),* })
                } else {
                    let $field = serde_json::from_value(value).map_err(de::Error::custom)?;
                    Ok($name { $field, $($more: None),* })
                }
            }
        }
    };
}

short_or_long!(Match, "query", query: Scalar, { operator: Operator, boost: f64 });
short_or_long!(Term, "value", value: Scalar, { boost: f64 });
short_or_long!(Prefix, "value", value: String, { boost: f64 });

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
pub struct Empty {
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

/// One clause, or several.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Clauses(pub Vec<Query>);

impl<'de> Deserialize<'de> for Clauses {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct OneOrMore;
        impl<'de> Visitor<'de> for OneOrMore {
            type Value = Clauses;

            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a clause or an array of clauses")
            }

            fn visit_seq<A: de::SeqAccess<'de>>(self, seq: A) -> Result<Clauses, A::Error> {
                Vec::deserialize(de::value::SeqAccessDeserializer::new(seq)).map(Clauses)
            }

            fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Clauses, A::Error> {
                Query::deserialize(de::value::MapAccessDeserializer::new(map))
                    .map(|one| Clauses(vec![one]))
            }
        }
        deserializer.deserialize_any(OneOrMore)
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

/// As far as it is plain: a query whose score is multiplied.
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
    MatchAll(Empty),
    Match(Of<Match>),
    #[serde(deserialize_with = "object")]
    MultiMatch(MultiMatch),
    Term(Of<Term>),
    Terms(Of<Vec<Scalar>>),
    #[serde(deserialize_with = "of_object")]
    Range(Of<Range>),
    #[serde(deserialize_with = "object")]
    Exists(Field),
    #[serde(deserialize_with = "object")]
    Ids(Ids),
    Prefix(Of<Prefix>),
    #[serde(deserialize_with = "object")]
    Bool(Box<Bool>),
    #[serde(deserialize_with = "object")]
    ConstantScore(ConstantScore),
    #[serde(deserialize_with = "object")]
    FunctionScore(FunctionScore),
}
