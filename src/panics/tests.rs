use super::*;

#[test]
fn a_contained_panic_becomes_an_error_with_its_message() {
    assert_eq!(contain(|| 7), Ok(7));
    assert_eq!(contain(|| -> u8 { panic!("a reason") }), Err(Panic("a reason".to_owned())));
    let number = 3;
    assert_eq!(
        contain(|| -> u8 { panic!("{number} reasons") }),
        Err(Panic("3 reasons".to_owned()))
    );
}
