use super::{MAX_OFFERS, Offers};
use crate::ids::ServiceName;
use crate::job::{Image, Label, Share, Step};
use crate::units::Resources;
use std::time::Duration;

fn step(milli_cores: u32, label: Option<&str>) -> Step {
    let size = Resources::new(milli_cores, 1000, 0);
    Step { label: label.map(Label::new), ..Step::new(1, size, Duration::from_secs(1)) }
}

// Guards against tasks that aren't offered since a task with other requirements was offered in vain.
#[test]
fn an_offer_in_vain_shows_only_that_the_same_or_more_is_not_to_be_had() {
    let (shop, image) = (ServiceName::new("shop"), Image::new("a"));
    let mut offers = Offers::limited();
    offers.add_unmet(&step(2000, Some("ssd")), &shop, &image);
    let is_unmet = |step: &Step| offers.is_unmet(step, &shop, &image);
    assert!(is_unmet(&step(2000, Some("ssd"))));
    assert!(is_unmet(&step(3000, Some("ssd"))));
    assert!(!is_unmet(&step(1000, Some("ssd"))));
    assert!(!is_unmet(&step(3000, None)));
    assert!(!is_unmet(&step(3000, Some("gpu"))));
    assert!(!is_unmet(&Step { share: Share::Leftover, ..step(2000, Some("ssd")) }));
    assert!(!offers.is_unmet(&step(3000, Some("ssd")), &ServiceName::new("desk"), &image));
}

// Guards against leftover work that isn't offered since that of another image, which disturbs the
// serving tasks more, was offered in vain.
#[test]
fn leftover_work_is_compared_with_that_of_its_image() {
    let shop = ServiceName::new("shop");
    let step = Step { share: Share::Leftover, ..step(2000, None) };
    let mut offers = Offers::limited();
    offers.add_unmet(&step, &shop, &Image::new("a"));
    assert!(offers.is_unmet(&step, &shop, &Image::new("a")));
    assert!(!offers.is_unmet(&step, &shop, &Image::new("b")));
}

// Guards against passes that take the longer the more tasks wait.
#[test]
fn offers_in_vain_and_lent_tasks_are_limited() {
    let mut vain = Offers::limited();
    (0..MAX_OFFERS).for_each(|_| vain.count_vain());
    assert!(vain.is_used_up());
    let mut accepted = Offers::limited();
    accepted.count_accepted(MAX_OFFERS + 1);
    assert!(accepted.is_used_up());
    let mut unlimited = Offers::unlimited();
    unlimited.count_accepted(MAX_OFFERS + 1);
    unlimited.count_vain();
    assert!(!unlimited.is_used_up());
}
