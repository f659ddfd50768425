//! Evacuation of failure domains.
//!
//! Operators order the evacuation of a failure domain ahead of work on its power or network. While
//! the order stands, no task is started on the domain's VMs. What runs there goes on: stopping it
//! would only bring its loss forward if the work is called off or goes well.

use crate::ids::DomainId;
use indexmap::IndexSet;

/// Failure domains whose evacuation is ordered.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    domains: IndexSet<DomainId>,
}

impl Evacuations {
    /// Returns whether no evacuation is ordered.
    pub fn is_empty(&self) -> bool {
        self.domains.is_empty()
    }

    /// Returns whether a domain's evacuation is ordered.
    pub fn contains(&self, domain: &DomainId) -> bool {
        self.domains.contains(domain)
    }

    /// Removes a domain whose evacuation is withdrawn.
    pub fn remove(&mut self, domain: &DomainId) {
        self.domains.shift_remove(domain);
    }

    /// The domains that are in `self` and not in `other`.
    pub fn difference<'a>(&'a self, other: &'a Self) -> impl Iterator<Item = &'a DomainId> {
        self.domains.difference(&other.domains)
    }
}

impl FromIterator<DomainId> for Evacuations {
    fn from_iter<T: IntoIterator<Item = DomainId>>(domains: T) -> Self {
        Self { domains: domains.into_iter().collect() }
    }
}

impl Extend<DomainId> for Evacuations {
    fn extend<T: IntoIterator<Item = DomainId>>(&mut self, domains: T) {
        self.domains.extend(domains);
    }
}
