//! Reading of values from a document.

use expect_test::expect;

#[test]
fn values_are_taken_literally() {
    let text =
        "; comment\n# comment\n[s]\npath = C:\\new \"x\"\nhash = a # b\nspaced   =   x  y  \n";
    let mut loader = settings::Loader::new("t.ini", text);
    let mut section = loader.section("s");
    let read = [
        section.text("path", ""),
        section.text("hash", ""),
        section.text("spaced", ""),
        section.text("absent", "default"),
    ];
    let read = loader.finish(read).unwrap();
    assert_eq!(read, [r#"C:\new "x""#, "a # b", "x  y", "default"]);
}

#[test]
fn crlf_and_non_latin_text_are_read() {
    let text = "[s]\r\nname = Алматы\r\ncount = 7\r\n";
    let mut loader = settings::Loader::new("t.ini", text);
    let mut section = loader.section("s");
    let name = section.required_text("name");
    let count = section.integer("count", 0, 0..=9);
    assert_eq!(
        loader.finish((name, count)).unwrap(),
        ("Алматы".to_owned(), 7)
    );
}

#[test]
fn values_outside_of_an_inclusive_range_are_findings() {
    let text = "[s]\na = 1\nb = 9\nc = 0\nd = 10\ne = 99999999999999999999\nf = 1.5\n";
    let mut loader = settings::Loader::new("t.ini", text);
    let mut section = loader.section("s");
    for key in ["a", "b", "c", "d", "e", "f"] {
        section.integer(key, 5, 1..=9);
    }
    let findings = loader.finish(()).unwrap_err();
    expect![[r#"
        t.ini:4: [s] c: '0' given, expected a whole number from 1 to 9
        t.ini:5: [s] d: '10' given, expected a whole number from 1 to 9
        t.ini:6: [s] e: '99999999999999999999' given, expected a whole number from 1 to 9
        t.ini:7: [s] f: '1.5' given, expected a whole number from 1 to 9"#]]
    .assert_eq(&findings.to_string());
}
