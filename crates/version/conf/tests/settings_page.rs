//! The committed settings reference is what the declaration gives now.

use expect_test::expect_file;

use conf::settings;

#[test]
fn is_current() {
    expect_file!["../../../../docs/operate/settings.md"].assert_eq(&settings::reference());
}
