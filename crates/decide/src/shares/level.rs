//! The level of max-min fairness.

/// Returns the largest share that a workspace gets of `capacity`: those that ask for
/// less get all that they ask for, and what they leave is divided equally among the
/// others. Infinite if the capacity suffices for all.
///
/// Sorts `demands`.
pub fn fair_level(demands: &mut [f64], capacity: f64) -> f64 {
    demands.sort_by(f64::total_cmp);
    let mut left = capacity;
    for (n, demand) in demands.iter().enumerate() {
        let equal = left / (demands.len() - n) as f64;
        if *demand > equal {
            return equal;
        }
        left -= demand;
    }
    f64::INFINITY
}
