//! A segment tree that finds the first fitting worker in logarithmic time.

/// Free slots and resources of a worker, or the maximum of each over several workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct FreeCapacity {
    pub(crate) slots: u32,
    pub(crate) resources: model::Demand,
}

impl FreeCapacity {
    pub(crate) fn fits(&self, reserve: &model::Demand) -> bool {
        self.slots > 0 && reserve.fits_in(&self.resources)
    }

    pub(crate) fn max(&self, other: &Self) -> Self {
        Self {
            slots: self.slots.max(other.slots),
            resources: self.resources.max(&other.resources),
        }
    }
}

/// A segment tree over workers; each node holds the maximum free capacity of its subtree.
#[derive(Debug)]
pub(crate) struct FitTree {
    /// Number of leaves, a power of two.
    leaves: usize,
    /// Node `n` has the children `2n` and `2n + 1`; the root is node 1.
    nodes: Vec<FreeCapacity>,
}

impl FitTree {
    pub(crate) fn new() -> Self {
        Self {
            leaves: 1,
            nodes: vec![FreeCapacity::default(); 2],
        }
    }

    /// Returns the maximum of each resource over all workers with a free slot.
    pub(crate) fn largest(&self) -> FreeCapacity {
        self.nodes[1]
    }

    /// Sets the free capacity of the worker at `index`; without a free slot, none of its resources
    /// count.
    pub(crate) fn set(&mut self, index: usize, free: FreeCapacity) {
        while index >= self.leaves {
            self.grow();
        }
        let mut node = self.leaves + index;
        self.nodes[node] = if free.slots > 0 {
            free
        } else {
            FreeCapacity::default()
        };
        while node > 1 {
            node /= 2;
            self.nodes[node] = self.nodes[2 * node].max(&self.nodes[2 * node + 1]);
        }
    }

    /// Returns the first worker with a free slot and the resources for `reserve`.
    pub(crate) fn first_fit(&self, reserve: &model::Demand) -> Option<usize> {
        self.first_fit_below(1, reserve)
    }

    fn first_fit_below(&self, node: usize, reserve: &model::Demand) -> Option<usize> {
        if !self.nodes[node].fits(reserve) {
            return None;
        }
        if node >= self.leaves {
            return Some(node - self.leaves);
        }
        self.first_fit_below(2 * node, reserve)
            .or_else(|| self.first_fit_below(2 * node + 1, reserve))
    }

    fn grow(&mut self) {
        let mut larger = Self {
            leaves: self.leaves * 2,
            nodes: vec![FreeCapacity::default(); self.leaves * 4],
        };
        for index in 0..self.leaves {
            larger.set(index, self.nodes[self.leaves + index]);
        }
        *self = larger;
    }
}
