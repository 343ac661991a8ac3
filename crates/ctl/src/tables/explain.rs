//! Renders the reply to `explain`.
use super::Table;
use super::layout::cell;
use quincehatch_core::Name;
use quincehatch_operator_api::explain::{
    ExplainReply, Explanation, HealthReport, RequestTrace, TransitionReport,
};
use quincehatch_operator_api::fan_out::NodeAnswer;

impl Table for ExplainReply {
    fn to_table(&self) -> String {
        let text: String = self.nodes.iter().map(node_lines).collect();
        if text.is_empty() { "no node knows anything about that\n".to_owned() } else { text }
    }
}

fn node_lines(answer: &NodeAnswer<Explanation>) -> String {
    match answer {
        NodeAnswer::Unresponsive { node, .. } => format!("{node}: unresponsive\n"),
        NodeAnswer::Answered { answer: None, .. } => String::new(),
        NodeAnswer::Answered { node, answer: Some(explanation) } => match explanation {
            Explanation::Server(report) => health_lines(node, report),
            Explanation::Request(trace) => trace_lines(node, trace),
            Explanation::Promotions(promotions) => {
                promotions.iter().map(|promotion| format!("{node}: {promotion}\n")).collect()
            }
        },
    }
}

fn health_lines(node: &Name, report: &HealthReport) -> String {
    let mut text = format!("{node}: {} is {}", report.server, report.health);
    if let Some(ms) = report.probation_in_ms {
        text += &format!(", probation in {ms} ms");
    }
    text.push('\n');
    for transition in &report.transitions {
        text += &transition_lines(transition);
    }
    text
}

fn transition_lines(transition: &TransitionReport) -> String {
    let mut text = format!("  {} ms ago to {}: {}\n", transition.ago_ms, transition.to, transition.why);
    for evidence in &transition.evidence {
        text += &format!("    {} weight {} {} ms ago\n", evidence.signal, evidence.weight, evidence.ago_ms);
    }
    text
}

fn trace_lines(node: &Name, trace: &RequestTrace) -> String {
    let server = cell(&trace.location.server);
    let path = trace.path.join(" -> ");
    format!("{node}: {} took {} ms, code {}, on {server}\n  {path}\n", trace.what, trace.ms, trace.code)
}
