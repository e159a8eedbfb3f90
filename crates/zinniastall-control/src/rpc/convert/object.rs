//! Converts objects between the schema and the model, field by field.

use zinniastall_api::operator as api;
use zinniastall_model::{
    object::{self, Object, Subject},
    state,
};

use super::Error;

/// Generates both conversions of a type from one list of its fields, so that a new field cannot be
/// read and then be forgotten on writing. An empty string of the schema is an absent option.
macro_rules! convert {
    ($read:ident, $write:ident, $type:ident { $($copy:ident),* } optional { $($option:ident),* }) => {
        fn $read(given: api::$type) -> object::$type {
            object::$type {
                $($copy: given.$copy,)*
                $($option: non_empty(given.$option),)*
            }
        }

        fn $write(held: object::$type) -> api::$type {
            api::$type {
                $($copy: held.$copy,)*
                $($option: held.$option.unwrap_or_default(),)*
            }
        }
    };
}

convert!(read_client, write_client, Client { id, keys, weight, withdrawn } optional {});
convert!(read_model, write_model, Model { id, version, weights } optional {});
convert!(read_adapter, write_adapter, Adapter { id, model, version, weights } optional {});
convert!(read_residency, write_residency, Residency { id, client, regions } optional { subject });
convert!(
    read_role,
    write_role,
    Role { id, region, role, models, adapters } optional { zone, target }
);

fn non_empty(text: String) -> Option<String> {
    (!text.is_empty()).then_some(text)
}

/// Converts an object of the schema.
pub(in crate::rpc) fn object(object: Option<api::Object>) -> Result<Object, Error> {
    use api::object::Object as Api;
    let object = object.and_then(|object| object.object);
    Ok(match object.ok_or(Error::Missing("object"))? {
        Api::Client(client) => Object::Client(object::Client {
            // An absent weight arrives as 0 and counts as 1.
            weight: client.weight.max(1),
            ..read_client(client)
        }),
        Api::Route(route) => Object::Route(read_route(route)?),
        Api::Model(model) => Object::Model(read_model(model)),
        Api::Adapter(adapter) => Object::Adapter(read_adapter(adapter)),
        Api::Residency(rule) => Object::Residency(read_residency(rule)),
        Api::Role(role) => Object::Role(read_role(role)),
    })
}

fn read_route(route: api::Route) -> Result<object::Route, Error> {
    let subject = match route.serves.ok_or(Error::Missing("route.model"))? {
        api::route::Serves::Model(model) => Subject::Model(model),
        api::route::Serves::Service(service) => Subject::Service(service),
    };
    Ok(object::Route {
        id: route.id,
        prefix: route.prefix,
        subject,
        idempotent: route.idempotent,
    })
}

/// Converts a record of the model.
pub(in crate::rpc) fn record(record: &state::Record) -> api::Record {
    api::Record {
        revision: record.revision,
        object: Some(api::Object {
            object: Some(write_object(&record.object)),
        }),
    }
}

fn write_object(object: &Object) -> api::object::Object {
    use api::object::Object as Api;
    match object.clone() {
        Object::Client(client) => Api::Client(write_client(client)),
        Object::Route(route) => Api::Route(write_route(route)),
        Object::Model(model) => Api::Model(write_model(model)),
        Object::Adapter(adapter) => Api::Adapter(write_adapter(adapter)),
        Object::Residency(rule) => Api::Residency(write_residency(rule)),
        Object::Role(role) => Api::Role(write_role(role)),
    }
}

fn write_route(route: object::Route) -> api::Route {
    api::Route {
        id: route.id,
        prefix: route.prefix,
        idempotent: route.idempotent,
        serves: Some(match route.subject {
            Subject::Model(model) => api::route::Serves::Model(model),
            Subject::Service(service) => api::route::Serves::Service(service),
        }),
    }
}
