//! Task ids and their partitions.

use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn generated_ids_map_to_partition(partition in 0..model::PARTITIONS, random in any::<u128>()) {
        assert_eq!(model::partition_of(model::task_id_in_partition(partition, random)), partition);
    }

    #[test]
    fn keyed_ids_depend_on_customer_and_key(customer in "[a-z]{1,8}", key in "[a-z]{1,8}") {
        let id = model::keyed_task_id(&customer, &key);
        assert_eq!(id, model::keyed_task_id(&customer, &key));
        assert_ne!(id, model::keyed_task_id(&format!("{customer}{key}"), ""));
    }
}
