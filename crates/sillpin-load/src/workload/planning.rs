//! The planning firm's workload: officers' questions about submission packs, whose prompts contain the
//! organisation's bye-laws and then the pack; clerks' short replies; and applicants' status checks.

use super::corpus::Part;
use super::{Action, Event, Plan, arrivals, zipf_index};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use sillpin_core::PriorityClass;
use sillpin_core::block::BLOCK_BYTES;

/// Number of blocks of an organisation's bye-laws.
const BYE_LAW_BLOCKS: usize = 8;

/// Number of blocks of a submission pack: the minimum, and the maximum of a random addition.
const PACK_BLOCKS: (usize, usize) = (4, 16);

/// Shares of the traffic, in percent: questions about packs and short replies. The rest are status checks.
const QUESTIONS: u32 = 55;
const REPLIES: u32 = 20;

/// Log-normal distribution of the gaps after which a pack returns: the median as a share of the workload's
/// duration, and the standard deviation of the logarithm.
const GAP_MEDIAN: f64 = 0.12;
const GAP_SPREAD: f64 = 1.0;

/// Number of the first pack. Documents with smaller numbers are bye-laws.
const FIRST_PACK: u64 = 1_000;

struct Pack {
    organisation: usize,
    number: u64,
    blocks: usize,
    next_us: u64,
    questions: u32,
}

pub(super) fn events(plan: &Plan, mut rng: ChaCha8Rng) -> Vec<Event> {
    let length_us = plan.length.as_micros() as u64;
    let mut packs: Vec<Pack> = (0..plan.prompts)
        .map(|number| Pack {
            organisation: zipf_index(&mut rng, plan.organisations.len()),
            number: FIRST_PACK + number as u64,
            blocks: PACK_BLOCKS.0 + rng.random_range(0..=PACK_BLOCKS.1),
            next_us: rng.random_range(0..length_us.max(2) / 2),
            questions: 0,
        })
        .collect();
    let gaps = LogNormal::new((GAP_MEDIAN * length_us as f64).ln(), GAP_SPREAD);
    let mut events = Vec::new();
    for at_us in arrivals(&mut rng, plan.rate, plan.length) {
        let kind = rng.random_range(0..100);
        if kind < QUESTIONS {
            let due = packs.iter_mut().min_by_key(|pack| pack.next_us);
            if let Some(pack) = due {
                events.push(question(plan, pack, at_us));
                let gap = gaps.as_ref().map_or(0.0, |gaps| gaps.sample(&mut rng));
                pack.next_us = at_us + gap as u64;
            }
        } else {
            let organisation = zipf_index(&mut rng, plan.organisations.len());
            events.push(short_request(
                plan,
                organisation,
                at_us,
                kind < QUESTIONS + REPLIES,
            ));
        }
    }
    events
}

fn question(plan: &Plan, pack: &mut Pack, at_us: u64) -> Event {
    pack.questions += 1;
    let bye_laws = Part::Document {
        number: pack.organisation as u64,
        len: BYE_LAW_BLOCKS * BLOCK_BYTES,
    };
    let submission = Part::Document {
        number: pack.number,
        len: pack.blocks * BLOCK_BYTES,
    };
    let question = Part::Text(format!(
        "\nQuestion {}: does the pack comply?",
        pack.questions
    ));
    Event {
        at_us,
        organisation: plan.organisations[pack.organisation].clone(),
        class: PriorityClass::Normal,
        action: Action::Complete {
            prompt: vec![bye_laws, submission, question],
            tokens: 24,
        },
    }
}

fn short_request(plan: &Plan, organisation: usize, at_us: u64, is_reply: bool) -> Event {
    let text = if is_reply {
        format!("Draft a short reply to the authority's query {at_us}.")
    } else {
        format!("What is the status and fee of file {at_us}?")
    };
    Event {
        at_us,
        organisation: plan.organisations[organisation].clone(),
        class: if is_reply {
            PriorityClass::Normal
        } else {
            PriorityClass::Urgent
        },
        action: Action::Complete {
            prompt: vec![Part::Text(text)],
            tokens: if is_reply { 32 } else { 8 },
        },
    }
}
