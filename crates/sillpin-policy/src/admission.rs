//! Orders waiting requests while all engines are full.
//!
//! Requests wait in the entry box, not at the engines. They are ordered by priority class, and
//! within a class by weighted fair queueing over organisations (start-time fair queueing:
//! consecutive requests of an organisation are spaced by their cost divided by its weight, and the
//! request with the smallest start time is next). An organisation that sends too much therefore
//! delays only itself.

use sillpin_core::{OrgId, PriorityClass};
use std::collections::{BTreeMap, HashMap};

/// Position of a request in the queue; sorts by class, start time and order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    class: PriorityClass,
    start: u64,
    number: u64,
}

/// Cost of a waiting request in microseconds of engine time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cost(pub u64);

struct Waiting<T> {
    org: OrgId,
    cost: Cost,
    spacing: u64,
    item: T,
}

/// Weight at which a request is spaced by exactly its cost.
const UNIT_WEIGHT: u64 = 100;

/// Queue of waiting requests in the order in which they are served.
pub struct FairQueue<T> {
    waiting: BTreeMap<Ticket, Waiting<T>>,
    finish: HashMap<(PriorityClass, OrgId), u64>,
    virtual_time: [u64; PriorityClass::ALL.len()],
    numbers: u64,
    cost: [u64; PriorityClass::ALL.len()],
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            finish: HashMap::new(),
            virtual_time: Default::default(),
            numbers: 0,
            cost: Default::default(),
        }
    }
}

impl<T> FairQueue<T> {
    /// Adds a request of an organisation with `weight`.
    pub fn push(
        &mut self,
        class: PriorityClass,
        org: OrgId,
        weight: u32,
        cost: Cost,
        item: T,
    ) -> Ticket {
        let rank = usize::from(class.rank());
        let finish = self.finish.entry((class, org.clone())).or_default();
        let start = (*finish).max(self.virtual_time[rank]);
        let spacing = cost.0 * UNIT_WEIGHT / u64::from(weight.max(1));
        *finish = start + spacing;
        self.numbers += 1;
        self.cost[rank] += cost.0;
        let number = self.numbers;
        let ticket = Ticket {
            class,
            start,
            number,
        };
        self.waiting.insert(
            ticket,
            Waiting {
                org,
                cost,
                spacing,
                item,
            },
        );
        ticket
    }

    /// Removes and returns the request that is served next.
    pub fn pop(&mut self) -> Option<T> {
        let ticket = *self.waiting.first_key_value()?.0;
        self.take(ticket)
    }

    /// Returns the waiting requests in the order in which they are served.
    pub fn tickets(&self) -> impl Iterator<Item = Ticket> {
        self.waiting.keys().copied()
    }

    /// Returns a waiting request.
    pub fn get(&self, ticket: Ticket) -> Option<&T> {
        self.waiting.get(&ticket).map(|w| &w.item)
    }

    /// Removes a request that is served now, possibly ahead of requests that cannot be served yet.
    pub fn take(&mut self, ticket: Ticket) -> Option<T> {
        let waiting = self.waiting.remove(&ticket)?;
        let rank = usize::from(ticket.class.rank());
        let new_time = self.first_start(ticket.class).unwrap_or(ticket.start);
        let new_time = new_time.min(ticket.start);
        self.virtual_time[rank] = self.virtual_time[rank].max(new_time);
        self.cost[rank] -= waiting.cost.0;
        if self.waiting.is_empty() {
            self.finish.clear();
        }
        Some(waiting.item)
    }

    /// Returns the start time of the first waiting request of a class. Virtual time never passes
    /// it: a request that is served ahead of others must not delay later requests of other
    /// organisations behind its own organisation's queue.
    fn first_start(&self, class: PriorityClass) -> Option<u64> {
        let from = Ticket {
            class,
            start: 0,
            number: 0,
        };
        let (first, _) = self.waiting.range(from..).next()?;
        (first.class == class).then_some(first.start)
    }

    /// Removes a request that will not be served, and refunds its cost to its organisation.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        let waiting = self.waiting.remove(&ticket)?;
        let rank = usize::from(ticket.class.rank());
        self.cost[rank] -= waiting.cost.0;
        let org_key = (ticket.class, waiting.org);
        if let Some(finish) = self.finish.get_mut(&org_key) {
            *finish = finish.saturating_sub(waiting.spacing);
        }
        Some(waiting.item)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the engine time of all waiting requests that would be served before a new request of
    /// `class` and `org`.
    pub fn cost_before(&self, class: PriorityClass, org: &OrgId) -> Cost {
        let rank = usize::from(class.rank());
        let start = self.finish.get(&(class, org.clone())).copied().unwrap_or(0);
        let start = start.max(self.virtual_time[rank]);
        let more_urgent: u64 = self.cost[..rank].iter().sum();
        let same_class = self.waiting.iter().filter(|(t, _)| t.class == class);
        let earlier = same_class.filter(|(t, _)| t.start <= start);
        Cost(more_urgent + earlier.map(|(_, w)| w.cost.0).sum::<u64>())
    }
}
