//! The workload of the scooter company's head office: disputes, whose prompts contain a rider's growing
//! history; replies to mechanics in Swahili or English; and bursts of unlocks and swaps that must not run twice.

use super::corpus::Part;
use super::{Action, Event, Plan, arrivals, zipf_index};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use sillpin_core::PriorityClass;
use sillpin_core::block::BLOCK_BYTES;

/// Initial number of blocks of a rider's history: the minimum, and the maximum of a random addition.
const HISTORY_BLOCKS: (usize, usize) = (3, 9);

/// Number of bytes by which a history grows with each dispute.
const GROWTH: usize = BLOCK_BYTES / 2;

/// Shares of the traffic, in percent: disputes and replies. The rest are unlocks and swaps.
const DISPUTES: u32 = 40;
const REPLIES: u32 = 25;

/// Exclusive upper bound of a random number; a burst has one unlock more than a third of it.
const BURST: u64 = 6;

/// Time between two calls of a burst, in microseconds.
const BURST_GAP_US: u64 = 3_000;

struct Rider {
    organisation: usize,
    number: u64,
    len: usize,
}

pub(super) fn events(plan: &Plan, mut rng: ChaCha8Rng) -> Vec<Event> {
    let mut riders: Vec<Rider> = (0..plan.prompts)
        .map(|number| Rider {
            organisation: zipf_index(&mut rng, plan.organisations.len()),
            number: number as u64,
            len: (HISTORY_BLOCKS.0 + rng.random_range(0..=HISTORY_BLOCKS.1)) * BLOCK_BYTES,
        })
        .collect();
    let mut events = Vec::new();
    for at_us in arrivals(&mut rng, plan.rate, plan.length) {
        let kind = rng.random_range(0..100);
        let organisation = zipf_index(&mut rng, plan.organisations.len());
        if kind < DISPUTES && !riders.is_empty() {
            let rider = zipf_index(&mut rng, riders.len());
            events.push(dispute(plan, &mut riders[rider], at_us));
        } else if kind < DISPUTES + REPLIES {
            events.push(reply(plan, organisation, at_us, rng.random()));
        } else {
            let burst = rng.random_range(0..BURST);
            let first = events.len();
            events.extend(
                (0..=burst / 3).map(|number| unlock(plan, organisation, at_us, number, first)),
            );
        }
    }
    events
}

fn dispute(plan: &Plan, rider: &mut Rider, at_us: u64) -> Event {
    let history = Part::Document {
        number: rider.number,
        len: rider.len,
    };
    rider.len += GROWTH;
    Event {
        at_us,
        organisation: plan.organisations[rider.organisation].clone(),
        class: PriorityClass::Normal,
        action: Action::Complete {
            prompt: vec![history, Part::Text(format!("\nRule on dispute {at_us}."))],
            tokens: 24,
        },
    }
}

fn reply(plan: &Plan, organisation: usize, at_us: u64, swahili: bool) -> Event {
    let text = if swahili {
        format!("Mjibu fundi kuhusu ombi {at_us} kwa Kiswahili.")
    } else {
        format!("Reply to the mechanic about request {at_us} in English.")
    };
    Event {
        at_us,
        organisation: plan.organisations[organisation].clone(),
        class: PriorityClass::Urgent,
        action: Action::Complete {
            prompt: vec![Part::Text(text)],
            tokens: 12,
        },
    }
}

fn unlock(plan: &Plan, organisation: usize, at_us: u64, number: u64, first: usize) -> Event {
    Event {
        at_us: at_us + number * BURST_GAP_US,
        organisation: plan.organisations[organisation].clone(),
        class: PriorityClass::Urgent,
        action: Action::Once {
            key: format!("unlock-{}-{first}-{number}", plan.seed),
            body: format!("unlock scooter {first}.{number}"),
        },
    }
}
