//! Whose request goes next when the engines are full, and which request is refused at once.
//!
//! Requests wait in the entry box, not at the engines: by class first, and within a class by
//! weighted fair queueing over organisations (start-time fair queueing: each organisation's
//! requests are spaced by their cost over its weight, and the earliest goes first). So a noisy
//! organisation waits behind its own requests and not before others'.

use sillpin_core::{OrgId, PriorityClass};
use std::collections::{BTreeMap, HashMap};

/// A request's place in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    class: PriorityClass,
    start: u64,
    number: u64,
}

/// What a waiting request costs, in microseconds of engine time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cost(pub u64);

struct Waiting<T> {
    org: OrgId,
    cost: Cost,
    spacing: u64,
    item: T,
}

/// Weight against which costs are scaled.
const UNIT_WEIGHT: u64 = 100;

/// Requests that wait, in the order in which they go.
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

    /// Takes out the request that goes next.
    pub fn pop(&mut self) -> Option<T> {
        let ticket = *self.waiting.first_key_value()?.0;
        self.take(ticket)
    }

    /// Waiting requests in the order in which they go.
    pub fn tickets(&self) -> impl Iterator<Item = Ticket> {
        self.waiting.keys().copied()
    }

    /// A waiting request.
    pub fn get(&self, ticket: Ticket) -> Option<&T> {
        self.waiting.get(&ticket).map(|w| &w.item)
    }

    /// Takes out a request that goes now, also before others that cannot go yet.
    pub fn take(&mut self, ticket: Ticket) -> Option<T> {
        let waiting = self.waiting.remove(&ticket)?;
        let rank = usize::from(ticket.class.rank());
        let reached = self.first_start(ticket.class).unwrap_or(ticket.start);
        let reached = reached.min(ticket.start);
        self.virtual_time[rank] = self.virtual_time[rank].max(reached);
        self.cost[rank] -= waiting.cost.0;
        if self.waiting.is_empty() {
            self.finish.clear();
        }
        Some(waiting.item)
    }

    /// Start of the request of a class that goes next. Virtual time never passes it: a request that
    /// goes ahead of others must not put later ones behind its own organisation's queue.
    fn first_start(&self, class: PriorityClass) -> Option<u64> {
        let from = Ticket {
            class,
            start: 0,
            number: 0,
        };
        let (first, _) = self.waiting.range(from..).next()?;
        (first.class == class).then_some(first.start)
    }

    /// Takes a request out before its turn.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        let waiting = self.waiting.remove(&ticket)?;
        let rank = usize::from(ticket.class.rank());
        self.cost[rank] -= waiting.cost.0;
        let unused = (ticket.class, waiting.org);
        if let Some(finish) = self.finish.get_mut(&unused) {
            *finish = finish.saturating_sub(waiting.spacing);
        }
        Some(waiting.item)
    }

    /// Requests waiting.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Engine time of all waiting requests that go before a new one of `class` and `org`.
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
