//! Dynamic program that finds the cheapest path.

use clementine_objects::LayerRange;

use super::cost::Hops;

/// An engine with the layers that it can run in a path, and their cost.
#[derive(Debug, Clone, Copy)]
pub(super) struct StageOption {
    /// Index of the candidate.
    pub(super) candidate: usize,
    /// Index of its failure domain.
    pub(super) domain: usize,
    /// Layers of which the stage runs some.
    pub(super) layers: LayerRange,
    /// Whether the engine has the request's context for exactly these layers, so that
    /// the stage runs all of them or none.
    pub(super) has_context: bool,
    /// Whether the stage may be the first one.
    pub(super) can_be_first: bool,
    /// Cost of the stage whatever its number of layers.
    pub(super) fixed: f64,
    /// Cost of each layer.
    pub(super) per_layer: f64,
}

/// A stage that begins at a layer, and the stage before it.
#[derive(Debug, Clone, Copy)]
struct Entry {
    option: u32,
    first_layer: u32,
    predecessor: Option<u32>,
    /// Candidates of the partial path.
    candidates: CandidateBits,
}

/// Set of candidates by their index. Indices beyond [`Self::EXACT`] share bits, so that
/// the set can tell of such a candidate only that it does not contain it.
#[derive(Debug, Clone, Copy, Default)]
struct CandidateBits([u64; 4]);

impl CandidateBits {
    /// Number of candidates up to which the set is exact.
    const EXACT: usize = 256;

    const fn contains(&self, candidate: usize) -> bool {
        self.0[candidate / 64 % 4] >> (candidate % 64) & 1 == 1
    }

    const fn with(mut self, candidate: usize) -> Self {
        self.0[candidate / 64 % 4] |= 1 << (candidate % 64);
        self
    }
}

/// The cheapest partial path that ends in a failure domain.
#[derive(Debug, Clone, Copy)]
struct Exit {
    cost: f64,
    entry: Option<u32>,
}

const NO_EXIT: Exit = Exit { cost: f64::INFINITY, entry: None };

/// Dynamic program over the layers at which the range of an engine begins or ends.
///
/// The cost of a stage is linear in its layers, so one value per stage option tells
/// the cost of the cheapest partial path that runs it at present, wherever it was
/// entered. At each boundary, the options that run lead to the cheapest exit of each
/// failure domain, from which all options can be entered. The time is in proportion
/// to the sum of the options' boundaries.
#[derive(Debug)]
pub(super) struct PathProgram<'a> {
    options: &'a [StageOption],
    hops: &'a Hops,
    layers: u32,
    /// All entries that were the cheapest at some boundary.
    entries: Vec<Entry>,
    /// Cheapest exits at the current boundary, by failure domain.
    exits: Vec<Exit>,
    /// Cheapest ways from the exits to a stage in each failure domain: to one that
    /// needs the request's context and to one that has it.
    arrivals: Vec<[Exit; 2]>,
    /// Whether any option has the request's context.
    has_context: bool,
    /// Whether all candidates are in the exact range of [`CandidateBits`].
    is_exact: bool,
}

/// An option whose layers include the current boundary.
#[derive(Debug, Clone, Copy)]
struct Active {
    /// Cost of the cheapest partial path through the option, less the cost that its
    /// layers would have from layer 0 to where it is entered; infinite if there is
    /// none.
    value: f64,
    fixed: f64,
    per_layer: f64,
    /// Index of the option.
    option: usize,
    /// Index of the entry into the option.
    entered: u32,
    domain: usize,
    end: u32,
    has_context: bool,
}

impl Active {
    const fn new(index: usize, option: &StageOption) -> Self {
        Self {
            value: f64::INFINITY,
            fixed: option.fixed,
            per_layer: option.per_layer,
            option: index,
            entered: 0,
            domain: option.domain,
            end: option.layers.end(),
            has_context: option.has_context,
        }
    }
}

impl<'a> PathProgram<'a> {
    pub(super) fn new(options: &'a [StageOption], hops: &'a Hops, layers: u32) -> Self {
        Self {
            options,
            hops,
            layers,
            entries: Vec::with_capacity(4 * options.len()),
            exits: vec![NO_EXIT; hops.domain_count()],
            arrivals: vec![[NO_EXIT; 2]; hops.domain_count()],
            has_context: options.iter().any(|option| option.has_context),
            is_exact: options.iter().all(|option| option.candidate < CandidateBits::EXACT),
        }
    }

    /// Returns the cheapest path as options and their layers. No candidate occurs
    /// twice: one that could be entered again after other stages can as well run on
    /// from where it was entered first, so a path is found whenever there is one.
    pub(super) fn solve(mut self) -> Option<Vec<(usize, LayerRange)>> {
        let order = self.by_first_layer();
        let is_boundary = self.boundaries();
        let mut active: Vec<Active> = Vec::new();
        let mut next = 0;
        for layer in (0..self.layers).filter(|layer| is_boundary[*layer as usize]) {
            if layer > 0 {
                self.find_exits(&active, layer);
                self.find_arrivals();
            }
            let running = active.len();
            active.retain(|stage| stage.end > layer);
            // Stages are linear in their layers, so a change between two engines that
            // go on or run already is at least as cheap at another layer.
            let first_entered = if active.len() < running { 0 } else { active.len() };
            while let Some(&index) = order.get(next) {
                let option = &self.options[index];
                if option.layers.first() > layer {
                    break;
                }
                active.push(Active::new(index, option));
                next += 1;
            }
            for stage in &mut active[first_entered..] {
                self.enter(stage, layer);
            }
        }
        self.find_exits(&active, self.layers);
        let complete = self.exits.iter().min_by(|a, b| a.cost.total_cmp(&b.cost))?;
        self.reconstruct(complete.entry?)
    }

    /// Indices of the options, ordered by their first layer.
    fn by_first_layer(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.options.len()).collect();
        order.sort_unstable_by_key(|index| self.options[*index].layers.first());
        order
    }

    /// Whether one stage may end and the next one begin at each layer.
    fn boundaries(&self) -> Vec<bool> {
        let mut is_boundary = vec![false; self.layers as usize + 1];
        is_boundary[0] = true;
        for option in self.options {
            for layer in [option.layers.first(), option.layers.end()] {
                if let Some(slot) = is_boundary.get_mut(layer as usize) {
                    *slot = true;
                }
            }
        }
        is_boundary
    }

    /// Finds the cheapest exit of each failure domain before a layer.
    fn find_exits(&mut self, active: &[Active], layer: u32) {
        self.exits.fill(NO_EXIT);
        for stage in active {
            let cost = stage.value + stage.per_layer * f64::from(layer);
            let exit = &mut self.exits[stage.domain];
            if cost < exit.cost && (!stage.has_context || stage.end == layer) {
                *exit = Exit { cost, entry: Some(stage.entered) };
            }
        }
    }

    /// Enters an option at a layer if that is cheaper than to have entered it before.
    fn enter(&mut self, stage: &mut Active, layer: u32) {
        let option = &self.options[stage.option];
        let arrival = match layer {
            0 if option.can_be_first => Exit { cost: 0.0, entry: None },
            0 => return,
            _ => self.arrivals[stage.domain][usize::from(stage.has_context)],
        };
        let value = arrival.cost + stage.fixed - stage.per_layer * f64::from(layer);
        let is_closed = stage.has_context && option.layers.first() != layer;
        if value >= stage.value || is_closed || self.runs_before(arrival.entry, option.candidate) {
            return;
        }
        stage.value = value;
        stage.entered = self.entries.len() as u32;
        let before = arrival.entry.map(|entry| self.entries[entry as usize].candidates);
        self.entries.push(Entry {
            option: stage.option as u32,
            first_layer: layer,
            predecessor: arrival.entry,
            candidates: before.unwrap_or_default().with(option.candidate),
        });
    }

    /// Whether a candidate runs a stage of the partial path that ends with an entry.
    fn runs_before(&self, mut entry: Option<u32>, candidate: usize) -> bool {
        while let Some(stage) = entry.map(|index| &self.entries[index as usize]) {
            if !stage.candidates.contains(candidate) {
                return false;
            }
            if self.is_exact || self.options[stage.option as usize].candidate == candidate {
                return true;
            }
            entry = stage.predecessor;
        }
        false
    }

    fn find_arrivals(&mut self) {
        for domain in 0..self.arrivals.len() {
            self.arrivals[domain][0] = self.arrival(domain, false);
            if self.has_context {
                self.arrivals[domain][1] = self.arrival(domain, true);
            }
        }
    }

    /// The cheapest way to a stage in a failure domain, with its cost.
    fn arrival(&self, domain: usize, has_context: bool) -> Exit {
        let mut best = NO_EXIT;
        for (exit, hop) in self.exits.iter().zip(self.hops.costs_to(domain, has_context)) {
            let cost = exit.cost + hop;
            if cost < best.cost {
                best = Exit { cost, ..*exit };
            }
        }
        best
    }

    /// Follows the predecessors back from the last stage.
    fn reconstruct(&self, last: u32) -> Option<Vec<(usize, LayerRange)>> {
        let (mut end, mut next) = (self.layers, Some(last));
        let mut path = Vec::new();
        while let Some(entry) = next.map(|index| &self.entries[index as usize]) {
            path.push((entry.option as usize, LayerRange::half_open(entry.first_layer, end)?));
            end = entry.first_layer;
            next = entry.predecessor;
        }
        path.reverse();
        Some(path)
    }
}
