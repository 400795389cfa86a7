//! The console as a browser without scripts uses it.

#![allow(clippy::unwrap_used)]

use std::net;
use std::time;

use arbutusfold::client;
use arbutusfold_standin::fleet;
use http_body_util::Full;

/// A browser: it keeps the cookie and sends forms.
#[derive(Default)]
struct FormBrowser {
    cookie: String,
}

#[derive(Debug)]
struct BrowserPage {
    status: u16,
    headers: http::HeaderMap,
    text: String,
}

impl BrowserPage {
    /// Returns the value of a hidden field.
    fn hidden(&self, name: &str) -> String {
        let mark = format!("name=\"{name}\" value=\"");
        let begin = self.text.find(&mark).unwrap() + mark.len();
        let rest = &self.text[begin..];
        let value = &rest[..rest.find('"').unwrap()];
        let entities = [
            ("&#34;", "\""),
            ("&#60;", "<"),
            ("&#62;", ">"),
            ("&#39;", "'"),
        ];
        let value = entities
            .iter()
            .fold(value.to_owned(), |value, (entity, plain)| {
                value.replace(entity, plain)
            });
        value.replace("&#38;", "&")
    }
}

impl FormBrowser {
    async fn send(
        &mut self,
        node: net::SocketAddr,
        path: &str,
        form: Option<&[(&str, &str)]>,
        origin: &str,
    ) -> BrowserPage {
        let body = form.map(|pairs| {
            form_urlencoded::Serializer::new(String::new())
                .extend_pairs(pairs)
                .finish()
        });
        let method = if body.is_some() { "POST" } else { "GET" };
        let request = http::Request::builder()
            .method(method)
            .uri(format!("http://{node}{path}"))
            .header("host", node.to_string())
            .header("origin", origin)
            .header("cookie", &self.cookie)
            .body(Full::new(bytes::Bytes::from(body.unwrap_or_default())))
            .unwrap();
        let response = client::HttpClient::for_services()
            .send(request)
            .await
            .unwrap();
        let (head, body) = response.into_parts();
        if let Some(cookie) = head.headers.get("set-cookie") {
            let cookie = cookie.to_str().unwrap();
            self.cookie = cookie.split(';').next().unwrap().to_owned();
        }
        let body = client::read_body(body).await.unwrap();
        BrowserPage {
            status: head.status.as_u16(),
            headers: head.headers,
            text: String::from_utf8(body.to_vec()).unwrap(),
        }
    }

    async fn get(&mut self, node: net::SocketAddr, path: &str) -> BrowserPage {
        self.send(node, path, None, &format!("http://{node}")).await
    }

    async fn post(
        &mut self,
        node: net::SocketAddr,
        path: &str,
        form: &[(&str, &str)],
    ) -> BrowserPage {
        let origin = format!("http://{node}");
        self.send(node, path, Some(form), &origin).await
    }

    /// Sends the form of an edit page with more fields.
    async fn press(
        &mut self,
        node: net::SocketAddr,
        page: &BrowserPage,
        more: &[(&str, &str)],
    ) -> BrowserPage {
        let (code, draft) = (page.hidden("code"), page.hidden("draft"));
        let form = [&[("code", code.as_str()), ("draft", draft.as_str())], more].concat();
        self.post(node, "/console/edit", &form).await
    }
}

async fn start(name: &str, nodes: usize) -> (fleet::TestFleet, FormBrowser) {
    let directory =
        std::env::temp_dir().join(format!("arbutusfold-console-{name}-{}", std::process::id()));
    let options = fleet::FleetOptions {
        nodes,
        domains: 2,
        layers: 2,
        ranges: 1,
        replicas: 1,
        step: time::Duration::from_millis(1),
        answer_keep: time::Duration::from_millis(200),
        directory,
    };
    let fleet = fleet::TestFleet::start(options).await.unwrap();
    fleet.submit(0, &fleet.document()).await.unwrap();
    let mut browser = FormBrowser::default();
    let signed = [("token", fleet::OPERATOR_TOKEN)];
    let page = browser
        .post(fleet.nodes[0].operators, "/console/sign-in", &signed)
        .await;
    assert_eq!(page.status, 303);
    (fleet, browser)
}

fn organisation<'a>(name: &'a str, weight: &'a str) -> [(&'a str, &'a str); 3] {
    [
        ("field.name", name),
        ("field.weight", weight),
        ("section", "organisations"),
    ]
}

#[tokio::test]
async fn pages_need_a_session_and_forms_their_code() {
    let (fleet, mut browser) = start("sign-in", 2).await;
    let node = fleet.nodes[0].operators;
    let mut stranger = FormBrowser::default();
    for path in ["", "/edit", "/document", "/history", "/explain"] {
        let page = stranger.get(node, &format!("/console{path}")).await;
        assert_eq!(page.status, 303, "{path}");
        let page = browser.get(node, &format!("/console{path}")).await;
        assert_eq!(page.status, 200, "{path}");
        assert_eq!(page.headers["cache-control"], "no-store");
        let policy = page.headers["content-security-policy"].to_str().unwrap();
        assert!(policy.starts_with("default-src 'none'"));
    }
    let wrong = stranger
        .post(node, "/console/sign-in", &[("token", "wrong")])
        .await;
    assert_eq!(wrong.status, 401);
    // A session made at one node holds at another.
    let other = fleet.nodes[1].operators;
    let page = browser.get(other, "/console/edit").await;
    assert_eq!(page.status, 200);
    let without = browser
        .post(other, "/console/edit", &[("do", "review")])
        .await;
    assert_eq!(without.status, 403);
    let code = page.hidden("code");
    let form = [("code", code.as_str()), ("do", "review")];
    let foreign = browser
        .send(
            other,
            "/console/edit",
            Some(&form),
            "http://elsewhere.example",
        )
        .await;
    assert_eq!(foreign.status, 403);
}

#[tokio::test]
async fn entry_is_edited_reviewed_and_submitted() {
    let (fleet, mut browser) = start("edit", 1).await;
    let node = fleet.nodes[0].operators;
    let page = browser.get(node, "/console/edit").await;
    assert!(page.text.contains("open:organisations:novia-lima"));
    let page = browser
        .press(node, &page, &[("do", "new:organisations")])
        .await;
    assert!(page.text.contains("Add to organisations"));
    let typed = [&organisation("te ara", "heavy")[..], &[("do", "save")]].concat();
    let wrong = browser.press(node, &page, &typed).await;
    assert_eq!(wrong.status, 422);
    assert!(wrong.text.contains("value=\"te ara\""));
    assert!(wrong.text.contains("value=\"heavy\""));
    assert_eq!(
        wrong.text.matches("class=\"error\" role=\"alert\"").count(),
        2
    );
    let typed = [
        &organisation("te-ara", "7")[..],
        &[("do", "save"), ("new_key", "desk-key")],
    ]
    .concat();
    let page = browser.press(node, &wrong, &typed).await;
    assert!(page.text.contains("te-ara is kept"), "{}", page.text);
    let page = browser.press(node, &page, &[("do", "review")]).await;
    assert!(page.text.contains("organisations te-ara: added"));
    let page = browser.press(node, &page, &[("do", "submit")]).await;
    assert!(page.text.contains("Accepted as version 2"), "{}", page.text);
    let page = browser.get(node, "/console/history").await;
    assert!(page.text.contains("organisations te-ara: added"));
    let key = fleet::call(
        fleet.nodes[0].callers,
        http::Method::GET,
        "/v1/models",
        "desk-key",
        &[],
        String::new(),
    );
    assert_eq!(key.await.unwrap().0, 200);
}

#[tokio::test]
async fn slower_operator_keeps_the_changes_and_carries_them_over() {
    let (fleet, mut browser) = start("conflict", 1).await;
    let node = fleet.nodes[0].operators;
    let page = browser.get(node, "/console/edit").await;
    let typed = [&organisation("te-ara", "7")[..], &[("do", "save")]].concat();
    let page = browser.press(node, &page, &typed).await;
    let mut other = fleet.document();
    other["organisations"][0]["weight"] = 9.into();
    fleet.submit(1, &other).await.unwrap();
    let page = browser.press(node, &page, &[("do", "submit")]).await;
    assert_eq!(page.status, 409);
    assert!(page.text.contains("fleet was faster: version 2"));
    assert!(page.text.contains("novia-lima: changed in weight"));
    let newest = [("do", "rebase"), ("newest", "2")];
    let page = browser.press(node, &page, &newest).await;
    assert!(page.text.contains("Changes from version 2"));
    let page = browser.press(node, &page, &[("do", "submit")]).await;
    assert!(page.text.contains("Accepted as version 3"), "{}", page.text);
    let page = browser.get(node, "/console/document").await;
    assert!(page.text.contains("te-ara"));
    assert!(page.text.contains("&#34;weight&#34;: 9"), "{}", page.text);
}

#[tokio::test]
async fn typed_markup_is_shown_as_text() {
    let (fleet, mut browser) = start("escape", 1).await;
    let node = fleet.nodes[0].operators;
    let page = browser.get(node, "/console/edit").await;
    let markup = "\"><script>alert(1)</script>";
    let typed = [&organisation(markup, markup)[..], &[("do", "save")]].concat();
    let page = browser.press(node, &page, &typed).await;
    assert!(!page.text.contains("<script"), "{}", page.text);
    assert!(page.text.contains("&#60;script"));
    let path = "/console/explain?subject=%3Cscript%3E";
    let page = browser.get(node, path).await;
    assert!(!page.text.contains("<script"));
}
