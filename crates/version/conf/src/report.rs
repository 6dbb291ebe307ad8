//! Findings about a text, with their places, told all at once.
//!
//! Invariant: a report has at least one finding, and its findings stand in the
//! order of the text, so that the same text always gives the same report.

use std::fmt;
use std::path::Path;

use miette::Diagnostic;
use miette::LabeledSpan;
use miette::NamedSource;
use miette::SourceCode;

/// Where something stands in a text.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span {
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
    /// The length in characters; at least 1 is shown.
    pub length: usize,
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// One fault of a text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Where it is.
    pub span: Span,
    /// What is wrong, and what was expected.
    pub message: String,
}

/// All faults of one text. `Display` gives a line `file:line:col: message` for
/// each; as a [`Diagnostic`] it shows them in the text itself.
#[derive(Debug)]
pub struct Report {
    file: String,
    source: NamedSource<String>,
    findings: Vec<Finding>,
}

impl Report {
    /// A report on the text of `file`.
    pub fn new(file: &str, text: &str, mut findings: Vec<Finding>) -> Self {
        findings.sort();
        findings.dedup();
        let source = NamedSource::new(file, text.to_string());
        Self { file: file.to_string(), source, findings }
    }

    /// A report that `path` could not be read.
    pub fn unreadable(path: &Path, error: &std::io::Error) -> Self {
        let span = Span { line: 1, column: 1, length: 1 };
        let message = format!("the file can't be read: {error}");
        Self::new(&path.display().to_string(), "", vec![Finding { span, message }])
    }

    /// The faults, in the order of the text.
    pub fn findings(&self) -> &[Finding] {
        &self.findings
    }

    /// The name of the file.
    pub fn file(&self) -> &str {
        &self.file
    }

    fn label(&self, finding: &Finding) -> LabeledSpan {
        let text = self.source.inner();
        let start = byte_offset(text, finding.span);
        let length: usize =
            text[start..].chars().take(finding.span.length.max(1)).map(char::len_utf8).sum();
        LabeledSpan::new(Some(finding.message.clone()), start, length)
    }
}

fn byte_offset(text: &str, span: Span) -> usize {
    let mut start = 0;
    for (index, line) in text.split_inclusive('\n').enumerate() {
        if index + 1 == span.line {
            let before = line.chars().take(span.column.saturating_sub(1));
            return start + before.map(char::len_utf8).sum::<usize>();
        }
        start += line.len();
    }
    text.len()
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.findings.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{}:{}: {}", self.file, finding.span, finding.message)?;
        }
        Ok(())
    }
}

impl std::error::Error for Report {}

impl Diagnostic for Report {
    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.source)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        Some(Box::new(self.findings.iter().map(|finding| self.label(finding))))
    }
}
