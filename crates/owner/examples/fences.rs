//! Shows how a lease holder refuses requests of a superseded owner.

const PARTITION: model::Partition = 7;

fn main() {
    let mut fences = owner::Fences::new();
    println!(
        "before any fence, generation 3: {}",
        fences.admits(PARTITION, 3)
    );
    fences.raise(PARTITION, 4);
    for generation in [3, 4, 5] {
        let verdict = if fences.admits(PARTITION, generation) {
            "admitted"
        } else {
            "refused"
        };
        println!("generation {generation}: {verdict}");
    }
    fences.raise(PARTITION, 2);
    println!(
        "highest generation after an older fence: {}",
        fences.highest(PARTITION)
    );
}
