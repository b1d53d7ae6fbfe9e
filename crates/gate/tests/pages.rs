//! The operators' page of logs and metrics against the code.

/// The page.
const PAGE: &str = include_str!("../../../docs/LOGS.md");
/// Where the events are declared.
const EVENTS: &str = include_str!("../src/log.rs");
/// Where the metrics are declared.
const METRICS: &str = include_str!("../src/meter.rs");

/// A name in the log's own case.
fn snake(name: &str) -> String {
    let mut out = String::new();
    for c in name.chars() {
        if c.is_uppercase() && !out.is_empty() {
            out.push('_');
        }
        out.extend(c.to_lowercase());
    }
    out
}

/// Events and their fields, as the code declares them.
fn declared() -> Vec<String> {
    let begin = EVENTS.find("pub enum Event").expect("the events");
    let end = EVENTS[begin..].find("\n}\n").expect("their end") + begin;
    let lines = EVENTS[begin..end].lines().map(str::trim);
    let code = lines.filter(|l| !l.starts_with("//"));
    code.skip(1)
        .filter_map(|l| l.split([' ', ':']).next())
        .filter(|w| w.chars().next().is_some_and(char::is_alphabetic))
        .map(snake)
        .collect()
}

#[test]
fn every_event_and_field_is_on_the_page() {
    // An operator reads a field that no page explains. Each name in the code stands on the page.
    let names = declared();
    assert!(names.len() > 40, "{names:?}");
    for name in names {
        assert!(
            PAGE.contains(&format!("`{name}`")),
            "`{name}` isn't on the page"
        );
    }
}

#[test]
fn every_metric_is_on_the_page_and_every_one_there_is_in_the_code() {
    let metrics = |text: &str| -> Vec<String> {
        let parts = text.split("clementinestep_").skip(1);
        let names = parts.map(|p| {
            let end = p.find(|c: char| !c.is_ascii_lowercase() && c != '_');
            p[..end.unwrap_or(p.len())].to_owned()
        });
        names.filter(|n| !n.is_empty()).collect()
    };
    let (page, code) = (metrics(PAGE), metrics(METRICS));
    assert!(code.len() > 10, "{code:?}");
    for name in &code {
        assert!(page.contains(name), "{name} isn't on the page");
    }
    for name in &page {
        assert!(code.contains(name), "{name} isn't in the code");
    }
}
