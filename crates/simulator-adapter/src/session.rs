//! The instances in this process, which process one batch of events at a time. An instance is the decision module
//! (a [`Coordinator`]) of one simulated mixer.

use crate::error::AdapterError;
use crate::wire::{decode_batch, Batch, EndpointLists, Input, InstanceId, Reply};
use cottonhill_decisions::{Action, Coordinator, Event};
use cottonhill_mixer::settings;
use std::any::Any;
use std::collections::{BTreeMap, BTreeSet};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Instances and endpoint lists, retained between batches. Instances share nothing but the lists.
#[derive(Default)]
pub struct Session {
    instances: BTreeMap<InstanceId, Coordinator>,
    endpoint_lists: EndpointLists,
}

/// The events of one batch, grouped by instance.
#[derive(Default)]
struct Events {
    /// Instances in the order of their first record in the batch.
    order: Vec<InstanceId>,
    by_instance: BTreeMap<InstanceId, Vec<Event>>,
}

impl Session {
    /// Passes the events of one batch to their instances, in order, and returns the actions of all instances.
    ///
    /// # Errors
    /// A record can't be decoded, or the settings of an instance are invalid.
    pub fn process_batch(&mut self, batch: &Batch) -> Result<Reply, AdapterError> {
        let inputs = decode_batch(batch, &mut self.endpoint_lists)?;
        let events = self.start_and_stop(inputs)?;
        let mut reply = Reply::default();
        for instance in events.order {
            if let Some(events) = events.by_instance.get(&instance) {
                self.process_events(instance, batch.clock, events, &mut reply);
            }
        }
        Ok(reply)
    }

    /// Starts and stops instances and returns the events by instance. Events that precede the start or stop of their
    /// instance in the batch are dropped.
    fn start_and_stop(&mut self, inputs: Vec<(InstanceId, Input)>) -> Result<Events, AdapterError> {
        let mut events = Events::default();
        let mut seen = BTreeSet::new();
        for (instance, input) in inputs {
            match input {
                Input::Start { seed, settings } => {
                    self.start(instance, seed, &settings)?;
                    events.by_instance.insert(instance, Vec::new());
                }
                Input::Stop => {
                    self.instances.remove(&instance);
                    events.by_instance.remove(&instance);
                }
                Input::Event(event) => events.by_instance.entry(instance).or_default().push(event),
            }
            if seen.insert(instance) {
                events.order.push(instance);
            }
        }
        Ok(events)
    }

    fn start(
        &mut self,
        instance: InstanceId,
        seed: u64,
        settings: &str,
    ) -> Result<(), AdapterError> {
        let settings = settings::parse_decisions(settings)
            .map_err(|error| AdapterError::Settings(error.to_string()))?;
        self.instances
            .insert(instance, Coordinator::new(settings, seed));
        Ok(())
    }

    /// Passes events to an instance and appends its actions to the reply; drops the events if the instance is not running.
    /// If the decision module panics, the reply has a crash record in place of the actions. The instance then stays in
    /// use in the state that the panic left; `AssertUnwindSafe` accepts that.
    fn process_events(
        &mut self,
        instance: InstanceId,
        clock: u64,
        events: &[Event],
        reply: &mut Reply,
    ) {
        let Some(coordinator) = self.instances.get_mut(&instance) else {
            return;
        };
        let mut actions: Vec<Action> = Vec::new();
        let outcome = catch_unwind(AssertUnwindSafe(|| {
            coordinator.process_batch(clock, events, &mut actions);
        }));
        match outcome {
            Ok(()) => actions
                .iter()
                .for_each(|action| reply.push_action(instance, action)),
            Err(payload) => reply.push_crash(instance, &panic_message(payload.as_ref())),
        }
    }
}

fn panic_message(payload: &(dyn Any + Send)) -> String {
    if let Some(message) = payload.downcast_ref::<String>() {
        return message.clone();
    }
    match payload.downcast_ref::<&str>() {
        Some(message) => message.to_string(),
        None => "the decision module panicked without a text message".into(),
    }
}
