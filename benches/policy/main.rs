//! Compares the policy with simple baselines and with an oracle that knows the hidden effects.
//!
//! A simulation of workers applies hidden interference between classes, which changes over time;
//! the policies see only views, task outcomes and late, noisy reports. Seeds are fixed. An optional
//! argument runs only the scenarios whose name contains it.

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
            print_all(sites.iter().map(|site| || scenarios::table(site, &scenario, &more)));
        }
    }
    if "weights".contains(&only) {
        let [inkuru, pivnita] = &sites;
        let pairs = [(inkuru, pivnita), (pivnita, inkuru)];
        print_all(pairs.iter().map(|(site, other)| || scenarios::weights_table(site, other)));
    }
    if "cost".contains(&only) {
        cost::table();
    }
}

/// Computes the tables in parallel and prints them in order.
fn print_all<F: FnOnce() -> String + Send>(tables: impl Iterator<Item = F>) {
    std::thread::scope(|scope| {
        let running: Vec<_> = tables.map(|table| scope.spawn(table)).collect();
        for table in running {
            print!("{}", table.join().expect("a table"));
        }
    });
}
