//! Compares the policy with simpler ones and with one that knows the hidden effects.
//!
//! A small fake of workers has hidden effects between classes that shift; the policies see only
//! views, ends and late, noisy reports. Seeds are fixed. One argument runs only the scenarios whose
//! name contains it.

mod cost;
mod rows;
mod scenarios;
mod site;
mod trace;
mod truth;
mod world;

fn main() {
    let only = std::env::args().skip(1).find(|arg| !arg.starts_with("--")).unwrap_or_default();
    let sites = [site::inkuru(), site::pivnita()];
    for (scenario, more) in scenarios::all() {
        if scenario.name.contains(&only) {
            for site in &sites {
                scenarios::table(site, &scenario, &more);
            }
        }
    }
    if "weights".contains(&only) {
        scenarios::weights_table(&sites[0], &sites[1]);
        scenarios::weights_table(&sites[1], &sites[0]);
    }
    if "cost".contains(&only) {
        cost::table();
    }
}
