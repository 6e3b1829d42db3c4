//! Under pressure, light parts are left out.

use super::{Coordinator, SECOND};
use crate::query::Query;
use crate::Nanos;

/// Share of a step's weight: as far as the cutoff climbs (the design's v / n, 50 of 400 documents).
const CUTOFF_TOP: f64 = 0.125;
/// Share of weight by which the cutoff moves: four steps, so that one bad second costs little.
const CUTOFF_STEP: f64 = CUTOFF_TOP / 4.0;
/// Share of the own parts of `SECOND` late or refused above which the cutoff climbs (design).
const PRESSURE_SHARE: f64 = 0.1;
/// Parts in the window below which their share is noise.
const PRESSURE_LEAST: usize = 8;
/// Seconds without pressure after which the cutoff sinks.
const QUIET_SECONDS: Nanos = 2;

impl Coordinator {
    /// The design's cutoff: parts lighter than it stay unsent, lightest first, never below the class's floor.
    /// Each step lets go a share of what may go, or one bad second would take a hundred light parts at once.
    pub(super) fn leave_out_light_parts(&self, query: &mut Query) {
        let floor = self.settings.classes[query.class].minimum_coverage;
        if self.cutoff <= 0.0 || floor >= 1.0 {
            return;
        }
        let sent: f64 = query
            .parts
            .iter()
            .filter(|p| !p.dropped)
            .map(|p| p.weight)
            .sum();
        let mut spare = (sent - floor) * self.cutoff / CUTOFF_TOP;
        for i in query.by_weight() {
            let part = &mut query.parts[i];
            if part.weight >= self.cutoff || part.weight > spare {
                return;
            }
            spare -= if part.dropped { 0.0 } else { part.weight };
            part.dropped = true;
        }
    }

    pub(super) fn move_cutoff(&mut self) {
        let (bad, judged) = (self.judged.bad(), self.judged.len());
        let pressure = judged >= PRESSURE_LEAST && bad as f64 > PRESSURE_SHARE * judged as f64;
        if pressure {
            self.last_pressure = self.now;
        }
        let rested = self.now.saturating_sub(self.cutoff_moved) >= SECOND;
        let before = self.cutoff;
        if pressure && rested {
            self.cutoff = (before + CUTOFF_STEP).min(CUTOFF_TOP);
        } else if rested && self.now.saturating_sub(self.last_pressure) >= QUIET_SECONDS * SECOND {
            self.cutoff = 0.0;
        }
        if self.cutoff != before {
            self.cutoff_moved = self.now;
            if before == 0.0 {
                self.log
                    .push("cutoff off zero: light parts are left out".into());
            } else if self.cutoff == 0.0 {
                self.log.push("cutoff back at zero".into());
            }
        }
    }
}
