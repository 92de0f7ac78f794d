//! Choice of the target for each request.
//!
//! - [`load`]: requests that this box has in flight at each target, and the health of targets,
//! - [`direct_work`]: work that the boxes of the own zone sent when it changed,
//! - [`work_changes`]: changes of this box's work that have not been sent yet,
//! - [`mod@choose`]: the choice among the targets of a pool,
//! - [`decay`]: weights that fall with age,
//! - [`engine_speed`]: learned speeds of engines,
//! - [`allowed`]: the weights versions on which a prompt may run,
//! - [`index`]: targets by pool and zone,
//! - [`fair_admission`]: which prompts are refused where organisations compete,
//! - [`hold_time`]: how long requests hold an engine's memory,
//! - [`probe`]: probes of unreachable targets,
//! - [`reach`]: which targets this box reaches,
//! - [`reach_watch`]: paths to targets that are lost without a reset,
//! - [`parts`]: where the parts of a prompt are fetched from and stored,
//! - [`limits`]: the limits that apply at a target,
//! - [`shared_limit`]: division of a target's limit among boxes,
//! - [`slow_start`]: limits of cold targets,
//! - [`standing`]: the recent average queue at engines,
//! - [`stream_engines`]: engines that are kept free of long prefills for short prompts,
//! - [`residency`]: the regions that a request may reach,
//! - [`signals`]: signals that targets send in response headers,
//! - [`stream_pace`]: the time per generated token,
//! - [`usage`]: what organisations request of each pool,
//! - [`silence`]: which engines are silent,
//! - [`silence_watch`]: requests for the reports of engines that may be silent,
//! - [`work`]: work of this box and of other boxes at engines.

pub mod allowed;
pub mod choose;
pub mod decay;
pub mod direct_work;
pub mod engine_speed;
pub mod fair_admission;
pub mod hold_time;
pub mod index;
pub mod limits;
pub mod load;
pub mod parts;
pub mod probe;
pub mod reach;
pub mod reach_watch;
pub mod residency;
pub mod shared_limit;
pub mod signals;
pub mod silence;
pub mod silence_watch;
pub mod slow_start;
pub mod standing;
pub mod stream_engines;
pub mod stream_pace;
pub mod usage;
pub mod work;
pub mod work_changes;

pub use choose::{ChoiceInputs, ChosenTarget, SoftwareFilter, choose};
pub use load::{InFlightGuard, Load, Loads};
