//! The committed settings reference page matches the declarations.

use expect_test::expect_file;

use conf::settings;

#[test]
fn settings_page_is_current() {
    expect_file!["../../../../docs/operate/settings.md"].assert_eq(&settings::reference());
}
