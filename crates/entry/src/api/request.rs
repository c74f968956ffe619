//! Parses and validates a caller's submission.

use std::collections;
use std::sync;
use std::time;

use serde_json::value;

/// Limits of a submission's start deadline.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest start deadline that is accepted.
    pub max_deadline: time::Duration,
    /// Start deadline of a submission without one.
    pub default_deadline: time::Duration,
}

/// A validated submission.
#[derive(Clone, Debug)]
pub struct Request {
    /// The task to run.
    pub spec: model::TaskSpec,
    /// Whether the caller waits for the outcome.
    pub wait: bool,
}

/// An invalid field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError {
    /// Name of the field; empty for the whole body.
    pub field: String,
    /// What was expected.
    pub expected: String,
}

const FIELDS: &[&str] = &[
    "kind",
    "class",
    "processors_milli",
    "memory_mb",
    "accelerators",
    "members",
    "urgency",
    "deadline_ms",
    "repeatable",
    "key",
    "declared_run_ms",
    "wait",
    "body",
];
const MAX_KIND_BYTES: usize = 64;
const MAX_KEY_BYTES: usize = 128;
const MIN_MEMBERS: u64 = 2;
const MAX_MEMBERS: u64 = 1024;
const MAX_RESOURCE: u64 = 1 << 30;
const MAX_DECLARED_RUN_MS: u64 = 30 * 24 * 3600 * 1000;

type RawFields<'a> = collections::BTreeMap<String, &'a value::RawValue>;

/// Parses and validates a submission.
///
/// # Errors
///
/// Returns every invalid field.
pub fn parse(bytes: &[u8], limits: Limits) -> Result<Request, Vec<FieldError>> {
    let fields: RawFields<'_> = serde_json::from_slice(bytes)
        .map_err(|_| vec![field_error("", "a JSON object with the fields of a task")])?;
    let mut reader = FieldReader {
        fields,
        errors: Vec::new(),
    };
    reader.check_field_names();
    let request = reader.request(limits);
    if reader.errors.is_empty() {
        Ok(request)
    } else {
        Err(reader.errors)
    }
}

fn field_error(field: &str, expected: impl Into<String>) -> FieldError {
    FieldError {
        field: field.to_owned(),
        expected: expected.into(),
    }
}

struct FieldReader<'a> {
    fields: RawFields<'a>,
    errors: Vec<FieldError>,
}

impl FieldReader<'_> {
    fn check_field_names(&mut self) {
        for name in self.fields.keys() {
            if !FIELDS.contains(&name.as_str()) {
                let expected = format!("one of {}", FIELDS.join(", "));
                self.errors.push(field_error(name, expected));
            }
        }
    }

    fn request(&mut self, limits: Limits) -> Request {
        let class = self.class();
        let repeatable = self.boolean("repeatable", true);
        let spec = model::TaskSpec {
            kind: self.text("kind", MAX_KIND_BYTES).unwrap_or_default().into(),
            class,
            demand: self.demand(),
            members: self.members(class),
            urgency: self.urgency(),
            deadline_ms: self.deadline_ms(limits),
            repeatable,
            key: self.key(repeatable),
            declared_run_ms: self.optional_integer("declared_run_ms", 1, MAX_DECLARED_RUN_MS),
            body: self.body(),
        };
        let wait = self.boolean("wait", class != model::Class::Service);
        if wait && class == model::Class::Service {
            self.errors
                .push(field_error("wait", "false for class service"));
        }
        Request { spec, wait }
    }

    fn read<T: serde::de::DeserializeOwned>(&mut self, field: &str, expected: &str) -> Option<T> {
        let raw = self.fields.get(field)?;
        match serde_json::from_str(raw.get()) {
            Ok(value) => Some(value),
            Err(_) => {
                self.errors.push(field_error(field, expected));
                None
            }
        }
    }

    fn optional_integer(&mut self, field: &str, least: u64, most: u64) -> Option<u64> {
        let expected = format!("a whole number from {least} to {most}");
        let value: u64 = self.read(field, &expected)?;
        if (least..=most).contains(&value) {
            return Some(value);
        }
        self.errors.push(field_error(field, expected));
        None
    }

    fn resource(&mut self, field: &str) -> u32 {
        let value = self.optional_integer(field, 0, MAX_RESOURCE).unwrap_or(0);
        u32::try_from(value).unwrap_or(u32::MAX)
    }

    fn demand(&mut self) -> model::Demand {
        model::Demand {
            processors_milli: self.resource("processors_milli"),
            memory_mb: self.resource("memory_mb"),
            accelerators: self.resource("accelerators"),
        }
    }

    fn boolean(&mut self, field: &str, default: bool) -> bool {
        self.read(field, "true or false").unwrap_or(default)
    }

    fn text(&mut self, field: &str, max_bytes: usize) -> Option<String> {
        let expected = format!("a text of 1 to {max_bytes} printable characters");
        if !self.fields.contains_key(field) {
            self.errors.push(field_error(field, expected));
            return None;
        }
        let text: String = self.read(field, &expected)?;
        let printable = text.chars().all(|c| !c.is_control());
        if text.is_empty() || text.len() > max_bytes || !printable {
            self.errors.push(field_error(field, expected));
            return None;
        }
        Some(text)
    }

    fn class(&mut self) -> model::Class {
        const EXPECTED: &str = "one of service, batch, gang";
        self.read("class", EXPECTED).unwrap_or(model::Class::Batch)
    }

    fn urgency(&mut self) -> model::Urgency {
        self.read("urgency", "one of urgent, normal")
            .unwrap_or_default()
    }

    fn members(&mut self, class: model::Class) -> u16 {
        if class == model::Class::Gang {
            self.gang_members()
        } else {
            self.single_member()
        }
    }

    fn gang_members(&mut self) -> u16 {
        if !self.fields.contains_key("members") {
            let expected =
                format!("a whole number from {MIN_MEMBERS} to {MAX_MEMBERS} for class gang");
            self.errors.push(field_error("members", expected));
        }
        let members = self.optional_integer("members", MIN_MEMBERS, MAX_MEMBERS);
        u16::try_from(members.unwrap_or(MIN_MEMBERS)).unwrap_or(u16::MAX)
    }

    fn single_member(&mut self) -> u16 {
        const EXPECTED: &str = "1, because class is not gang";
        if self
            .read("members", EXPECTED)
            .is_some_and(|members: u64| members != 1)
        {
            self.errors.push(field_error("members", EXPECTED));
        }
        1
    }

    fn deadline_ms(&mut self, limits: Limits) -> u64 {
        let most = limits.max_deadline.as_millis() as u64;
        self.optional_integer("deadline_ms", 1, most)
            .unwrap_or(limits.default_deadline.as_millis() as u64)
    }

    fn key(&mut self, repeatable: bool) -> Option<String> {
        if self.fields.contains_key("key") {
            return self.text("key", MAX_KEY_BYTES);
        }
        if !repeatable {
            let expected = "an idempotency key, because repeatable is false";
            self.errors.push(field_error("key", expected));
        }
        None
    }

    fn body(&mut self) -> sync::Arc<str> {
        self.fields
            .get("body")
            .map_or("null", |raw| raw.get())
            .into()
    }
}
