//! The right to order an engine after orders without an answer.

use model::Micros;
use policy::holder::Holder;

/// Guards against an order of another process that is taken for an own one which got lost on its way.
#[test]
fn lost_order_hides_the_order_of_another_process() {
    let mut holder = Holder::new(Micros::from_secs(10));
    holder.record_first_start();
    holder.update_count(Micros::from_millis(0), 5);
    assert!(holder.may_order(Micros::from_millis(10)));
    holder.record_order();
    let other = holder.update_count(Micros::from_millis(3_000), 6);
    let may_order = holder.may_order(Micros::from_millis(3_010));
    assert!(
        other || !may_order,
        "orders 10 ms after the count showed another order"
    );
}
