//! Reports of all errors in a text, with their positions.
//!
//! Invariant: a report has at least one finding. The findings are sorted by position,
//! so that the same text always gives the same report.

use std::fmt;
use std::path::Path;

use miette::Diagnostic;
use miette::LabeledSpan;
use miette::NamedSource;
use miette::SourceCode;

/// A range of characters in a text.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span {
    /// The line of the first character, from 1.
    pub line: usize,
    /// The column of the first character, from 1.
    pub column: usize,
    /// The length in characters; zero is shown as 1.
    pub length: usize,
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// One error in a text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// The position of the error.
    pub span: Span,
    /// What is wrong and what was expected.
    pub message: String,
}

/// All errors of one text. `Display` writes a line `file:line:col: message` for each;
/// as a [`Diagnostic`] it shows them within the text.
#[derive(Debug)]
pub struct Report {
    file: String,
    source: NamedSource<String>,
    findings: Vec<Finding>,
}

impl Report {
    /// Creates a report about the text of `file`.
    pub fn new(file: &str, text: &str, mut findings: Vec<Finding>) -> Self {
        findings.sort();
        findings.dedup();
        let source = NamedSource::new(file, text.to_string());
        Self { file: file.to_string(), source, findings }
    }

    /// Creates a report that `path` could not be read.
    pub fn unreadable(path: &Path, error: &std::io::Error) -> Self {
        let span = Span { line: 1, column: 1, length: 1 };
        let message = format!("the file can't be read: {error}");
        Self::new(&path.display().to_string(), "", vec![Finding { span, message }])
    }

    /// The errors, sorted by position.
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
